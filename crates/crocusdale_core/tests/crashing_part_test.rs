//! Requests with one prompt part that crashes every engine which begins to answer it, among sound
//! requests with the same first part, in a fleet on a virtual clock.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
mod support;

use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::LabelSet;
use crocusdale_core::daemon::{DaemonEvent, StalenessBounds};
use crocusdale_core::identity::{MonotonicTime, RequestDigest, RequestKey};
use crocusdale_core::pipeline::{
    AttemptEvent, BreakReason, CallerRequest, EngineDemand, ExecutionStatus, ForwardHead,
    ForwardOrder, PromptPart, RequestContent, ResponseHead,
};
use crocusdale_core::routing::DirectoryEntry;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use forward_daemon::{HOST, KEY, read};
use support::virtual_fleet::VirtualFleet;

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);
/// Crash after which the bound on further sends begins, once the daemons have been in contact for
/// [`StalenessBounds::recovery_time`].
const BOUND_CRASH: usize = 5;
/// Maximum number of sends of requests with the crashing part after that.
const MAX_LATE_SENDS: usize = 3;
/// Number of engines of the fleet.
const ENGINES: usize = 12;
/// Time from the crash of an engine until its entry is removed, and until it is back as another one.
const ABSENCE: (Duration, Duration) = (Duration::from_millis(1_300), Duration::from_millis(2_000));
/// The part that crashes engines.
const CRASHING_PART: u64 = 0xbad;

/// Load of one run.
#[derive(Clone, Copy, Debug)]
struct PartLoad {
    daemons: usize,
    /// Sound requests a second.
    sound_per_s: f64,
    /// Number of first parts that sound requests draw from.
    first_parts: u64,
    /// Requests with the crashing part a second.
    crashing_per_s: f64,
    /// Time for which an engine runs a request with the crashing part.
    crash_delay: Duration,
    /// Engines that crash by chance a second.
    chance_crashes_per_s: f64,
    seed: u64,
}

const LOAD: PartLoad = PartLoad {
    daemons: 6,
    sound_per_s: 24.0,
    first_parts: 20,
    crashing_per_s: 2.0,
    crash_delay: Duration::from_millis(100),
    chance_crashes_per_s: 0.0,
    seed: 1,
};

#[derive(Debug)]
struct RunningRequest {
    ends_at: MonotonicTime,
    daemon: usize,
    order: ForwardOrder,
    is_crashing: bool,
}

/// What was seen in a run.
#[derive(Debug, Default)]
struct PartReport {
    /// Sends of requests with the crashing part to engines.
    crashing_sends: Vec<MonotonicTime>,
    /// Engines that ended under a request with the crashing part.
    crashes: Vec<MonotonicTime>,
    /// Sound requests, and those of them that were sent to an engine, by the second of their arrival.
    sound: Vec<(usize, usize)>,
}

impl PartReport {
    fn late_sends(&self) -> usize {
        let Some(bound_crash) = self.crashes.get(BOUND_CRASH - 1) else { return 0 };
        let limit = *bound_crash + StalenessBounds::default().recovery_time;
        self.crashing_sends.iter().filter(|at| **at > limit).count()
    }

    /// Share of the sound requests of the seconds `from` to `to` that were sent to an engine.
    fn sound_share(&self, from: usize, to: usize) -> f64 {
        let sum = |count: fn(&(usize, usize)) -> usize| -> usize {
            self.sound[from..to].iter().map(count).sum()
        };
        sum(|(_, begun)| *begun) as f64 / sum(|(sent, _)| *sent).max(1) as f64
    }
}

struct CrashingPart {
    fleet: VirtualFleet,
    load: PartLoad,
    random: SmallRng,
    engines: Vec<String>,
    started: usize,
    running: Vec<RunningRequest>,
    /// Engines whose entries are removed, and engines that start, at these times.
    changes: Vec<(MonotonicTime, Option<String>)>,
    request_count: u64,
    /// Whether the crashing part crashes no engine yet.
    is_part_sound: bool,
    report: PartReport,
}

impl CrashingPart {
    fn new(load: PartLoad) -> Self {
        let fleet = VirtualFleet::with_reader(load.daemons, 3, StalenessBounds::default(), read);
        let mut part = Self {
            fleet,
            load,
            random: SmallRng::seed_from_u64(load.seed),
            engines: Vec::new(),
            started: 0,
            running: Vec::new(),
            changes: Vec::new(),
            request_count: 0,
            is_part_sound: false,
            report: PartReport::default(),
        };
        for _ in 0..ENGINES {
            part.start_engine();
        }
        part.fleet.run(Duration::from_secs(5));
        part
    }

    fn start_engine(&mut self) {
        self.started += 1;
        self.engines.push(format!("e{}", self.started));
        self.publish();
    }

    fn publish(&mut self) {
        let revision = self.fleet.published.0 + 1;
        let entry = |id: &String| {
            let entry = DirectoryEntry {
                id: id.clone(),
                started_at_ms: None,
                pool: "reader".to_owned(),
                address: "127.0.0.1:9".parse().expect("an address"),
                zone: "z0".to_owned(),
                slots: 64,
                leaving: false,
                software_version: None,
            };
            (revision, entry)
        };
        self.fleet.published = (revision, self.engines.iter().map(entry).collect());
    }

    /// Runs the load for `time`. Requests with the crashing part come if `has_crashing_part`.
    fn run(&mut self, time: Duration, has_crashing_part: bool) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            let step = STEP.as_secs_f64();
            if self.random.random_bool(self.load.sound_per_s * step) {
                self.submit(None);
            }
            if has_crashing_part && self.random.random_bool(self.load.crashing_per_s * step) {
                self.submit(Some(CRASHING_PART));
            }
            if self.random.random_bool(self.load.chance_crashes_per_s * step) {
                let index = self.random.random_range(0..self.engines.len());
                let engine = self.engines[index].clone();
                self.crash(&engine);
            }
            self.fleet.run(self.fleet.now.since_start() + STEP);
            self.assert_no_later_relays();
            self.end_requests();
            self.change_engines();
        }
    }

    fn submit(&mut self, crashing_part: Option<u64>) {
        self.request_count += 1;
        let number = self.request_count;
        let part = |id: u64| PromptPart { id, tokens: 300 };
        let first = part(0x1000 + self.random.random_range(0..self.load.first_parts));
        let own = part(0x10_0000 + number);
        let parts = [Some(first), crashing_part.map(part), Some(own)];
        let demand = EngineDemand {
            parts: parts.into_iter().flatten().collect(),
            prompt_tokens: 1_000,
            output_tokens: 50,
        };
        let head = ForwardHead {
            host: HOST.to_owned(),
            path: "/tell/7".to_owned(),
            content: RequestDigest::of(&[&number.to_le_bytes()]),
            access: Some(KEY.to_owned()),
            demand: Some(Arc::new(demand)),
            ..ForwardHead::default()
        };
        let second = self.second();
        let kind = if crashing_part.is_some() { "crashing" } else { "sound" };
        let request = CallerRequest {
            key: RequestKey::new("", format!("{kind}-{number}")),
            labels: LabelSet::default(),
            deadline: Duration::from_secs(6),
            repeatable: false,
            stream: false,
            age: Duration::ZERO,
            ticket: None,
            content: RequestContent::Forward(Box::new(head)),
        };
        let daemon = self.random.random_range(0..self.load.daemons);
        let before = self.fleet.relays.len();
        self.fleet.submit(daemon, request);
        let sent = self.fleet.relays.len() - before;
        if crashing_part.is_none() {
            self.report.sound[second].0 += 1;
            self.report.sound[second].1 += sent.min(1);
        }
        let now = self.fleet.now;
        for (daemon, at, order) in self.fleet.relays.drain(before..) {
            let is_crashing = crashing_part.is_some() && !self.is_part_sound;
            if is_crashing {
                self.report.crashing_sends.push(at);
            }
            let run_time = Duration::from_millis(self.random.random_range(200..1_500));
            let ends_at = now + if is_crashing { self.load.crash_delay } else { run_time };
            self.running.push(RunningRequest { ends_at, daemon, order, is_crashing });
        }
        self.refuse_connections();
    }

    /// Checks that no request is sent later than at its submission, as the pool has free slots.
    fn assert_no_later_relays(&mut self) {
        assert!(self.fleet.relays.is_empty(), "a request was sent later: {:?}", self.fleet.relays);
    }

    /// Fails the attempts at engines that no longer accept connections, until a daemon has found one
    /// that does or has given up.
    fn refuse_connections(&mut self) {
        while let Some(index) = self.running.iter().position(|request| self.is_refused(request)) {
            let RunningRequest { daemon, order, is_crashing, .. } = self.running.remove(index);
            if is_crashing {
                self.report.crashing_sends.pop();
            }
            let event = AttemptEvent::NotSent;
            self.fleet.feed(daemon, DaemonEvent::Attempt { attempt: order.attempt, event });
            // The daemon tries another engine at once.
            let now = self.fleet.now;
            for (daemon, at, order) in std::mem::take(&mut self.fleet.relays) {
                if is_crashing {
                    self.report.crashing_sends.push(at);
                }
                let ends_at = now + self.load.crash_delay;
                self.running.push(RunningRequest { ends_at, daemon, order, is_crashing });
            }
        }
    }

    fn is_refused(&self, request: &RunningRequest) -> bool {
        self.fleet.ended.contains(&request.order.upstream)
    }

    fn end_requests(&mut self) {
        let now = self.fleet.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|request| now >= request.ends_at);
        self.running = running;
        let head = ResponseHead { status: 200, execution: ExecutionStatus::Ran };
        for RunningRequest { daemon, order, is_crashing, .. } in ended {
            if self.fleet.ended.contains(&order.upstream) {
                let event = AttemptEvent::Broken(BreakReason::Cut);
                self.fleet.feed(daemon, DaemonEvent::Attempt { attempt: order.attempt, event });
                continue;
            }
            let attempt = order.attempt;
            let event = AttemptEvent::HeadReceived(head);
            self.fleet.feed(daemon, DaemonEvent::Attempt { attempt, event });
            if is_crashing {
                self.report.crashes.push(now);
                self.running.push(RunningRequest {
                    ends_at: now,
                    daemon,
                    order: order.clone(),
                    is_crashing,
                });
                self.crash(&order.upstream);
            } else {
                let event = AttemptEvent::ResponseForwarded;
                self.fleet.feed(daemon, DaemonEvent::Attempt { attempt, event });
            }
        }
    }

    /// Ends an engine with all that it runs.
    fn crash(&mut self, engine: &str) {
        let now = self.fleet.now;
        if !self.fleet.ended.insert(engine.to_owned()) {
            return;
        }
        self.changes.push((now + ABSENCE.0, Some(engine.to_owned())));
        self.changes.push((now + ABSENCE.1, None));
        let (broken, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|request| request.order.upstream == engine);
        self.running = running;
        for RunningRequest { daemon, order, .. } in broken {
            let event = AttemptEvent::Broken(BreakReason::Cut);
            self.fleet.feed(daemon, DaemonEvent::Attempt { attempt: order.attempt, event });
        }
    }

    fn change_engines(&mut self) {
        let now = self.fleet.now;
        let (due, changes) = std::mem::take(&mut self.changes)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| now >= *at);
        self.changes = changes;
        for (_, change) in due {
            match change {
                Some(engine) => {
                    self.engines.retain(|other| *other != engine);
                    self.publish();
                }
                None => self.start_engine(),
            }
        }
    }

    fn second(&mut self) -> usize {
        let second = self.fleet.now.since_start().as_secs() as usize;
        if self.report.sound.len() <= second {
            self.report.sound.resize(second + 1, (0, 0));
        }
        second
    }
}

/// Guards against a part that crashes engine after engine, each with the streams of other callers,
/// because no two requests with it are alike.
#[test]
fn part_that_crashes_engines_is_sent_to_few_more() {
    for (daemons, chance_crashes_per_s) in [(6, 0.0), (6, 0.2), (40, 0.2)] {
        for seed in 0..4 {
            let load = PartLoad { daemons, chance_crashes_per_s, seed, ..LOAD };
            let mut part = CrashingPart::new(load);
            part.run(Duration::from_secs(15), false);
            part.run(Duration::from_secs(30), true);
            let late = part.report.late_sends();
            let crashes = part.report.crashes.len();
            assert!(crashes >= 3, "only {crashes} engines crashed");
            assert!(late <= MAX_LATE_SENDS, "{load:?}: {late} late sends, {crashes} crashes");
        }
    }
}

/// Guards against a part that crashes engines although it was answered until a moment ago, for
/// example after a change of their software.
#[test]
fn part_that_was_sound_before_is_sent_to_few_more() {
    for seed in 0..4 {
        let mut part = CrashingPart::new(PartLoad { seed, ..LOAD });
        part.is_part_sound = true;
        part.run(Duration::from_secs(15), true);
        part.is_part_sound = false;
        part.run(Duration::from_secs(30), true);
        let (late, crashes) = (part.report.late_sends(), part.report.crashes.len());
        assert!(crashes >= 3, "only {crashes} engines crashed");
        assert!(late <= MAX_LATE_SENDS, "seed {seed}: {late} late sends, {crashes} crashes");
    }
}

/// Guards against a part that crashes most engines of a pool within a moment, before any of them is
/// back, whose crashes look like the loss of a rack.
#[test]
fn part_that_crashes_engines_within_a_moment_is_sent_to_few_more() {
    for (daemons, crashing_per_s) in [(6, 20.0), (6, 50.0), (40, 50.0)] {
        for seed in 0..4 {
            let crash_delay = Duration::from_millis(10);
            let load = PartLoad { daemons, crashing_per_s, crash_delay, seed, ..LOAD };
            let mut part = CrashingPart::new(load);
            part.run(Duration::from_secs(15), false);
            for _ in 0..6 {
                part.run(Duration::from_millis(400), true);
                part.run(Duration::from_secs(5), false);
            }
            let (late, crashes) = (part.report.late_sends(), part.report.crashes.len());
            assert!(crashes >= BOUND_CRASH, "only {crashes} engines crashed");
            assert!(late <= MAX_LATE_SENDS, "{load:?}: {late} late sends, {crashes} crashes");
        }
    }
}

/// Guards against parts that are blamed for the loss of a rack, under which many engines end at one
/// moment: a hot part, which most requests share, and rare ones.
#[test]
fn lost_rack_quarantines_no_part() {
    for (first_parts, sound_per_s) in [(1, 24.0), (4, 60.0), (20, 60.0), (1_000, 60.0)] {
        for seed in 0..4 {
            let mut part = CrashingPart::new(PartLoad { first_parts, sound_per_s, seed, ..LOAD });
            for _ in 0..4 {
                part.run(Duration::from_secs(8), false);
                for engine in part.engines.clone().iter().take(ENGINES / 2) {
                    part.crash(engine);
                }
            }
            part.run(Duration::from_secs(8), false);
            let share = part.report.sound_share(38, 44);
            assert!(share >= 0.99, "{first_parts}, {seed}: only {share:.3} begin at the first try");
        }
    }
}

/// Guards against parts that stay blamed for the loss of a rack, because the daemons have just
/// started and have seen no answer yet.
#[test]
fn rack_lost_after_a_restart_quarantines_no_part() {
    for (first_parts, seed) in [(1, 0), (1, 1), (4, 2), (20, 3)] {
        let load = PartLoad { first_parts, sound_per_s: 60.0, seed, ..LOAD };
        let mut part = CrashingPart::new(load);
        part.run(Duration::from_millis(700), false);
        for engine in part.engines.clone().iter().take(ENGINES / 2) {
            part.crash(engine);
        }
        part.run(Duration::from_secs(10), false);
        let share = part.report.sound_share(9, 14);
        assert!(share >= 0.99, "{load:?}: only {share:.3} begin at the first try");
    }
}

/// Guards against a quarantine of sound requests, which share their workspace and their first part
/// with the crashing ones.
#[test]
fn sound_requests_with_the_first_part_of_crashing_ones_go_on() {
    for (first_parts, seed) in [(1, 0), (4, 1), (20, 2), (200, 3)] {
        let load = PartLoad { first_parts, seed, chance_crashes_per_s: 0.2, ..LOAD };
        let mut part = CrashingPart::new(load);
        part.run(Duration::from_secs(15), false);
        part.run(Duration::from_secs(30), true);
        let (before, after) = (part.report.sound_share(5, 20), part.report.sound_share(30, 50));
        assert!(after >= before / 2.0, "{load:?}: {after:.2} begin, {before:.2} before");
        assert!(after >= 0.95, "{load:?}: only {after:.2} begin at the first try");
    }
}

/// Guards against a first part that is blamed for chance crashes because few requests with it are
/// answered in between. Once it is refused, no answer could clear it.
#[test]
fn quiet_first_part_is_not_quarantined_beside_chance_crashes() {
    for (first_parts, crashing_per_s, sound_per_s) in [(1, 0.3, 2.0), (2, 1.0, 1.0)] {
        for seed in 0..30 {
            let load = PartLoad {
                first_parts,
                crashing_per_s,
                sound_per_s,
                seed,
                chance_crashes_per_s: 0.7,
                ..LOAD
            };
            let mut part = CrashingPart::new(load);
            part.run(Duration::from_secs(15), false);
            part.run(Duration::from_secs(60), true);
            let share = part.report.sound_share(40, 70);
            assert!(share >= 0.9, "{load:?}: only {share:.2} begin at the first try");
            assert!(part.report.late_sends() <= MAX_LATE_SENDS, "{load:?}");
        }
    }
}

/// Guards against chance crashes that are taken for the fault of a part: a hot one, which most
/// requests share, and rare ones.
#[test]
fn chance_crashes_quarantine_no_part() {
    for (first_parts, seed) in [(1, 0), (20, 1), (1_000, 2)] {
        let load = PartLoad { first_parts, seed, chance_crashes_per_s: 0.7, ..LOAD };
        let mut part = CrashingPart::new(load);
        part.run(Duration::from_secs(40), false);
        let share = part.report.sound_share(5, 45);
        assert!(share >= 0.99, "{load:?}: only {share:.3} begin at the first try");
    }
}
