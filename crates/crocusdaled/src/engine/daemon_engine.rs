use std::sync::Arc;

use crocusdale_core::DaemonCore;
use crocusdale_core::daemon::{Command, DaemonEvent};
use crocusdale_core::identity::{CallId, MonotonicTime};
use crocusdale_core::routing::UpstreamNotice;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;

use super::{CallReply, CallTable, MonotonicClock, TimerService};
use crate::forwarding::RelayClient;
use crate::memory::CallerMemory;
use crate::peer::{PeerClient, PieceTable};
use crate::platform::PlatformReader;
use crate::telemetry::Telemetry;
use crate::upstream::{BatchClient, ConnectionPool, UpstreamClient, probe_upstream, test_links};

/// The daemon core together with the clients, tables and timers that execute its commands.
#[derive(Debug)]
pub struct DaemonEngine {
    /// The state machine that makes all decisions and returns commands.
    pub core: DaemonCore,
    /// Monotonic clock that started with this process.
    pub clock: MonotonicClock,
    /// Logs and metrics of this process.
    pub telemetry: Arc<Telemetry>,
    /// Notified once when the daemon has drained and may exit.
    pub drained: Notify,
    memory: Arc<CallerMemory>,
    calls: CallTable,
    timers: TimerService,
    upstreams: UpstreamClient,
    connections: ConnectionPool,
    relays: RelayClient,
    batches: BatchClient,
    pieces: PieceTable,
    peers: PeerClient,
    platform: PlatformReader,
}

impl DaemonEngine {
    /// Starts the core and the task that passes due timers to it.
    #[must_use]
    pub fn start(
        core: DaemonCore,
        clock: MonotonicClock,
        telemetry: Arc<Telemetry>,
        memory: Arc<CallerMemory>,
        platform: PlatformReader,
    ) -> Arc<Self> {
        let (timers, due) = TimerService::subscribe(clock);
        let engine = Arc::new(Self {
            core,
            clock,
            telemetry,
            drained: Notify::new(),
            memory,
            calls: CallTable::default(),
            timers,
            upstreams: UpstreamClient::default(),
            connections: ConnectionPool::default(),
            relays: RelayClient::default(),
            batches: BatchClient::default(),
            pieces: PieceTable::default(),
            peers: PeerClient::default(),
            platform,
        });
        tokio::spawn(forward_due_timers(Arc::clone(&engine), due));
        let mut commands = Vec::new();
        engine.core.start(engine.now(), &mut commands);
        engine.execute_commands(commands);
        engine
    }

    /// Current time of the process clock.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Memory that callers make this process hold.
    #[must_use]
    pub fn memory(&self) -> &Arc<CallerMemory> {
        &self.memory
    }

    /// Client for JSON calls to upstreams.
    pub(crate) fn upstreams(&self) -> &UpstreamClient {
        &self.upstreams
    }

    /// Idle connections to upstreams that get forwarded requests and batches.
    pub(crate) fn connections(&self) -> &ConnectionPool {
        &self.connections
    }

    /// Client that forwards callers' requests to upstreams.
    pub(crate) fn relays(&self) -> &RelayClient {
        &self.relays
    }

    /// Client for calls to upstreams that process batches.
    pub(crate) fn batches(&self) -> &BatchClient {
        &self.batches
    }

    /// Pieces that this daemon processes for other daemons, and they for this one.
    pub(crate) fn pieces(&self) -> &PieceTable {
        &self.pieces
    }

    /// Client for calls to other daemons.
    pub(crate) fn peers(&self) -> &PeerClient {
        &self.peers
    }

    /// Registers `call` as open and returns the receiver of its replies.
    #[must_use]
    pub fn open_call(&self, call: CallId) -> UnboundedReceiver<CallReply> {
        self.calls.open(call)
    }

    /// Sends `call` a reply that is not the final answer.
    pub(crate) fn send_reply(&self, call: CallId, reply: CallReply) {
        self.calls.send_reply(call, reply);
    }

    /// Closes `call` and tells the core that its caller disconnected.
    pub fn abandon_call(self: &Arc<Self>, call: CallId) {
        self.calls.close(call);
        self.relays.close(call);
        self.handle_event(DaemonEvent::CallerDisconnected(call));
    }

    /// Passes an event to the core and executes the commands that the core returns.
    pub fn handle_event(self: &Arc<Self>, event: DaemonEvent) {
        let mut commands = Vec::new();
        self.core.handle(event, self.now(), &mut commands);
        self.execute_commands(commands);
    }

    /// Passes to the core what `upstream` reported about itself in an answer, such as a rate limit
    /// or its leaving. `sent` is the time at which the answered request was sent.
    ///
    /// An empty notice is only passed on while the upstream is limited, as it ends the limit.
    pub(crate) fn report_notice(
        self: &Arc<Self>,
        upstream: &str,
        notice: UpstreamNotice,
        sent: MonotonicTime,
    ) {
        if !notice.is_empty() || self.core.is_limited(upstream) {
            let upstream = upstream.to_owned();
            self.handle_event(DaemonEvent::UpstreamNoticed { upstream, notice, sent });
        }
    }

    /// Executes commands of the core, in their order.
    pub fn execute_commands(self: &Arc<Self>, commands: Vec<Command>) {
        for command in commands {
            self.execute_command(command);
        }
    }

    fn execute_command(self: &Arc<Self>, command: Command) {
        match command {
            Command::Reply { call, answer } => {
                self.telemetry.request_ended(&answer, self.core.revision());
                self.calls.finish(call, answer);
                self.relays.close(call);
            }
            Command::Forward { call, text } => self.calls.send_piece(call, text),
            Command::Send(order) => self.upstreams.send(self, order),
            Command::Cancel(attempt) => {
                self.upstreams.cancel(attempt);
                self.relays.cancel(attempt);
            }
            Command::Relay(order) => self.relays.send(self, order),
            Command::ReleaseAnswer { call: _, attempt } => self.relays.release_answer(attempt),
            Command::CallBatch(order) => self.batches.call(self, order),
            Command::CancelBatch(batch) => self.batches.cancel(batch),
            Command::FreeResults { results, excluded } => {
                self.batches.free_results(self, &results, &excluded);
            }
            Command::QueryFreeMemory { upstream, address } => {
                self.batches.query_free_memory(self, upstream, address);
            }
            Command::CancelPieces(attempt) => self.pieces.cancel(attempt),
            Command::AnswerPieces { attempt, outcome, wait } => {
                self.pieces.answer(attempt, outcome, wait);
            }
            Command::ReadDirectory { since } => self.platform.read_directory(self, since),
            Command::CloseIdleConnections(upstream) => self.upstreams.close_idle(&upstream),
            Command::ProbeUpstream { upstream, address } => {
                probe_upstream(self, upstream, address);
            }
            Command::TestLinks(targets) => {
                let engine = Arc::clone(self);
                tokio::spawn(async move { test_links(&engine, targets).await });
            }
            Command::CloseStaleConnections(address) => self.connections.close_idle(address),
            Command::SetTimer { timer, at } => self.timers.set(timer, at),
            Command::Count(counter) => self.telemetry.count(counter),
            Command::LogStateChange(change) => self.telemetry.log_state_change(&change),
            Command::Exit => self.drained.notify_one(),
            Command::WatchConfiguration { known } => self.platform.watch_configuration(self, known),
            Command::ReadVmList { known } => self.platform.read_vm_list(self, known),
            Command::ReadEngineOrder { upstream, address } => {
                self.upstreams.read_placement(self, upstream, address);
            }
            Command::SendEngineOrder { upstream: _, address, order } => {
                self.upstreams.send_order(self, address, order);
            }
            command @ (Command::AskWitness { .. }
            | Command::RecordOutcome { .. }
            | Command::AskHolder { .. }
            | Command::SendHeartbeat { .. }
            | Command::PingSeed { .. }
            | Command::SendPieces { .. }
            | Command::ReleaseRemoteResults { .. }
            | Command::PlaceRequest { .. }
            | Command::ReportPlacement { .. }
            | Command::AskAdmission { .. }
            | Command::RecordStream { .. }
            | Command::FindStream { .. }
            | Command::ReportPoolStatus { .. }
            | Command::FetchDirectory { .. }
            | Command::FetchConfiguration { .. }) => self.peers.execute(self, command),
        }
    }
}

async fn forward_due_timers(
    engine: Arc<DaemonEngine>,
    mut due: UnboundedReceiver<crocusdale_core::daemon::TimerKey>,
) {
    while let Some(timer) = due.recv().await {
        engine.handle_event(DaemonEvent::Timer(timer));
    }
}
