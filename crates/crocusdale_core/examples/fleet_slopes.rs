//! Measures what control costs in a fleet, in virtual time: `fleet_slopes [SIZE ...]`.
//!
//! Runs SIZE cores (6, 50, 150 and 410 unless given) over eight zones of two regions, with the
//! messages that the daemons would exchange, and prints per size: messages and bytes for each
//! daemon and second, processor time of the decisions, reads of the platform, and the time until
//! a change is in force and a lost zone is noticed.

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
/// One way within a region, and between regions.
const NEAR: Duration = Duration::from_micros(500);
const FAR: Duration = Duration::from_millis(30);
/// Time after which the news of the start has spread.
const WARM_UP: Duration = Duration::from_secs(180);
/// How long the configuration service holds a watch.
const WATCH_HOLD: Duration = Duration::from_secs(10);
/// Time after which a call of a lost daemon counts as failed.
const PATIENCE: Duration = Duration::from_millis(800);
/// Bytes that HTTP/2 and TCP add to a message, about, in each direction.
const FRAMING: usize = 120;

enum Delivery {
    Event(DaemonEvent),
    Exchange { from: usize, message: Box<ExchangeMessage>, sent: MonotonicTime },
    Fetch { from: usize, known: u64 },
}

#[derive(Default)]
struct Tally {
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
    roster: VmList,
    published: (u64, String),
    outage: bool,
    tally: Tally,
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
    fleet.tally = Tally::default();
    let (steady, count) = (60, size as f64);
    fleet.run(Duration::from_secs(steady));
    let tally = std::mem::take(&mut fleet.tally);
    let seconds = steady as f64;
    let messages = tally.exchanges as f64 * 2.0 / count / seconds;
    // Each byte is sent by one daemon and received by another.
    let bytes = tally.bytes as f64 * 2.0 / count / seconds;
    let share = tally.spent.as_secs_f64() / count / seconds * 100.0;
    let reads = tally.reads.values().sum::<u64>() as f64 / seconds;

    let force = fleet.publish_and_wait(2);
    let text = fleet.tally.fetched_bytes as f64 / count / 1024.0;

    fleet.outage = true;
    fleet.release_watchers();
    fleet.run(Duration::from_secs(60));
    fleet.outage = false;
    fleet.tally = Tally::default();
    fleet.run(Duration::from_secs(20));
    let peak = fleet.tally.reads.values().max().copied().unwrap_or_default();

    fleet.tally = Tally::default();
    let (zone, zone_seconds) = fleet.lose_zone();
    let survivors = count - count / ZONES as f64;
    let zone_bytes = fleet.tally.bytes as f64 * 2.0 / survivors / zone_seconds;
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
            roster: VmList { revision: 1, vms },
            published: (1, declarations(1)),
            outage: false,
            tally: Tally::default(),
        };
        for index in 0..size {
            let mut commands = Vec::new();
            fleet.cores[index].start(now, &mut commands);
            fleet.carry_out(index, commands);
        }
        fleet
    }

    fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while let Some((rank, _)) = self.queue.first_key_value() {
            if rank.0 > until {
                break;
            }
            let Some((rank, (index, delivery))) = self.queue.pop_first() else { break };
            self.now = rank.0;
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
                self.tally.bytes += wire_size(&reply);
                let event = DaemonEvent::HeartbeatAnswered { message: Box::new(reply), sent };
                self.push(from, self.latency(index, from), Delivery::Event(event));
            }
            Delivery::Fetch { from, known } => {
                let fetched = self.cores[index].configuration_after(known);
                let fetched = fetched.map(|(revision, text)| (revision, text.to_string()));
                let size = fetched.as_ref().map_or(0, |(_, text)| text.len());
                self.tally.fetched_bytes += size as u64;
                let event = DaemonEvent::ConfigurationFetched(fetched);
                self.push(from, self.latency(index, from), Delivery::Event(event));
            }
        }
        self.tally.spent += start.elapsed();
        self.carry_out(index, commands);
    }

    fn carry_out(&mut self, index: usize, commands: Vec<Command>) {
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
                Command::ReadVmList { known } => self.read_roster(index, known),
                _ => {}
            }
        }
    }

    fn exchange(&mut self, index: usize, vm: String, message: Box<ExchangeMessage>) {
        let to = position(&vm);
        self.tally.exchanges += 1;
        self.tally.bytes += wire_size(&message);
        if self.lost[to] {
            let event = DaemonEvent::HeartbeatFailed(vm);
            self.push(index, PATIENCE, Delivery::Event(event));
        } else {
            let delivery = Delivery::Exchange { from: index, message, sent: self.now };
            self.push(to, self.latency(index, to), delivery);
        }
    }

    fn watch(&mut self, index: usize, known: u64) {
        self.count_read();
        if self.outage {
            self.push(index, NEAR, Delivery::Event(DaemonEvent::ConfigurationWatchFailed));
        } else if known != self.published.0 {
            let event = DaemonEvent::ConfigurationWatched(Some(self.published.clone()));
            self.push(index, NEAR, Delivery::Event(event));
        } else {
            let event = DaemonEvent::ConfigurationWatched(None);
            self.push(index, WATCH_HOLD, Delivery::Event(event));
        }
    }

    fn read_roster(&mut self, index: usize, known: u64) {
        self.count_read();
        let read = (known == 0).then(|| self.roster.clone());
        let event =
            if self.outage { DaemonEvent::VmListReadFailed } else { DaemonEvent::VmListRead(read) };
        self.push(index, NEAR, Delivery::Event(event));
    }

    fn count_read(&mut self) {
        *self.tally.reads.entry(self.now.since_start().as_secs()).or_default() += 1;
    }

    /// Ends the watches that wait: with news, or with an error in an outage.
    fn release_watchers(&mut self) {
        let mut waiting = Vec::new();
        self.queue.retain(|_, (index, delivery)| {
            let is_watch =
                matches!(delivery, Delivery::Event(DaemonEvent::ConfigurationWatched(None)));
            if is_watch {
                waiting.push(*index);
            }
            !is_watch
        });
        for index in waiting {
            let event = if self.outage {
                DaemonEvent::ConfigurationWatchFailed
            } else {
                DaemonEvent::ConfigurationWatched(Some(self.published.clone()))
            };
            self.push(index, NEAR, Delivery::Event(event));
        }
    }

    /// Publishes a revision; gives the milliseconds until it is in force everywhere.
    fn publish_and_wait(&mut self, revision: u64) -> f64 {
        self.tally = Tally::default();
        self.published = (revision, declarations(revision));
        self.release_watchers();
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

    /// Loses the first zone; gives the milliseconds until every survivor takes every lost daemon
    /// for unreachable, and the seconds that were run.
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
        if region(from) == region(to) { NEAR } else { FAR }
    }

    fn push(&mut self, index: usize, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), (index, delivery));
    }
}

fn wire_size(message: &ExchangeMessage) -> u64 {
    let size = peer::ExchangeMessage::from(message.clone()).encoded_len();
    (size + FRAMING) as u64
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

/// Declarations of the size that is designed for: 600 workers, 350 workspaces, 19 pipelines.
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
