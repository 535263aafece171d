use std::sync::Arc;

use crocusdale_core::DaemonCore;
use crocusdale_core::daemon::{Command, DaemonEvent};
use crocusdale_core::identity::{CallId, MonotonicTime};
use crocusdale_core::routing::UpstreamNotice;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;

use super::{CallReply, CallTable, MonotonicClock, TimerService};
use crate::forwarding::RelayClient;
use crate::peer::{PeerClient, PieceTable};
use crate::platform::PlatformReader;
use crate::telemetry::Telemetry;
use crate::upstream::{BatchClient, ConnectionPool, UpstreamClient, probe_upstream};

/// The core with everything that carries its commands out.
#[derive(Debug)]
pub struct DaemonEngine {
    /// The decisions.
    pub core: DaemonCore,
    /// Time of this process.
    pub clock: MonotonicClock,
    /// Logs and metrics.
    pub telemetry: Telemetry,
    /// Set when the process has drained.
    pub drained: Notify,
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
    /// Starts the core and the task that feeds it with timers.
    #[must_use]
    pub fn start(
        core: DaemonCore,
        clock: MonotonicClock,
        telemetry: Telemetry,
        platform: PlatformReader,
    ) -> Arc<Self> {
        let (timers, due) = TimerService::subscribe(clock);
        let engine = Arc::new(Self {
            core,
            clock,
            telemetry,
            drained: Notify::new(),
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
        tokio::spawn(feed_timers(Arc::clone(&engine), due));
        let mut commands = Vec::new();
        engine.core.start(engine.now(), &mut commands);
        engine.carry_out(commands);
        engine
    }

    /// Time now.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Calls of upstreams.
    pub(crate) fn upstreams(&self) -> &UpstreamClient {
        &self.upstreams
    }

    /// Connections to upstreams that requests and pieces are passed to.
    pub(crate) fn connections(&self) -> &ConnectionPool {
        &self.connections
    }

    /// Callers' requests that are passed through.
    pub(crate) fn relays(&self) -> &RelayClient {
        &self.relays
    }

    /// Calls of batched upstreams.
    pub(crate) fn batches(&self) -> &BatchClient {
        &self.batches
    }

    /// Pieces that are made for other daemons, and by them.
    pub(crate) fn pieces(&self) -> &PieceTable {
        &self.pieces
    }

    /// Calls of other daemons.
    pub(crate) fn peers(&self) -> &PeerClient {
        &self.peers
    }

    /// Opens a call; its replies come out of the receiver.
    #[must_use]
    pub fn open_call(&self, call: CallId) -> UnboundedReceiver<CallReply> {
        self.calls.open(call)
    }

    /// Gives `call` a reply that is not its last one.
    pub(crate) fn reply(&self, call: CallId, reply: CallReply) {
        self.calls.reply(call, reply);
    }

    /// Tells the core that the caller of `call` is gone.
    pub fn abandon_call(self: &Arc<Self>, call: CallId) {
        self.calls.close(call);
        self.relays.close(call);
        self.feed(DaemonEvent::CallerDisconnected(call));
    }

    /// Gives an event to the core, and carries out what it answers.
    pub fn feed(self: &Arc<Self>, event: DaemonEvent) {
        let mut commands = Vec::new();
        self.core.handle(event, self.now(), &mut commands);
        self.carry_out(commands);
    }

    /// Tells the core what `upstream` said of itself in the answer to a request that was sent at `sent`, if
    /// that may be news.
    pub(crate) fn take_notice(
        self: &Arc<Self>,
        upstream: &str,
        notice: UpstreamNotice,
        sent: MonotonicTime,
    ) {
        if !notice.is_empty() || self.core.is_limited(upstream) {
            let upstream = upstream.to_owned();
            self.feed(DaemonEvent::UpstreamNoticed { upstream, notice, sent });
        }
    }

    /// Carries out commands of the core.
    pub fn carry_out(self: &Arc<Self>, commands: Vec<Command>) {
        for command in commands {
            self.carry_out_one(command);
        }
    }

    fn carry_out_one(self: &Arc<Self>, command: Command) {
        match command {
            Command::Reply { call, answer } => {
                self.telemetry.request_ended(&answer, self.core.revision());
                self.calls.finish(call, answer);
                self.relays.close(call);
            }
            Command::Forward { call, text } => self.calls.forward(call, text),
            Command::Send(order) => self.upstreams.send(self, order),
            Command::Cancel(attempt) => {
                self.upstreams.cancel(attempt);
                self.relays.cancel(attempt);
            }
            Command::Relay(order) => self.relays.send(self, order),
            Command::ReleaseAnswer { call: _, attempt } => self.relays.pass_on(attempt),
            Command::CallBatch(order) => self.batches.call(self, order),
            Command::CancelBatch(batch) => self.batches.cancel(batch),
            Command::FreeResults { results, excluded } => {
                self.batches.free(self, &results, &excluded);
            }
            Command::QueryFreeMemory { upstream, address } => {
                self.batches.ask_room(self, upstream, address);
            }
            Command::CancelPieces(attempt) => self.pieces.cancel(attempt),
            Command::AnswerPieces { attempt, outcome, wait } => {
                self.pieces.answer(attempt, outcome, wait);
            }
            Command::ReadDirectory => self.platform.read_directory(self),
            Command::CloseIdleConnections(upstream) => self.upstreams.distrust(&upstream),
            Command::ProbeUpstream { upstream, address } => {
                probe_upstream(self, upstream, address);
            }
            Command::CloseStaleConnections(address) => self.connections.forget(address),
            Command::SetTimer { timer, at } => self.timers.set(timer, at),
            Command::Count(counter) => self.telemetry.count(counter),
            Command::LogStateChange(change) => self.telemetry.note(&change),
            Command::Exit => self.drained.notify_one(),
            Command::WatchConfiguration { known } => self.platform.watch_configuration(self, known),
            Command::ReadVmList { known } => self.platform.read_roster(self, known),
            Command::ReadEngineOrder { upstream, address } => {
                self.upstreams.read_placement(self, upstream, address);
            }
            Command::SendEngineOrder { upstream: _, address, order } => {
                self.upstreams.give_order(self, address, order);
            }
            command @ (Command::AskWitness { .. }
            | Command::RecordOutcome { .. }
            | Command::AskHolder { .. }
            | Command::SendHeartbeat { .. }
            | Command::PingSeed { .. }
            | Command::SendPieces { .. }
            | Command::ReleaseRemoteResults { .. }
            | Command::FetchDirectory { .. }
            | Command::FetchConfiguration { .. }) => self.peers.carry_out(self, command),
        }
    }
}

async fn feed_timers(
    engine: Arc<DaemonEngine>,
    mut due: UnboundedReceiver<crocusdale_core::daemon::TimerKey>,
) {
    while let Some(timer) = due.recv().await {
        engine.feed(DaemonEvent::Timer(timer));
    }
}
