//! Test support: a few daemon cores on a virtual clock. The test decides when each message between
//! them is delivered.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod virtual_fleet;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_core::claims::RegisterReply;
use crocusdale_core::configuration::LabelSet;
use crocusdale_core::daemon::{Command, DaemonEvent, TimerKey};
use crocusdale_core::identity::{AttemptId, CallId, InstanceId, MonotonicTime, RequestKey};
use crocusdale_core::membership::{VmEntry, VmList, VmRole, VmState, WitnessSet};
use crocusdale_core::pipeline::{
    AttemptEvent, CallerRequest, FinalAnswer, HolderReply, JsonCallOrder, OutcomeKind,
    RequestContent,
};
use crocusdale_core::{DaemonCore, DaemonCoreBuilder};
use serde_json::value::RawValue;

/// Lifetime of a request key in [`DECLARATIONS`], in milliseconds.
pub const KEY_LIFE_MS: u64 = 10_000;
/// Longest request deadline in [`DECLARATIONS`], in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;

/// Configuration of the daemons under test: two upstreams, one workspace and two pipelines, of
/// which only `read` may be repeated.
pub const DECLARATIONS: &str = "\
[deployment]
name = test
key_life_ms = 10000
longest_deadline_ms = 2000
[upstream u1]
vm = vm-u1
zone = z0
kind = plain_service
address = 127.0.0.1:1
labels = stage=work
concurrency = 100
[upstream u2]
vm = vm-u2
zone = z1
kind = plain_service
address = 127.0.0.1:2
labels = stage=work
concurrency = 100
[stage work]
pool = stage = work
silence_ms = 1500
[workspace mail]
[pipeline once]
when = job = once
stages = work
repeatable = no
[pipeline read]
when = job = read
stages = work
";

/// A message between two daemons that has been sent and not yet been delivered.
#[derive(Clone, Debug)]
pub enum Message {
    Register {
        call: CallId,
        witness: String,
        key: RequestKey,
        witnesses: WitnessSet,
        is_tombstone: bool,
    },
    RegisterReply {
        call: CallId,
        witness: String,
        reply: Option<RegisterReply>,
    },
    AskHolder {
        call: CallId,
        key: RequestKey,
        holder: InstanceId,
    },
    HolderReply {
        call: CallId,
        reply: Option<HolderReply>,
    },
    RecordOutcome {
        witness: String,
        key: RequestKey,
        body: Vec<u8>,
    },
}

/// A pending message, with the daemon that sent the query.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// Index of the daemon that sent the query and receives the reply.
    pub sender: usize,
    /// Incarnation of that daemon. A reply to an earlier incarnation is dropped.
    pub incarnation: u64,
    pub message: Message,
}

/// One daemon with its pending timers.
pub struct Node {
    pub core: DaemonCore,
    pub incarnation: u64,
    timers: BTreeMap<(MonotonicTime, u64), TimerKey>,
    /// Whether the daemon is paused: its timers don't fire, and queries to it get no answer.
    pub paused: bool,
}

/// Several daemons on one virtual clock. Messages wait in `network` until the test delivers them.
pub struct CoreFleet {
    pub now: MonotonicTime,
    pub nodes: Vec<Node>,
    pub network: Vec<Envelope>,
    /// Unanswered attempts, with the index and the incarnation of the daemon that sent them.
    pub attempts: Vec<(usize, u64, JsonCallOrder)>,
    /// Number of runs of each request key.
    pub runs: HashMap<RequestKey, u32>,
    /// Final answers to callers, with the request key, in the order in which they were given.
    pub answers: Vec<(RequestKey, FinalAnswer)>,
    calls: HashMap<(usize, u64, CallId), RequestKey>,
    /// Configuration that restarted daemons read.
    pub declarations: String,
    pub roster: VmList,
    sequence: u64,
    last_incarnation: u64,
}

impl CoreFleet {
    /// Creates `count` daemons in three availability zones that have run for longer than the
    /// lifetime of a key.
    pub fn new(count: usize) -> Self {
        let vms = (0..count).map(entry).collect();
        let mut fleet = Self {
            now: MonotonicTime::from_millis(0),
            nodes: Vec::new(),
            network: Vec::new(),
            attempts: Vec::new(),
            runs: HashMap::new(),
            answers: Vec::new(),
            calls: HashMap::new(),
            declarations: DECLARATIONS.to_owned(),
            roster: VmList { revision: 1, vms },
            sequence: 0,
            last_incarnation: 0,
        };
        for index in 0..count {
            let node = fleet.new_node(index);
            fleet.nodes.push(node);
            fleet.configure(index);
        }
        fleet.advance(KEY_LIFE_MS + 1);
        fleet
    }

    fn new_node(&mut self, index: usize) -> Node {
        self.last_incarnation += 1;
        let own = InstanceId::new(vm_name(index), self.last_incarnation);
        let core =
            DaemonCoreBuilder::new(own, zone(index)).seed(self.last_incarnation).build(self.now);
        Node { core, incarnation: self.last_incarnation, timers: BTreeMap::new(), paused: false }
    }

    /// Gives the VM list and the configuration to a daemon.
    fn configure(&mut self, index: usize) {
        let roster = self.roster.clone();
        self.feed(index, DaemonEvent::VmListRead(Some(roster)));
        let text = self.declarations.clone();
        self.feed(index, DaemonEvent::ConfigurationWatched(Some((1, text))));
        // No peer answers heartbeats here. A daemon becomes ready once it has tried all peers.
        for peer in self.roster.vms.clone() {
            self.feed(index, DaemonEvent::HeartbeatFailed(peer.name));
        }
        self.feed(index, DaemonEvent::Timer(TimerKey::Housekeeping));
    }

    /// Gives the VM list `roster` to one daemon.
    pub fn give_roster(&mut self, index: usize, roster: VmList) {
        self.feed(index, DaemonEvent::VmListRead(Some(roster)));
    }

    /// Stops a daemon and starts a new one on its VM.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.new_node(index);
        self.configure(index);
    }

    /// Advances the virtual clock. Due timers of daemons that aren't paused fire.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        loop {
            let due_timers = self.nodes.iter().enumerate().filter(|(_, node)| !node.paused);
            let due_timers = due_timers.filter_map(|(index, node)| {
                node.timers.first_key_value().map(|(queue_position, timer)| {
                    (queue_position.0, index, *queue_position, *timer)
                })
            });
            let Some((at, index, queue_position, timer)) =
                due_timers.min_by_key(|each| (each.0, each.1))
            else {
                break;
            };
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.nodes[index].timers.remove(&queue_position);
            self.feed(index, DaemonEvent::Timer(timer));
        }
        self.now = end;
    }

    /// Stops a daemon and starts a new one on its VM, which has the VM list but no configuration.
    pub fn restart_without_configuration(&mut self, index: usize) {
        self.nodes[index] = self.new_node(index);
        let roster = self.roster.clone();
        self.feed(index, DaemonEvent::VmListRead(Some(roster)));
    }

    /// Sends a request to a daemon.
    pub fn submit(&mut self, index: usize, request: CallerRequest) {
        let key = request.key.clone();
        let call = self.nodes[index].core.open_call(&key);
        self.calls.insert((index, self.nodes[index].incarnation, call), key);
        self.feed(index, DaemonEvent::Submitted { call, request: Box::new(request) });
    }

    /// Asks a daemon for the outcome of a key. `None` as its age means that the caller gives no
    /// age.
    pub fn inquire(&mut self, index: usize, key: &RequestKey, age_ms: Option<u64>) {
        let call = self.nodes[index].core.open_call(key);
        self.calls.insert((index, self.nodes[index].incarnation, call), key.clone());
        let age = age_ms.map(Duration::from_millis);
        self.feed(index, DaemonEvent::Inquired { call, key: key.clone(), age });
    }

    /// Delivers the message at `position`. If `again` is set, it stays pending and can be delivered
    /// another time.
    pub fn deliver(&mut self, position: usize, again: bool) {
        let envelope =
            if again { self.network[position].clone() } else { self.network.remove(position) };
        let (sender, incarnation) = (envelope.sender, envelope.incarnation);
        match envelope.message {
            // No daemon runs yet on a VM that was added to the list.
            Message::RecordOutcome { witness, .. } if vm_index(&witness) >= self.nodes.len() => {}
            Message::Register { call, witness, .. } if vm_index(&witness) >= self.nodes.len() => {
                let message = Message::RegisterReply { call, witness, reply: None };
                self.network.push(Envelope { sender, incarnation, message });
            }
            Message::Register { call, witness, key, witnesses, is_tombstone } => {
                let at = vm_index(&witness);
                if self.nodes[at].paused {
                    return;
                }
                let claimant = InstanceId::new(vm_name(sender), incarnation);
                let claimant = (!is_tombstone).then_some(&claimant);
                let mut commands = Vec::new();
                let node = &self.nodes[at];
                let reply = node.core.witness(&key, claimant, &witnesses, self.now, &mut commands);
                let message = Message::RegisterReply { call, witness, reply: Some(reply) };
                self.network.push(Envelope { sender, incarnation, message });
            }
            Message::AskHolder { call, key, holder } => {
                let node = &self.nodes[vm_index(&holder.vm)];
                let reply = (!node.paused).then(|| node.core.holder_reply(&key, &holder));
                let message = Message::HolderReply { call, reply };
                self.network.push(Envelope { sender, incarnation, message });
            }
            Message::RecordOutcome { witness, key, body } => {
                let holder = InstanceId::new(vm_name(sender), incarnation);
                let witness = &self.nodes[vm_index(&witness)].core;
                witness.record_outcome(&key, &holder, &body, self.now);
            }
            Message::RegisterReply { .. } | Message::HolderReply { .. }
                if self.nodes[sender].incarnation != incarnation || self.nodes[sender].paused => {}
            Message::RegisterReply { call, witness, reply } => {
                self.feed(sender, DaemonEvent::WitnessReplied { call, witness, reply });
            }
            Message::HolderReply { call, reply } => {
                self.feed(sender, DaemonEvent::HolderReplied { call, reply });
            }
        }
    }

    /// Delivers the pending messages in order until there are none. Panics after 10 000 messages.
    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            if self.network.is_empty() {
                return;
            }
            self.deliver(0, false);
        }
        panic!("messages are still pending after 10000 deliveries");
    }

    /// Answers the open attempt at `position` with `event`. The answer is dropped if the daemon has
    /// restarted since.
    pub fn answer_attempt(
        &mut self,
        position: usize,
        event: impl FnOnce(AttemptId) -> AttemptEvent,
    ) {
        let (index, incarnation, order) = self.attempts.remove(position);
        if self.nodes[index].incarnation == incarnation {
            let event = event(order.attempt);
            self.feed(index, DaemonEvent::Attempt { attempt: order.attempt, event });
        }
    }

    /// Kinds of the final answers for `key`, in the order in which they were given.
    pub fn outcome_kinds(&self, key: &RequestKey) -> Vec<OutcomeKind> {
        let own = self.answers.iter().filter(|(each, _)| each == key);
        own.map(|(_, answer)| answer.kind).collect()
    }

    /// Number of runs of `key`.
    pub fn run_count(&self, key: &RequestKey) -> u32 {
        self.runs.get(key).copied().unwrap_or_default()
    }

    /// Lets a daemon handle an event, and executes the resulting commands.
    pub fn feed(&mut self, index: usize, event: DaemonEvent) {
        let mut commands = Vec::new();
        self.nodes[index].core.handle(event, self.now, &mut commands);
        for command in commands {
            self.execute(index, command);
        }
    }

    fn execute(&mut self, index: usize, command: Command) {
        let incarnation = self.nodes[index].incarnation;
        let mut send =
            |message| self.network.push(Envelope { sender: index, incarnation, message });
        match command {
            Command::AskWitness { call, witness, key, witnesses, is_tombstone } => {
                send(Message::Register { call, witness, key, witnesses, is_tombstone });
            }
            Command::AskHolder { call, key, holder } => {
                send(Message::AskHolder { call, key, holder });
            }
            Command::RecordOutcome { witness, key, body } => {
                send(Message::RecordOutcome { witness, key, body: body.to_vec() });
            }
            Command::SetTimer { timer, at } => {
                self.sequence += 1;
                self.nodes[index].timers.insert((at, self.sequence), timer);
            }
            Command::Send(order) => {
                let body: serde_json::Value = serde_json::from_slice(&order.body).expect("JSON");
                let text = |field: &str| body[field].as_str().unwrap_or_default().to_owned();
                let key = RequestKey::new(text("workspace"), text("key"));
                *self.runs.entry(key).or_default() += 1;
                self.attempts.push((index, incarnation, order));
            }
            Command::Reply { call, answer } => {
                if let Some(key) = self.calls.get(&(index, incarnation, call)) {
                    self.answers.push((key.clone(), answer));
                }
            }
            _ => {}
        }
    }
}

/// Builds a request that the pipeline for `job` serves.
pub fn request(key: &RequestKey, job: &str, repeatable: bool) -> CallerRequest {
    CallerRequest {
        key: key.clone(),
        labels: LabelSet::parse(&format!("job={job}")).expect("labels"),
        deadline: Duration::from_millis(DEADLINE_MS),
        repeatable,
        stream: false,
        age: Duration::ZERO,
        ticket: None,
        content: RequestContent::Json(RawValue::from_string("{}".into()).expect("JSON")),
    }
}

/// Builds a complete answer to `attempt`.
pub fn whole_answer(attempt: AttemptId) -> AttemptEvent {
    let answer = RawValue::from_string("\"done\"".into()).expect("JSON");
    AttemptEvent::Answered { echo: Some(attempt), answer }
}

pub fn key(name: &str) -> RequestKey {
    RequestKey::new("mail", name)
}

pub fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}

pub fn vm_index(name: &str) -> usize {
    name.trim_start_matches("vm-").parse().expect("the name of a test VM is vm- and a number")
}

fn zone(index: usize) -> String {
    format!("z{}", index % 3)
}

/// Builds the VM list entry of the daemon `index`.
pub fn entry(index: usize) -> VmEntry {
    let port = u16::try_from(index).expect("the daemon index fits into a port number") + 1_000;
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    VmEntry {
        name: vm_name(index),
        zone: zone(index),
        role: VmRole::Entry,
        state: VmState::Live,
        peer: Some(address),
        caller: Some(address),
        operator: None,
    }
}
