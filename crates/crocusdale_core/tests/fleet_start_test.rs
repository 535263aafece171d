//! Large fleets whose processes all start at one moment, in virtual time.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_core::configuration::Declarations;
use crocusdale_core::daemon::{Command, DaemonEvent, TimerKey};
use crocusdale_core::identity::{InstanceId, MonotonicTime};
use crocusdale_core::membership::{ExchangeMessage, MemberPlace, MemberStatus};
use crocusdale_core::retry::RetryLimits;
use crocusdale_core::{DaemonCore, DaemonCoreBuilder, PublishedFleet};

/// One way between two daemons.
const ONE_WAY: Duration = Duration::from_millis(2);
/// Processes of a fleet start within this time of each other.
const START_SPREAD_MS: u64 = 300;
/// Seeds that each process knows.
const SEEDS: usize = 3;

enum Delivery {
    Start,
    Timer(TimerKey),
    Ask { from: usize, message: Box<ExchangeMessage> },
    Event(DaemonEvent),
}

/// Daemons that find each other through seeds; the platform answers at once.
struct StartingFleet {
    now: MonotonicTime,
    cores: Vec<DaemonCore>,
    queue: BTreeMap<(MonotonicTime, u64), (usize, Delivery)>,
    sequence: u64,
    /// Records that were told, of all daemons.
    records: usize,
}

impl StartingFleet {
    fn new(size: usize) -> Self {
        let now = MonotonicTime::from_millis(0);
        let cores = (0..size).map(|index| core(index, 1, now)).collect();
        let mut fleet = Self { now, cores, queue: BTreeMap::new(), sequence: 0, records: 0 };
        for index in 0..size {
            // A fixed scatter over the spread: 7 is coprime to it.
            let at = now + Duration::from_millis(index as u64 * 7 % START_SPREAD_MS);
            fleet.push(at, index, Delivery::Start);
        }
        fleet
    }

    fn run(&mut self, until: Duration) {
        let until = MonotonicTime::from_start(until);
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), (index, delivery)) = entry.remove_entry();
            self.now = at;
            self.deliver(index, delivery);
        }
        self.now = until;
    }

    /// Ends a process and starts another one on its VM, at once.
    fn restart(&mut self, index: usize) {
        self.queue.retain(|_, (owner, _)| *owner != index);
        self.cores[index] = core(index, 2, self.now);
        self.push(self.now, index, Delivery::Start);
    }

    /// Members, itself included, that the daemon that knows fewest takes to serve.
    fn fewest_known(&self) -> usize {
        let known = |core: &DaemonCore| {
            let members = core.dump(self.now).members;
            1 + members.iter().filter(|each| each.status == MemberStatus::Alive).count()
        };
        self.cores.iter().map(known).min().unwrap_or_default()
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let mut commands = Vec::new();
        let core = &self.cores[index];
        match delivery {
            Delivery::Start => core.start(self.now, &mut commands),
            Delivery::Timer(timer) => {
                core.handle(DaemonEvent::Timer(timer), self.now, &mut commands);
            }
            Delivery::Event(event) => core.handle(event, self.now, &mut commands),
            Delivery::Ask { from, message } => {
                let reply = core.exchange(&message, self.now, &mut commands);
                self.records += message.records.len() + reply.records.len();
                let event = Delivery::Event(DaemonEvent::Exchanged(Box::new(reply)));
                self.push(self.now + ONE_WAY, from, event);
            }
        }
        for command in commands {
            self.carry_out(index, command);
        }
    }

    fn carry_out(&mut self, index: usize, command: Command) {
        match command {
            Command::SetTimer { timer, at } => self.push(at, index, Delivery::Timer(timer)),
            Command::Greet { address, message } => {
                let to = (0..self.cores.len()).find(|each| peer_address(*each) == address);
                self.ask(index, to.expect("seeds are daemons"), message);
            }
            Command::Exchange { vm, message } => {
                let to = support::vm_index(&vm);
                self.ask(index, to, message);
            }
            Command::ReadDirectory => {
                let event = DaemonEvent::DirectoryRead { revision: 1, entries: Vec::new() };
                self.push(self.now + ONE_WAY, index, Delivery::Event(event));
            }
            Command::WatchConfiguration { known: 0 } => {
                let read = Some((1, support::DECLARATIONS.to_owned()));
                let event = DaemonEvent::ConfigurationWatched(read);
                self.push(self.now + ONE_WAY, index, Delivery::Event(event));
            }
            _ => {}
        }
    }

    fn ask(&mut self, from: usize, to: usize, message: Box<ExchangeMessage>) {
        self.push(self.now + ONE_WAY, to, Delivery::Ask { from, message });
    }

    fn push(&mut self, at: MonotonicTime, index: usize, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), (index, delivery));
    }
}

fn core(index: usize, life: u64, now: MonotonicTime) -> DaemonCore {
    let place = MemberPlace {
        zone: format!("z{}", index % 3),
        caller: peer_address(index),
        peer: peer_address(index),
    };
    let published = PublishedFleet {
        place,
        seeds: (0..SEEDS).map(peer_address).collect(),
        reader: Declarations::check,
        retries: RetryLimits::default(),
        grace: Duration::from_secs(8),
    };
    let own = InstanceId::new(support::vm_name(index), life);
    let zone = format!("z{}", index % 3);
    DaemonCoreBuilder::new(own, zone).published(published).seed(index as u64).build(now)
}

fn peer_address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).expect("a small fleet").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

// All processes of a large fleet are killed and start again within 0.3 s. Each is ready at once and
// knows a few others; until it knows all, it sends its pieces to other dispatchers than they do, a
// pool is called from many sides, and users are refused. Two seconds later all know all.
#[test]
fn fleet_that_starts_again_knows_all_its_members_soon() {
    for size in [6, 83, 100, 250] {
        let mut fleet = StartingFleet::new(size);
        fleet.run(Duration::from_millis(2_000));
        assert_eq!(fleet.fewest_known(), size, "of {size}");
    }
}

// The same, as callers see it: each daemon is asked to serve within a second of its start, though
// there are more peers than it could ask one by one in that time.
#[test]
fn fleet_that_starts_again_is_ready_soon() {
    for size in [6, 100, 250] {
        let mut fleet = StartingFleet::new(size);
        fleet.run(Duration::from_millis(START_SPREAD_MS + 700));
        let ready = fleet.cores.iter().filter(|core| core.is_ready()).count();
        assert_eq!(ready, size);
    }
}

// One process of a large fleet is replaced. It hears of all others from the first answer and can't
// ask each of them before it serves; callers that know only this daemon wait meanwhile.
#[test]
fn daemon_of_a_large_fleet_is_ready_soon() {
    let mut fleet = StartingFleet::new(100);
    fleet.run(Duration::from_secs(10));
    fleet.restart(50);
    fleet.run(Duration::from_millis(10_400));
    assert!(fleet.cores[50].is_ready());
    fleet.run(Duration::from_millis(11_500));
    assert_eq!(fleet.fewest_known(), 100);
}

// What the start costs must not go on: in a fleet that has settled, a daemon tells and hears no
// more than a dozen records a heartbeat.
#[test]
fn settled_fleet_tells_little() {
    let mut fleet = StartingFleet::new(100);
    fleet.run(Duration::from_secs(30));
    let before = fleet.records;
    fleet.run(Duration::from_secs(40));
    // Two heartbeats a second, each with a question and an answer of a dozen records at most.
    assert!(fleet.records - before <= 100 * 10 * 2 * 2 * 12, "{}", fleet.records - before);
}
