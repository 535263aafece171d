//! Measures the cost of the control plane of a fleet, in virtual time. Usage: `fleet_slopes [SIZE
//! ...]`.
//!
//! Runs SIZE daemon cores (6, 50, 150 and 410 by default) in eight availability zones of two
//! regions and delivers their messages. Prints for each size: messages and bytes a second for each
//! daemon, processor time of the decisions, reads of the platform, the time until a new
//! configuration is in force everywhere, and the time until all daemons have detected the loss of a
//! zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crocusdale_core::daemon::{Command, DaemonEvent};
use crocusdale_core::identity::{InstanceId, MonotonicTime};
use crocusdale_core::membership::{
    ExchangeMessage, MemberStatus, VmEntry, VmList, VmRole, VmState,
};
use crocusdale_core::{DaemonCore, DaemonCoreBuilder};
use crocusdale_schema::peer;
use prost::Message as _;

const ZONES: usize = 8;
/// One-way network latency within a region.
const LOCAL_LATENCY: Duration = Duration::from_micros(500);
/// One-way network latency between regions.
const REMOTE_LATENCY: Duration = Duration::from_millis(30);
/// Time after the start by which the traffic of the start has ended.
const WARM_UP: Duration = Duration::from_secs(180);
/// Time after which the configuration service answers a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a heartbeat to a lost daemon counts as failed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Approximate number of bytes that HTTP/2 and TCP add to a message in each direction.
const FRAMING_BYTES: usize = 120;

enum Delivery {
    Event(DaemonEvent),
    Exchange { from: usize, message: Box<ExchangeMessage>, sent: MonotonicTime },
    Fetch { from: usize, known: u64 },
}

#[derive(Default)]
struct FleetMetrics {
    exchanges: u64,
    bytes: u64,
    fetched_bytes: u64,
    reads: BTreeMap<u64, u64>,
    spent: Duration,
}

struct Fleet {
    now: MonotonicTime,
    cores: Vec<DaemonCore>,
    lost: Vec<bool>,
    queue: BTreeMap<(MonotonicTime, u64), (usize, Delivery)>,
    sequence: u64,
    vm_list: VmList,
    published: (u64, String),
    outage: bool,
    metrics: FleetMetrics,
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![6, 50, 150, 410] } else { sizes };
    println!(
        "{:>5} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "size",
        "msgs/s",
        "bytes/s",
        "core %",
        "reads/s",
        "force ms",
        "text KB",
        "peak rd/s",
        "zone ms",
        "zone B/s"
    );
    for size in sizes {
        measure(size);
    }
}

fn measure(size: usize) {
    let mut fleet = Fleet::start(size);
    fleet.run(WARM_UP);
    fleet.metrics = FleetMetrics::default();
    let (steady, count) = (60, size as f64);
    fleet.run(Duration::from_secs(steady));
    let metrics = std::mem::take(&mut fleet.metrics);
    let seconds = steady as f64;
    let messages = metrics.exchanges as f64 * 2.0 / count / seconds;
    // Each byte counts twice: it is sent by one daemon and received by another.
    let bytes = metrics.bytes as f64 * 2.0 / count / seconds;
    let share = metrics.spent.as_secs_f64() / count / seconds * 100.0;
    let reads = metrics.reads.values().sum::<u64>() as f64 / seconds;

    let force = fleet.publish_and_wait(2);
    let text = fleet.metrics.fetched_bytes as f64 / count / 1024.0;

    fleet.outage = true;
    fleet.end_watches();
    fleet.run(Duration::from_secs(60));
    fleet.outage = false;
    fleet.metrics = FleetMetrics::default();
    fleet.run(Duration::from_secs(20));
    let peak = fleet.metrics.reads.values().max().copied().unwrap_or_default();

    fleet.metrics = FleetMetrics::default();
    let (zone, zone_seconds) = fleet.lose_zone();
    let remaining_daemons = count - count / ZONES as f64;
    let zone_bytes = fleet.metrics.bytes as f64 * 2.0 / remaining_daemons / zone_seconds;
    println!(
        "{size:>5} {messages:>9.2} {bytes:>9.0} {share:>8.3} {reads:>8.1} {force:>9.0} {text:>9.1} {peak:>9} {zone:>9.0} {zone_bytes:>9.0}"
    );
}

impl Fleet {
    fn start(size: usize) -> Self {
        let vms = (0..size).map(entry).collect();
        let now = MonotonicTime::from_millis(0);
        let core = |index: usize| {
            let own = InstanceId::new(name(index), 1);
            DaemonCoreBuilder::new(own, zone(index)).seed(index as u64).build(now)
        };
        let mut fleet = Self {
            now,
            cores: (0..size).map(core).collect(),
            lost: vec![false; size],
            queue: BTreeMap::new(),
            sequence: 0,
            vm_list: VmList { revision: 1, vms },
            published: (1, declarations(1)),
            outage: false,
            metrics: FleetMetrics::default(),
        };
        for index in 0..size {
            let mut commands = Vec::new();
            fleet.cores[index].start(now, &mut commands);
            fleet.execute_commands(index, commands);
        }
        fleet
    }

    fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while let Some((queue_key, _)) = self.queue.first_key_value() {
            if queue_key.0 > until {
                break;
            }
            let Some((queue_key, (index, delivery))) = self.queue.pop_first() else { break };
            self.now = queue_key.0;
            if !self.lost[index] {
                self.deliver(index, delivery);
            }
        }
        self.now = until;
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let mut commands = Vec::new();
        let start = Instant::now();
        match delivery {
            Delivery::Event(event) => self.cores[index].handle(event, self.now, &mut commands),
            Delivery::Exchange { from, message, sent } => {
                let reply = self.cores[index].exchange(&message, self.now, &mut commands);
                self.metrics.bytes += wire_size(&reply);
                let event = DaemonEvent::HeartbeatAnswered { message: Box::new(reply), sent };
                self.push(from, self.latency(index, from), Delivery::Event(event));
            }
            Delivery::Fetch { from, known } => {
                let fetched = self.cores[index].configuration_after(known);
                let fetched = fetched.map(|(revision, text)| (revision, text.to_string()));
                let size = fetched.as_ref().map_or(0, |(_, text)| text.len());
                self.metrics.fetched_bytes += size as u64;
                let event = DaemonEvent::ConfigurationFetched(fetched);
                self.push(from, self.latency(index, from), Delivery::Event(event));
            }
        }
        self.metrics.spent += start.elapsed();
        self.execute_commands(index, commands);
    }

    fn execute_commands(&mut self, index: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::SetTimer { timer, at } => {
                    self.sequence += 1;
                    let delivery = Delivery::Event(DaemonEvent::Timer(timer));
                    self.queue.insert((at, self.sequence), (index, delivery));
                }
                Command::SendHeartbeat { vm, message } => self.exchange(index, vm, message),
                Command::FetchConfiguration { vm, known } => {
                    let to = position(&vm);
                    let delivery = Delivery::Fetch { from: index, known };
                    self.push(to, self.latency(index, to), delivery);
                }
                Command::WatchConfiguration { known } => self.watch(index, known),
                Command::ReadVmList { known } => self.read_vm_list(index, known),
                _ => {}
            }
        }
    }

    fn exchange(&mut self, index: usize, vm: String, message: Box<ExchangeMessage>) {
        let to = position(&vm);
        self.metrics.exchanges += 1;
        self.metrics.bytes += wire_size(&message);
        if self.lost[to] {
            let event = DaemonEvent::HeartbeatFailed(vm);
            self.push(index, HEARTBEAT_TIMEOUT, Delivery::Event(event));
        } else {
            let delivery = Delivery::Exchange { from: index, message, sent: self.now };
            self.push(to, self.latency(index, to), delivery);
        }
    }

    fn watch(&mut self, index: usize, known: u64) {
        self.count_read();
        if self.outage {
            self.push(index, LOCAL_LATENCY, Delivery::Event(DaemonEvent::ConfigurationWatchFailed));
        } else if known != self.published.0 {
            let event = DaemonEvent::ConfigurationWatched(Some(self.published.clone()));
            self.push(index, LOCAL_LATENCY, Delivery::Event(event));
        } else {
            let event = DaemonEvent::ConfigurationWatched(None);
            self.push(index, WATCH_TIMEOUT, Delivery::Event(event));
        }
    }

    fn read_vm_list(&mut self, index: usize, known: u64) {
        self.count_read();
        let read = (known == 0).then(|| self.vm_list.clone());
        let event =
            if self.outage { DaemonEvent::VmListReadFailed } else { DaemonEvent::VmListRead(read) };
        self.push(index, LOCAL_LATENCY, Delivery::Event(event));
    }

    fn count_read(&mut self) {
        *self.metrics.reads.entry(self.now.since_start().as_secs()).or_default() += 1;
    }

    /// Ends all open watches: with the published configuration, or with an error in an outage.
    fn end_watches(&mut self) {
        let mut watching_daemons = Vec::new();
        self.queue.retain(|_, (index, delivery)| {
            let is_watch =
                matches!(delivery, Delivery::Event(DaemonEvent::ConfigurationWatched(None)));
            if is_watch {
                watching_daemons.push(*index);
            }
            !is_watch
        });
        for index in watching_daemons {
            let event = if self.outage {
                DaemonEvent::ConfigurationWatchFailed
            } else {
                DaemonEvent::ConfigurationWatched(Some(self.published.clone()))
            };
            self.push(index, LOCAL_LATENCY, Delivery::Event(event));
        }
    }

    /// Publishes a configuration revision. Returns the milliseconds until it is in force at every
    /// daemon, infinity if that takes longer than 60 s.
    fn publish_and_wait(&mut self, revision: u64) -> f64 {
        self.metrics = FleetMetrics::default();
        self.published = (revision, declarations(revision));
        self.end_watches();
        let start = self.now;
        let step = Duration::from_millis(10);
        while self.cores.iter().any(|core| core.dump(self.now).revision != revision) {
            self.run(step);
            if self.now.since(start) > Duration::from_secs(60) {
                return f64::INFINITY;
            }
        }
        self.now.since(start).as_secs_f64() * 1e3
    }

    /// Stops all daemons of the first zone. Returns the time until every other daemon has marked
    /// all of them as unreachable, or 120 s if some have not by then, in milliseconds and in
    /// seconds.
    fn lose_zone(&mut self) -> (f64, f64) {
        let start = self.now;
        for index in (0..self.cores.len()).step_by(ZONES) {
            self.lost[index] = true;
        }
        let lost = self.lost.iter().filter(|lost| **lost).count();
        let step = Duration::from_millis(250);
        loop {
            self.run(step);
            let noticed = self.cores.iter().enumerate().filter(|(index, _)| !self.lost[*index]);
            let noticed = noticed.clone().all(|(_, core)| {
                let members = core.dump(self.now).members;
                let gone = members.iter().filter(|each| each.status == MemberStatus::Unreachable);
                gone.count() >= lost
            });
            let spent = self.now.since(start);
            if noticed || spent > Duration::from_secs(120) {
                return (spent.as_secs_f64() * 1e3, spent.as_secs_f64());
            }
        }
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let region = |index: usize| (index % ZONES) / (ZONES / 2);
        if region(from) == region(to) { LOCAL_LATENCY } else { REMOTE_LATENCY }
    }

    fn push(&mut self, index: usize, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), (index, delivery));
    }
}

fn wire_size(message: &ExchangeMessage) -> u64 {
    let size = peer::ExchangeMessage::from(message.clone()).encoded_len();
    (size + FRAMING_BYTES) as u64
}

fn name(index: usize) -> String {
    format!("entry-z{}-{index:03}", index % ZONES)
}

fn position(name: &str) -> usize {
    name.rsplit('-').next().and_then(|digits| digits.parse().ok()).expect("a name of this fleet")
}

fn zone(index: usize) -> String {
    format!("z{}", index % ZONES)
}

fn entry(index: usize) -> VmEntry {
    let port = u16::try_from(index + 1_000).expect("a small fleet");
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    VmEntry {
        name: name(index),
        zone: zone(index),
        role: VmRole::Entry,
        state: VmState::Live,
        peer: Some(address),
        caller: Some(address),
        operator: None,
    }
}

/// Declarations of the size that the system is designed for: 600 workers, 350 workspaces, 19
/// pipelines.
fn declarations(revision: u64) -> String {
    let mut text = format!("[deployment]\nname = large-{revision}\nkey_life_ms = 20000\n");
    for index in 0..600 {
        let (stage, low, high) = (index % 6, index % 250 + 1, index / 250 + 1);
        text += &format!(
            "[upstream worker-{index}]\nvm = vm-worker-{index}\nzone = z{}\nkind = model_engine\n\
             address = 127.1.{high}.{low}:8000\nlabels = stage=s{stage}, model=m{}\n",
            index % ZONES,
            index % 6,
        );
    }
    for index in 0..350 {
        text += &format!("[workspace customer-{index}]\nlabels = tier=large\nconcurrency = 64\n");
    }
    for stage in 0..6 {
        text += &format!("[stage s{stage}]\npool = stage = s{stage}\n");
    }
    for index in 0..19 {
        text +=
            &format!("[pipeline p{index}]\nwhen = job = j{index}\nstages = s0, s1 | s2, s3, s4\n");
    }
    text
}
