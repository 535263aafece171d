//! Test support: a fleet on a virtual clock that serves callers' requests, and some of whose daemons
//! lose their links to all upstreams.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::batching::{BatchOrder, BatchOutcome, ItemOutcome};
use crocusdale_core::configuration::LabelSet;
use crocusdale_core::daemon::{AttemptPath, Command, DaemonEvent, StalenessBounds};
use crocusdale_core::identity::{
    CallId, MonotonicTime, RequestDigest, RequestKey, SoftwareVersion,
};
use crocusdale_core::pipeline::{
    AttemptEvent, BreakReason, CallerRequest, EngineDemand, ExecutionStatus, FinalAnswer,
    ForwardHead, ForwardOrder, OutcomeKind, PieceFault, PromptPart, RequestContent, ResponseHead,
    ResultHandle,
};
use crocusdale_core::reachability::{TransitEnd, TransitRefusal};
use crocusdale_core::routing::DirectoryEntry;

use crate::forward_daemon::{HOST, KEY, read};
use crate::support::virtual_fleet::VirtualFleet;
use crate::support::{vm_index, vm_name};

/// Number of upstreams of each pool.
const POOL_SIZE: usize = 4;
/// One-way latency between two daemons.
const PEER_LATENCY: Duration = Duration::from_millis(2);
/// Time in which an upstream answers a forwarded request.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Time in which an upstream answers a batch call.
const BATCH_TIME: Duration = Duration::from_millis(200);
/// Deadline of the callers' requests.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Daemons with callers, upstreams and links that can be cut.
pub struct CutFleet {
    pub fleet: VirtualFleet,
    /// Calls of callers, with the daemon that they reached and the time of that.
    pub calls: Vec<(usize, CallId, MonotonicTime)>,
    /// Batch calls that were carried out, by daemon.
    pub batches: Vec<usize>,
    /// Forwarded requests that reached an upstream, by the daemon that sent them.
    pub sent: Vec<(usize, String)>,
    /// Connections to upstreams that daemons keep for further requests.
    pub kept: HashSet<(usize, String)>,
    events: BTreeMap<(MonotonicTime, u64), (usize, DaemonEvent)>,
    sequence: u64,
}

/// First tries of callers: how many were served, and how many there were.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    pub served: usize,
    pub total: usize,
}

impl CutFleet {
    /// Starts `size` daemons in three availability zones.
    pub fn start(size: usize) -> Self {
        let fleet = VirtualFleet::with_reader(size, 3, StalenessBounds::default(), read);
        let mut fleet = Self {
            fleet,
            calls: Vec::new(),
            batches: Vec::new(),
            sent: Vec::new(),
            kept: HashSet::new(),
            events: BTreeMap::new(),
            sequence: 0,
        };
        fleet.fleet.published = (5, published_upstreams());
        fleet.run(Duration::from_secs(5));
        assert!(fleet.fleet.cores.iter().all(crocusdale_core::DaemonCore::is_ready));
        fleet
    }

    /// Advances the clock by `time`, and carries out what the daemons order.
    pub fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(self.fleet.now.since_start() + Duration::from_millis(1));
            while let Some(entry) =
                self.events.first_entry().filter(|entry| entry.key().0 <= self.fleet.now)
            {
                let (index, event) = entry.remove();
                self.fleet.feed(index, event);
            }
            self.carry_out();
        }
    }

    /// Sends a request for `path` to a daemon.
    pub fn submit(&mut self, index: usize, path: &str) -> CallId {
        let request = request(path, self.calls.len());
        let call = self.fleet.submit(index, request);
        self.calls.push((index, call, self.fleet.now));
        self.carry_out();
        call
    }

    /// Sends a request for each of `paths` to each daemon, every 100 ms for `time`.
    pub fn serve(&mut self, paths: &[&str], time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            for index in 0..self.fleet.cores.len() {
                for path in paths {
                    self.submit(index, path);
                }
            }
            self.run(Duration::from_millis(100));
        }
    }

    /// How the requests that reached a daemon of `daemons` at or after `since` were served.
    pub fn served(&self, daemons: impl Fn(usize) -> bool, since: MonotonicTime) -> Served {
        let tries = self.calls.iter().filter(|(index, _, at)| daemons(*index) && *at >= since);
        let mut served = Served::default();
        for (index, call, _) in tries {
            let answer = self.answer(*index, *call);
            served.total += 1;
            served.served +=
                usize::from(answer.is_some_and(|answer| answer.kind == OutcomeKind::Answered));
        }
        served
    }

    /// Final answer to a call at a daemon.
    pub fn answer(&self, index: usize, call: CallId) -> Option<&FinalAnswer> {
        let mut answers = self.fleet.answers.iter();
        answers.find(|(by, answered, _)| *by == index && *answered == call).map(|(.., each)| each)
    }

    fn carry_out(&mut self) {
        loop {
            let relays = std::mem::take(&mut self.fleet.relays);
            let commands = std::mem::take(&mut self.fleet.work_commands);
            if relays.is_empty() && commands.is_empty() {
                return;
            }
            for (index, _, order) in relays {
                self.forward(index, &order);
            }
            for (index, command) in commands {
                self.carry_out_work(index, command);
            }
        }
    }

    /// Sends a request on the ways that the daemon chooses, as its process does.
    fn forward(&mut self, index: usize, order: &ForwardOrder) {
        let attempt = order.attempt;
        let (mut tried, mut has_failed) = (Vec::new(), false);
        let event = loop {
            match self.fleet.cores[index].attempt_path(order, &tried, self.fleet.now) {
                AttemptPath::Direct if has_failed => break AttemptEvent::NotSent,
                AttemptPath::Direct => match self.send_directly(index, order) {
                    Ok(()) => return,
                    Err(Some(event)) => break event,
                    Err(None) => has_failed = true,
                },
                AttemptPath::Transit(vm) => match self.send_in_transit(index, &vm, order) {
                    Ok(()) => return,
                    Err(TransitRefusal::ConnectFailed) => {
                        let upstream = order.upstream.clone();
                        self.fleet.feed(index, DaemonEvent::UpstreamDown { upstream });
                        break AttemptEvent::NotSent;
                    }
                    Err(_) => tried.push(vm),
                },
                AttemptPath::OtherUpstream => break AttemptEvent::NotSent,
                AttemptPath::NoPath(retry_after) => break AttemptEvent::NoPath(retry_after),
            }
        };
        self.fleet.feed(index, DaemonEvent::Attempt { attempt, event });
    }

    /// Returns the event that ends the attempt, or `None` if the connection was refused.
    fn send_directly(
        &mut self,
        index: usize,
        order: &ForwardOrder,
    ) -> Result<(), Option<AttemptEvent>> {
        let connection = (index, order.upstream.clone());
        let is_kept = !order.needs_new_connection && self.kept.remove(&connection);
        if !self.fleet.cut_off.contains(&index) {
            self.kept.insert(connection);
            self.answer_attempt(index, index, order);
            return Ok(());
        }
        if is_kept {
            // The kept connection is reset.
            return Err(Some(AttemptEvent::Broken(BreakReason::Cut)));
        }
        self.fleet.refuse_connection(index, &order.upstream);
        Err(None)
    }

    fn send_in_transit(
        &mut self,
        index: usize,
        vm: &str,
        order: &ForwardOrder,
    ) -> Result<(), TransitRefusal> {
        let (now, sender) = (self.fleet.now, vm_index(vm));
        let request = self.fleet.cores[index].transit_request(order, (HOST, "/ask/7"), Some(KEY));
        self.fleet.cores[index].finish_transit(vm, TransitEnd::Done, now);
        self.fleet.cores[sender].admit_transit(&request, now)?;
        self.fleet.cores[sender].end_transit();
        if self.fleet.cut_off.contains(&sender) {
            self.fleet.refuse_connection(sender, &order.upstream);
            return Err(self.fleet.cores[sender].connect_refusal(&order.pool));
        }
        self.answer_attempt(index, sender, order);
        Ok(())
    }

    /// Lets the upstream answer a request of daemon `index` that the daemon `sender` has sent.
    fn answer_attempt(&mut self, index: usize, sender: usize, order: &ForwardOrder) {
        let attempt = order.attempt;
        self.sent.push((sender, order.upstream.clone()));
        let head = ResponseHead { status: 200, execution: ExecutionStatus::Ran };
        let time = ANSWER_TIME + if sender == index { Duration::ZERO } else { PEER_LATENCY * 2 };
        let events = [
            AttemptEvent::HeadReceived(head),
            AttemptEvent::StreamStarted,
            AttemptEvent::ResponseForwarded,
        ];
        for event in events {
            self.schedule(index, time, DaemonEvent::Attempt { attempt, event });
        }
    }

    fn carry_out_work(&mut self, index: usize, command: Command) {
        match command {
            Command::CallBatch(order) => self.call_batch(index, &order),
            Command::SendPieces { vm, order } => {
                self.schedule(vm_index(&vm), PEER_LATENCY, DaemonEvent::PiecesReceived(order));
            }
            Command::AnswerPieces { attempt, outcome, wait } => {
                let retry_after = wait.retry_after();
                let event = match outcome {
                    Ok(results) => AttemptEvent::PiecesCompleted(results),
                    Err(PieceFault::DispatcherCutOff) => {
                        AttemptEvent::DispatcherLost(vm_name(index))
                    }
                    Err(fault) => AttemptEvent::PiecesFailed { fault, retry_after },
                };
                let owner = self
                    .fleet
                    .cores
                    .iter()
                    .position(|core| core.instance().process_hash() == attempt.incarnation);
                let owner = owner.expect("a daemon has sent these pieces");
                self.schedule(owner, PEER_LATENCY, DaemonEvent::Attempt { attempt, event });
            }
            _ => {}
        }
    }

    fn call_batch(&mut self, index: usize, order: &BatchOrder) {
        let batch = order.batch;
        if self.fleet.cut_off.contains(&index) {
            self.fleet.refuse_connection(index, &order.upstream);
            let outcome = BatchOutcome::NotSent;
            self.fleet.feed(index, DaemonEvent::BatchEnded { batch, outcome });
            return;
        }
        self.batches.push(index);
        let result = |number| ResultHandle::new(&format!("{}/{}{number}", order.address, batch.0));
        let items = (0..order.items.len()).map(|number| ItemOutcome::Made(result(number)));
        let outcome = BatchOutcome::Answered(items.collect());
        self.schedule(index, BATCH_TIME, DaemonEvent::BatchEnded { batch, outcome });
    }

    fn schedule(&mut self, index: usize, after: Duration, event: DaemonEvent) {
        self.sequence += 1;
        self.events.insert((self.fleet.now + after, self.sequence), (index, event));
    }
}

impl Served {
    /// Share of the tries that were served.
    pub fn share(self) -> f64 {
        self.served as f64 / self.total.max(1) as f64
    }
}

fn published_upstreams() -> Vec<(u64, DirectoryEntry)> {
    let pools = ["notify", "scan", "rank", "reader"];
    let names = pools.iter().flat_map(|pool| (0..POOL_SIZE).map(move |index| (*pool, index)));
    let entry = |(number, (pool, index)): (usize, (&str, usize))| DirectoryEntry {
        started_at_ms: None,
        id: format!("{pool}-{index}"),
        pool: pool.to_owned(),
        address: format!("127.0.1.{number}:9").parse().expect("an address"),
        zone: format!("z{}", index % 3),
        slots: 8,
        leaving: false,
        software_version: SoftwareVersion::new("v1"),
    };
    names.enumerate().map(|each| (5, entry(each))).collect()
}

fn request(path: &str, number: usize) -> CallerRequest {
    let parts = vec![PromptPart { id: 5, tokens: 900 }, PromptPart { id: 6, tokens: 100 }];
    let demand = EngineDemand { parts, prompt_tokens: 1_000, output_tokens: 50 };
    let head = ForwardHead {
        host: HOST.to_owned(),
        path: path.to_owned(),
        content: RequestDigest::of(&[path.as_bytes()]),
        access: Some(KEY.to_owned()),
        pieces: vec![3],
        piece_source: "envelope".to_owned(),
        demand: path.starts_with("/digest/").then(|| Arc::new(demand)),
        resumed: None,
    };
    CallerRequest {
        key: RequestKey::new("", format!("{} {number}", vm_name(0))),
        labels: LabelSet::default(),
        deadline: DEADLINE,
        repeatable: false,
        stream: false,
        age: Duration::ZERO,
        ticket: None,
        content: RequestContent::Forward(Box::new(head)),
    }
}
