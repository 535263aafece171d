//! Requests that crash every upstream that begins to run them.
//!
//! What was seen: one request was sent to eight more upstreams after it had crashed three, 1.2 s to 1.6 s
//! apart, by all daemons of the fleet, and each time the streams of other callers broke off with it.
//! In which order: its caller sends it anew, with another identity and the same content, to any daemon;
//! its batched steps are made; an engine begins to run it and ends in the middle of the answer.
//! Cause: each try was judged alone, and that an upstream had ended under it was forgotten with it; what
//! was learned of the failure was learned of the upstream, which came back as another one. Shown by the
//! log lines of broken attempts: one digest, a new identity and a new upstream each time.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
mod support;

use std::time::Duration;

use crocusdale_core::configuration::LabelSet;
use crocusdale_core::daemon::{DaemonEvent, StalenessBounds};
use crocusdale_core::identity::{MonotonicTime, RequestDigest, RequestKey};
use crocusdale_core::pipeline::{
    AttemptEvent, BreakReason, CallerRequest, ExecutionStatus, ForwardHead, ForwardOrder,
    OutcomeKind, RefusalReason, RequestContent, ResponseHead,
};
use crocusdale_core::quarantine::QUARANTINE_DURATION;
use crocusdale_core::routing::{CONNECT_TIMEOUT, DirectoryEntry};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use forward_daemon::{HOST, KEY, read};
use support::virtual_fleet::VirtualFleet;

/// Sends that are allowed once a request has crashed its third upstream and the daemons have been in
/// contact for [`StalenessBounds::recovery_time`] since.
const LATE_SENDS: usize = 3;
/// Upstreams that a request may crash before that.
const CRASHES: usize = 3;
/// Time for which an upstream runs such a request before it crashes.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time for which an upstream that has given notice goes on: shorter than the request has.
const NOTICE: Duration = Duration::from_millis(1_500);
/// Pause between two tries of its caller.
const TRY_PACE: Duration = Duration::from_millis(300);
/// Time for which its caller goes on.
const TRY_TIME: Duration = Duration::from_secs(30);
/// Step of the clock.
const STEP: Duration = Duration::from_millis(10);

/// Model engines of a fleet, and what runs on them.
struct CrashingEngines {
    fleet: VirtualFleet,
    random: SmallRng,
    running: Vec<(MonotonicTime, usize, ForwardOrder)>,
    engines: Vec<String>,
    leaving: Vec<String>,
    started: usize,
    tries: usize,
    /// When the request was sent to an engine.
    sent: Vec<MonotonicTime>,
    /// When an engine crashed under it.
    crashed: Vec<MonotonicTime>,
    /// Whether engines only break its answers off.
    upstreams_live: bool,
    /// Whether engines give notice of their end while they run a request.
    upstreams_leave: bool,
}

impl CrashingEngines {
    fn new(size: usize, seed: u64) -> Self {
        Self::in_zones(size, 3, seed)
    }

    fn in_zones(size: usize, zones: usize, seed: u64) -> Self {
        let fleet = VirtualFleet::with_reader(size, zones, StalenessBounds::default(), read);
        let mut engines = Self {
            fleet,
            random: SmallRng::seed_from_u64(seed),
            running: Vec::new(),
            engines: Vec::new(),
            leaving: Vec::new(),
            started: 0,
            tries: 0,
            sent: Vec::new(),
            crashed: Vec::new(),
            upstreams_live: false,
            upstreams_leave: false,
        };
        for _ in 0..8 {
            engines.start_engine();
        }
        engines.fleet.run(Duration::from_secs(5));
        engines
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
                leaving: self.leaving.contains(id),
            };
            (revision, entry)
        };
        self.fleet.published = (revision, self.engines.iter().map(entry).collect());
    }

    /// The caller's next try, at any daemon.
    fn try_again(&mut self) {
        self.tries += 1;
        let daemon = self.random.random_range(0..self.fleet.cores.len());
        let request = forwarded(self.tries, "/tell/crash");
        self.fleet.submit(daemon, request);
    }

    /// Lets time pass until `until`; engines crash under what was sent to them.
    fn run(&mut self, until: MonotonicTime) {
        while self.fleet.now < until {
            self.fleet.run(self.fleet.now.since_start() + STEP);
            for (daemon, at, order) in std::mem::take(&mut self.fleet.relays) {
                self.sent.push(at);
                let head = ResponseHead { status: 200, execution: ExecutionStatus::Ran };
                let (attempt, event) = (order.attempt, AttemptEvent::HeadReceived(head));
                self.fleet.feed(daemon, DaemonEvent::Attempt { attempt, event });
                let mut until = at + RUN_TIME;
                if self.upstreams_leave {
                    self.leaving.push(order.upstream.clone());
                    self.publish();
                    until = until + NOTICE;
                }
                self.running.push((until, daemon, order));
            }
            let now = self.fleet.now;
            let (over, running) =
                std::mem::take(&mut self.running).into_iter().partition(|(at, ..)| now >= *at);
            self.running = running;
            let over: Vec<(MonotonicTime, usize, ForwardOrder)> = over;
            for (_, daemon, order) in over {
                self.crash(daemon, &order);
            }
        }
    }

    fn crash(&mut self, daemon: usize, order: &ForwardOrder) {
        if !self.upstreams_live {
            self.crashed.push(self.fleet.now);
            self.fleet.ended.insert(order.upstream.clone());
            self.engines.retain(|engine| *engine != order.upstream);
            self.start_engine();
        }
        let event = AttemptEvent::Broken(BreakReason::Cut);
        self.fleet.feed(daemon, DaemonEvent::Attempt { attempt: order.attempt, event });
    }

    /// Has the caller send the request over and over.
    fn try_for(&mut self, time: Duration) {
        self.try_paced(time, TRY_PACE);
    }

    fn try_paced(&mut self, time: Duration, pace: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.try_again();
            self.run(self.fleet.now + pace);
        }
        self.run(self.fleet.now + RUN_TIME * 2);
    }

    /// The request crashes one upstream under each of three daemons, one after the other.
    fn crash_three(&mut self) {
        for daemon in 0..CRASHES {
            self.tries += 1;
            self.fleet.submit(daemon, forwarded(self.tries, "/tell/crash"));
            self.run(self.fleet.now + RUN_TIME + STEP * 2);
        }
        assert_eq!(self.crashed.len(), CRASHES);
    }

    /// Time from three crashes at one moment, under three daemons, until no daemon sends the request on.
    fn time_to_quarantine(&mut self) -> Duration {
        let wait = Duration::from_millis(self.random.random_range(0..500));
        self.fleet.run(self.fleet.now.since_start() + wait);
        for daemon in 0..CRASHES {
            self.tries += 1;
            self.fleet.submit(daemon, forwarded(self.tries, "/tell/crash"));
        }
        self.run(self.fleet.now + RUN_TIME + STEP);
        assert_eq!(self.crashed.len(), CRASHES, "all ran");
        let crashed = self.crashed[CRASHES - 1];
        let daemons = 0..self.fleet.cores.len();
        while !daemons.clone().all(|daemon| self.is_quarantined_at(daemon)) {
            self.fleet.run(self.fleet.now.since_start() + STEP);
            assert!(self.fleet.now.since(crashed) < TRY_TIME, "some never know");
        }
        self.fleet.now.since(crashed)
    }

    fn is_quarantined_at(&self, daemon: usize) -> bool {
        !self.fleet.cores[daemon].dump(self.fleet.now).quarantined.is_empty()
    }

    /// Answers all that was sent on, whole.
    fn answer_all(&mut self) {
        self.fleet.run(self.fleet.now.since_start() + STEP);
        for (daemon, at, order) in std::mem::take(&mut self.fleet.relays) {
            self.sent.push(at);
            let head = ResponseHead { status: 200, execution: ExecutionStatus::Ran };
            for event in [AttemptEvent::HeadReceived(head), AttemptEvent::ResponseForwarded] {
                self.fleet.feed(daemon, DaemonEvent::Attempt { attempt: order.attempt, event });
            }
        }
    }

    /// Sends later than the contact time after the third crash.
    fn late_sends(&self) -> usize {
        let Some(third) = self.crashed.get(CRASHES - 1).copied() else { return 0 };
        self.sent
            .iter()
            .filter(|at| **at > third + StalenessBounds::default().recovery_time)
            .count()
    }
}

/// The try `number` of a request for `path`, whose content is the path's.
fn forwarded(number: usize, path: &str) -> CallerRequest {
    forwarded_as(number, path, path)
}

/// The try `number` of a request for `path` with `content`.
fn forwarded_as(number: usize, path: &str, content: &str) -> CallerRequest {
    let head = ForwardHead {
        host: HOST.to_owned(),
        path: path.to_owned(),
        content: RequestDigest::of(&[content.as_bytes()]),
        access: Some(KEY.to_owned()),
        ..ForwardHead::default()
    };
    CallerRequest {
        key: RequestKey::new("", format!("try-{number}")),
        labels: LabelSet::default(),
        deadline: Duration::from_secs(2),
        repeatable: false,
        stream: false,
        age: Duration::ZERO,
        ticket: None,
        content: RequestContent::Forward(Box::new(head)),
    }
}

#[test]
fn request_that_crashes_upstreams_is_sent_to_few() {
    for size in [6, 60] {
        for seed in 0..4 {
            let mut engines = CrashingEngines::new(size, seed);
            engines.try_for(TRY_TIME);
            let late = engines.late_sends();
            assert!(late <= LATE_SENDS, "{size} daemons, seed {seed}: {late} late sends");
        }
    }
}

/// The bound, part by part. The crashes that count are seen by three
/// daemons; a look at the upstream takes as long as one may, its news gather, are under way to the
/// readers of the zones for as long as a message may be, and every other daemon has just asked its reader
/// and asks again, with a question that is as late. A request that was chosen an upstream for a moment
/// before has then still to be written.
#[test]
fn longest_times_of_all_parts_add_up_to_less_than_the_bound() {
    for (size, zones, seeds) in [(6, 3, 12), (60, 3, 3), (410, 5, 1)] {
        let mut worst = Duration::ZERO;
        for seed in 0..seeds {
            let mut engines = CrashingEngines::in_zones(size, zones, seed);
            engines.fleet.tell_by_readers_only();
            engines.fleet.questions_are_late = true;
            worst = worst.max(engines.time_to_quarantine());
        }
        let sum = worst + CONNECT_TIMEOUT;
        println!("{size} daemons: {sum:?}");
        assert!(sum < StalenessBounds::default().recovery_time, "{size} daemons: {sum:?}");
    }
}

/// A daemon is cut off from the others while a request crashes three upstreams; it reaches the platform
/// again, and the callers count on it once it has been in contact for as long as the bound says.
#[test]
fn daemon_that_was_cut_off_knows_in_time() {
    for seed in 0..8 {
        let mut engines = CrashingEngines::new(6, seed);
        engines.fleet.cut_off.insert(5);
        engines.crash_three();
        engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(5));
        assert!(!engines.is_quarantined_at(5), "it hears of nothing");
        engines.fleet.cut_off.clear();
        let back = engines.fleet.now.since_start();
        engines.fleet.run(back + StalenessBounds::default().recovery_time);
        assert!(engines.is_quarantined_at(5), "seed {seed}: it does not know");
    }
}

/// A daemon restarts after a request has crashed three upstreams: its own memory is gone, and it must know
/// from its peers before it serves callers.
#[test]
fn daemon_that_starts_again_knows_before_it_serves() {
    for size in [6, 60] {
        let mut engines = CrashingEngines::new(size, 1);
        engines.crash_three();
        engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(3));
        engines.fleet.restart(0);
        while !engines.fleet.cores[0].is_ready() {
            engines.fleet.run(engines.fleet.now.since_start() + STEP);
        }
        assert!(engines.is_quarantined_at(0), "{size} daemons: it serves without knowing");
    }
}

/// All daemons restart at one moment after a request has crashed three upstreams, and nobody remembers
/// it. Its caller comes back when the callers count on the daemons again: the sends until the fleet has
/// learned it anew are as many as the bound leaves.
#[test]
fn fleet_that_lost_its_memory_learns_soon_enough() {
    for seed in 0..8 {
        let mut engines = CrashingEngines::new(6, seed);
        engines.try_for(TRY_TIME);
        for index in 0..6 {
            engines.fleet.restart(index);
        }
        let back = engines.fleet.now;
        engines.run(back + StalenessBounds::default().recovery_time);
        // The pace of the callers of a request as heavy as this one.
        engines.try_paced(TRY_TIME, Duration::from_millis(1_200));
        let late = engines.late_sends();
        assert!(late <= LATE_SENDS, "seed {seed}: {late} late sends");
    }
}

/// Many callers send the same small question. All upstreams of its pool end at one moment, with the
/// question on each of them, and come back: it had been answered a moment ago, so it is asked again.
#[test]
fn request_that_was_answered_of_late_is_not_blamed() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.try_again();
    engines.answer_all();
    for _ in 0..4 {
        engines.try_again();
    }
    engines.run(engines.fleet.now + RUN_TIME * 2);
    assert!(engines.crashed.len() > CRASHES, "they ran on several upstreams");
    engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(3));
    let sent = engines.sent.len();
    engines.try_again();
    engines.answer_all();
    assert_eq!(engines.sent.len(), sent + 1, "it is sent on");
    assert!((0..6).all(|daemon| !engines.is_quarantined_at(daemon)));
}

/// Three upstreams end by chance under a request that nobody sent before. It is refused at once for a
/// while, as not run, with the time after which it is let in again; then it is answered, and forgotten.
#[test]
fn request_that_was_there_by_chance_is_let_in_again() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.crash_three();
    engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(1));
    engines.fleet.answers.clear();
    let sent = engines.sent.len();
    engines.try_again();
    let answer = engines.fleet.answers.last().expect("it is answered at once").2.clone();
    assert_eq!(
        (answer.kind, answer.reason),
        (OutcomeKind::Refused, Some(RefusalReason::Quarantined))
    );
    let retry_after = answer.retry_after.expect("it is told when to come back");
    assert!(retry_after <= QUARANTINE_DURATION);
    engines.run(engines.fleet.now + retry_after + STEP);
    engines.try_again();
    engines.answer_all();
    assert_eq!(engines.sent.len(), sent + 1, "it is let in again when it was told so");
    engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(3));
    let dumps = engines.fleet.cores.iter().map(|core| core.dump(engines.fleet.now));
    assert!(dumps.into_iter().all(|dump| dump.quarantined.is_empty()));
}

/// Attempts break off at upstreams that go on: connections are reset, answers are lost. However often
/// that happens to a request, it is not blamed.
#[test]
fn broken_attempts_at_upstreams_that_live_blame_nobody() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.upstreams_live = true;
    engines.try_for(Duration::from_secs(6));
    assert!(engines.sent.len() >= 20, "each try is sent on");
}

/// A request waits for its pieces when others like it have crashed three upstreams: it is refused at once,
/// and not when its pieces are made.
#[test]
fn request_that_waits_for_pieces_is_refused_with_the_quarantine() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.fleet.submit(3, forwarded_as(9_000, "/digest/crash", "/tell/crash"));
    engines.run(engines.fleet.now + STEP);
    assert!(engines.fleet.answers.is_empty(), "it waits");
    engines.crash_three();
    engines.fleet.run(engines.fleet.now.since_start() + Duration::from_millis(900));
    let reasons: Vec<_> =
        engines.fleet.answers.iter().map(|(daemon, _, answer)| (*daemon, answer.reason)).collect();
    assert!(reasons.contains(&(3, Some(RefusalReason::Quarantined))), "{reasons:?}");
}

/// Three upstreams are taken away with a request still on them, one after the other: they had given
/// notice, and it is not blamed.
#[test]
fn upstreams_that_leave_blame_nobody() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.upstreams_leave = true;
    for _ in 0..CRASHES + 1 {
        engines.try_again();
        engines.run(engines.fleet.now + RUN_TIME + NOTICE + STEP * 2);
        engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(3));
    }
    assert_eq!(engines.crashed.len(), CRASHES + 1);
    assert_eq!(engines.sent.len(), CRASHES + 1, "each try is sent on");
}
