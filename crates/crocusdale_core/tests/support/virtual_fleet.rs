//! Daemons without a VM list, in virtual time.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_core::configuration::{DeclarationReader, Declarations, RegionMap};
use crocusdale_core::daemon::{Command, DaemonEvent, StalenessBounds, TimerKey};
use crocusdale_core::identity::{CallId, InstanceId, MonotonicTime, StorePosition};
use crocusdale_core::membership::{ExchangeMessage, MemberCapacity, MemberPlace, MemberStatus};
use crocusdale_core::pipeline::{CallerRequest, FinalAnswer, ForwardOrder};
use crocusdale_core::retry::RetryLimits;
use crocusdale_core::routing::{ColdLimits, DirectoryEntry};
use crocusdale_core::{DaemonCore, DaemonCoreBuilder, DiscoverySettings};

use rand::Rng as _;
use rand::rngs::SmallRng;

use super::{DECLARATIONS, vm_index, vm_name};

/// One way between two daemons.
const ONE_WAY: Duration = Duration::from_millis(2);
/// Processes of a fleet start within this time of each other.
pub const START_SPREAD_MS: u64 = 300;
/// Number of the first life of each process.
pub const FIRST_LIFE: u64 = 1_000;
/// Time of an answer of the platform: peers answer sooner.
const PLATFORM_TIME: Duration = Duration::from_millis(40);
/// Longest answer of a platform that is slow.
const SLOW_PLATFORM_TIME: Duration = Duration::from_millis(390);
/// Time after which an unreachable peer is given up.
const SILENCE: Duration = Duration::from_millis(800);
/// Longest look at an upstream: the time in which an ending process closes its sockets, and the patience
/// with a connection that is opened.
const LATE_PROBE: Duration = Duration::from_millis(310);
/// Longest time for which a question is under way whose answer still counts.
pub const LATE_QUESTION: Duration = Duration::from_millis(790);
/// Time for which the platform holds a watch without news.
const HOLD: Duration = Duration::from_secs(10);
/// Availability zones, unless a test says otherwise.
const ZONES: usize = 3;
/// Seeds that each process knows.
const SEEDS: usize = 3;

enum Delivery {
    Start,
    Timer(TimerKey),
    Ask { from: usize, message: Box<ExchangeMessage>, sent: MonotonicTime },
    Event(DaemonEvent),
}

/// Daemons that find each other through seeds; the platform answers at once.
pub struct VirtualFleet {
    pub now: MonotonicTime,
    pub cores: Vec<DaemonCore>,
    zones: usize,
    bounds: StalenessBounds,
    reader: DeclarationReader,
    queue: BTreeMap<(MonotonicTime, u64), (usize, Delivery)>,
    sequence: u64,
    /// Records that were told, of all daemons.
    pub records: usize,
    /// Published upstreams, and the revision of the last change.
    pub published: (u64, Vec<(u64, DirectoryEntry)>),
    /// Evacuated availability zones that the platform publishes, with the revisions of their requests.
    pub evacuations: Vec<(u64, String)>,
    /// Times that the store came back from an older copy.
    pub era: u64,
    /// Readings of what is published.
    pub reads: usize,
    /// Watches of the configuration, each held for [`HOLD`].
    pub watches: usize,
    /// Daemons that reach no other daemon, and are reached by none.
    pub cut_off: HashSet<usize>,
    /// Daemons whose reads fail.
    pub turned_away: HashSet<usize>,
    /// Draws how long answers of peers and of the platform are under way, if they are slow.
    pub slowness: Option<SmallRng>,
    /// Whether each question to a peer is under way for as long as a call of one may take.
    pub questions_are_late: bool,
    /// Whether only daemons that read the platform hear and tell of crashes, so that nothing spreads by
    /// the chance of heartbeats.
    only_readers_tell: bool,
    readers: HashSet<usize>,
    /// Upstreams that take no connections any more.
    pub ended: HashSet<String>,
    /// Entries of upstreams that daemons have told each other.
    pub told_entries: u64,
    /// Requests that were passed to upstreams, by which daemon and when.
    pub relays: Vec<(usize, MonotonicTime, ForwardOrder)>,
    /// Final answers, and the daemons that gave them.
    pub answers: Vec<(usize, CallId, FinalAnswer)>,
}

impl VirtualFleet {
    pub fn new(size: usize) -> Self {
        Self::in_zones(size, ZONES, StalenessBounds::default())
    }

    /// A fleet in `zones` availability zones.
    pub fn in_zones(size: usize, zones: usize, bounds: StalenessBounds) -> Self {
        Self::with_reader(size, zones, bounds, Declarations::check)
    }

    /// A fleet whose daemons read their configuration by `reader`.
    pub fn with_reader(
        size: usize,
        zones: usize,
        bounds: StalenessBounds,
        reader: DeclarationReader,
    ) -> Self {
        let now = MonotonicTime::from_millis(0);
        let start = |index| core(index, FIRST_LIFE, zones, bounds, reader, now);
        let cores = (0..size).map(start).collect();
        let mut fleet = Self {
            now,
            cores,
            zones,
            bounds,
            reader,
            watches: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            records: 0,
            published: (1, Vec::new()),
            evacuations: Vec::new(),
            era: 0,
            reads: 0,
            cut_off: HashSet::new(),
            turned_away: HashSet::new(),
            slowness: None,
            questions_are_late: false,
            only_readers_tell: false,
            readers: HashSet::new(),
            ended: HashSet::new(),
            told_entries: 0,
            relays: Vec::new(),
            answers: Vec::new(),
        };
        for index in 0..size {
            // A fixed scatter over the spread: 7 is coprime to it.
            let at = now + Duration::from_millis(index as u64 * 7 % START_SPREAD_MS);
            fleet.push(at, index, Delivery::Start);
        }
        fleet
    }

    pub fn run(&mut self, until: Duration) {
        let until = MonotonicTime::from_start(until);
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), (index, delivery)) = entry.remove_entry();
            self.now = at;
            self.deliver(index, delivery);
        }
        self.now = until;
    }

    /// Ends a process and starts another one on its VM, at once.
    pub fn restart(&mut self, index: usize) {
        self.restart_as(index, FIRST_LIFE + 1);
    }

    /// Ends a process and starts another one on its VM, at once, which numbers its life `life`.
    pub fn restart_as(&mut self, index: usize, life: u64) {
        self.queue.retain(|_, (owner, _)| *owner != index);
        self.cores[index] = core(index, life, self.zones, self.bounds, self.reader, self.now);
        self.push(self.now, index, Delivery::Start);
    }

    /// Members, itself included, that the daemon that knows fewest takes to serve.
    pub fn fewest_known(&self) -> usize {
        let known = |core: &DaemonCore| {
            let members = core.dump(self.now).members;
            1 + members.iter().filter(|each| each.status == MemberStatus::Alive).count()
        };
        self.cores.iter().map(known).min().unwrap_or_default()
    }

    /// Lives of the daemon `index`, as the others know it.
    pub fn lives_of(&self, index: usize) -> Vec<u64> {
        let others = self.cores.iter().enumerate().filter(|(each, _)| *each != index);
        let known = |core: &DaemonCore| {
            let members = core.dump(self.now).members;
            let record = members.into_iter().find(|each| each.instance.vm == vm_name(index));
            record.map_or(0, |record| record.instance.incarnation)
        };
        others.map(|(_, core)| known(core)).collect()
    }

    /// Daemons that know of the last change of the published upstreams.
    pub fn informed(&self) -> usize {
        let known = |core: &&DaemonCore| {
            let list = core.published_upstreams(self.now);
            list.entries.iter().any(|each| each.write_position == self.published.0.into())
        };
        self.cores.iter().filter(known).count()
    }

    /// From now on only daemons that read the platform for others hear and tell of crashes.
    pub fn tell_by_readers_only(&mut self) {
        // All daemons read when they start, and any may when answers are late.
        self.readers.clear();
        self.run(self.now.since_start() + Duration::from_secs(1));
        self.only_readers_tell = true;
    }

    /// Gives a caller's request to a daemon.
    pub fn submit(&mut self, index: usize, request: CallerRequest) -> CallId {
        let call = self.cores[index].open_call(&request.key);
        self.feed(index, DaemonEvent::Submitted { call, request: Box::new(request) });
        call
    }

    /// Gives an event to a daemon.
    pub fn feed(&mut self, index: usize, event: DaemonEvent) {
        self.deliver(index, Delivery::Event(event));
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
            Delivery::Ask { from, mut message, sent } => {
                let is_mute = self.only_readers_tell && !self.readers.contains(&index);
                if is_mute {
                    message.crashes.clear();
                    message.limits.clear();
                }
                let mut reply = core.exchange(&message, self.now, &mut commands);
                if is_mute {
                    reply.crashes.clear();
                    reply.limits.clear();
                }
                self.records += message.records.len() + reply.records.len();
                let event = Delivery::Event(DaemonEvent::HeartbeatAnswered {
                    message: Box::new(reply),
                    sent,
                });
                let delay = self.delay(ONE_WAY, SILENCE);
                self.push(self.now + delay, from, event);
            }
        }
        for command in commands {
            self.carry_out(index, command);
        }
    }

    fn carry_out(&mut self, index: usize, command: Command) {
        match command {
            Command::SetTimer { timer, at } => self.push(at, index, Delivery::Timer(timer)),
            Command::PingSeed { address, message } => {
                let to = (0..self.cores.len()).find(|each| peer_address(*each) == address);
                self.ask(index, to.expect("seeds are daemons"), message);
            }
            Command::SendHeartbeat { vm, message } => {
                let to = vm_index(&vm);
                self.ask(index, to, message);
            }
            Command::ReadDirectory => {
                self.reads += 1;
                if !self.only_readers_tell {
                    self.readers.insert(index);
                }
                let (revision, entries) = self.published.clone();
                let event = if self.turned_away.contains(&index) {
                    DaemonEvent::DirectoryReadFailed
                } else {
                    let configuration = Some((1, DECLARATIONS.to_owned()));
                    DaemonEvent::DirectoryRead {
                        position: StorePosition { era: self.era, revision },
                        entries,
                        evacuations: self.evacuations.clone(),
                        cold: Vec::new(),
                        configuration,
                    }
                };
                let delay = self.delay(PLATFORM_TIME, SLOW_PLATFORM_TIME);
                self.push(self.now + delay, index, Delivery::Event(event));
            }
            Command::WatchConfiguration { .. } => {
                self.watches += 1;
                let event = DaemonEvent::ConfigurationWatched(None);
                self.push(self.now + HOLD, index, Delivery::Event(event));
            }
            Command::FetchDirectory { vm, known } => {
                let to = vm_index(&vm);
                let reached = self.reaches(index, to);
                let list = reached.then(|| self.cores[to].published_since(known, self.now));
                let told = list.as_ref().map_or(0, |list| list.entries.len());
                self.told_entries += told as u64;
                let event = Delivery::Event(DaemonEvent::DirectoryFetched(list));
                self.push(self.now + ONE_WAY * 2, index, event);
            }
            Command::FetchConfiguration { vm, known } => {
                let to = vm_index(&vm);
                let newer = || self.cores[to].configuration_after(known);
                let fetched = self.reaches(index, to).then(newer).flatten();
                let fetched = fetched.map(|(revision, text)| (revision, text.to_string()));
                let event = Delivery::Event(DaemonEvent::ConfigurationFetched(fetched));
                self.push(self.now + ONE_WAY * 2, index, event);
            }
            Command::ProbeUpstream { upstream, .. } => {
                let late = self.questions_are_late;
                let has_ended = self.ended.contains(&upstream);
                let probed = DaemonEvent::UpstreamProbed { upstream, has_ended };
                let time = if late { LATE_PROBE } else { ONE_WAY };
                self.push(self.now + time, index, Delivery::Event(probed));
            }
            Command::Relay(order) => self.relays.push((index, self.now, order)),
            Command::Reply { call, answer } => self.answers.push((index, call, answer)),
            _ => {}
        }
    }

    /// Time of an answer that usually takes `usual`, and less than `most` if answers are slow.
    fn delay(&mut self, usual: Duration, most: Duration) -> Duration {
        let Some(random) = &mut self.slowness else { return usual };
        random.random_range(usual..most)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.cut_off.contains(&from) && !self.cut_off.contains(&to)
    }

    fn ask(&mut self, from: usize, to: usize, message: Box<ExchangeMessage>) {
        if !self.reaches(from, to) {
            let failed = Delivery::Event(DaemonEvent::HeartbeatFailed(vm_name(to)));
            self.push(self.now + SILENCE, from, failed);
            return;
        }
        let question = Delivery::Ask { from, message, sent: self.now };
        let way = if self.questions_are_late { LATE_QUESTION } else { ONE_WAY };
        self.push(self.now + way, to, question);
    }

    fn push(&mut self, at: MonotonicTime, index: usize, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), (index, delivery));
    }
}

fn core(
    index: usize,
    life: u64,
    zones: usize,
    bounds: StalenessBounds,
    reader: DeclarationReader,
    now: MonotonicTime,
) -> DaemonCore {
    let zone = format!("z{}", index % zones);
    let place = MemberPlace {
        zone: zone.clone(),
        caller: peer_address(index),
        peer: peer_address(index),
        capacity: MemberCapacity::new(1.0, 1_000.0),
    };
    let published = DiscoverySettings {
        place,
        regions: RegionMap::default(),
        seeds: (0..SEEDS).map(peer_address).collect(),
        reader,
        retries: RetryLimits::default(),
        grace: Duration::from_secs(8),
        cold_limits: ColdLimits::default(),
        bounds,
    };
    let own = InstanceId::new(vm_name(index), life);
    DaemonCoreBuilder::new(own, zone).discovery(published).seed(index as u64).build(now)
}

fn peer_address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).expect("a small fleet").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}
