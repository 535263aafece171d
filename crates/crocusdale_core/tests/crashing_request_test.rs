//! Tests of requests that crash every upstream that starts to run them.
//!
//! Guards against one request that crashes many upstreams, each with the streams of other callers.
//! Its caller retries it every 1.2 s to 1.6 s at any daemon, with a new request key and the same
//! content. If each retry were handled alone, no daemon would connect the crashes. Evidence against
//! the upstream doesn't help, because it restarts under another name. So the crashes are counted by
//! the digest of the content, and the daemons share these counts.

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

/// Maximum number of sends of a request after it has crashed its third upstream and the daemons
/// have then been in contact for [`StalenessBounds::recovery_time`].
const MAX_LATE_SENDS: usize = 3;
/// Number of upstream crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Time for which an upstream runs the crashing request before it crashes.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time from the leaving notice of an upstream to its end. It is shorter than the request deadline.
const LEAVING_TIME: Duration = Duration::from_millis(1_500);
/// Interval between two retries by the caller of the crashing request.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Duration for which the caller keeps retrying the crashing request.
const RETRY_DURATION: Duration = Duration::from_secs(30);
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);

/// A fleet of daemons with simulated model engines, which crash under one request.
struct CrashingEngines {
    fleet: VirtualFleet,
    random: SmallRng,
    running_requests: Vec<(MonotonicTime, usize, ForwardOrder)>,
    engines: Vec<String>,
    leaving: Vec<String>,
    started_count: usize,
    retry_count: usize,
    /// Times at which the request was sent to an engine.
    send_times: Vec<MonotonicTime>,
    /// Times at which an engine crashed under the request.
    crash_times: Vec<MonotonicTime>,
    /// Whether engines survive the request and only cut off its response.
    upstreams_survive: bool,
    /// Whether engines publish that they are leaving while they run the request.
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
            running_requests: Vec::new(),
            engines: Vec::new(),
            leaving: Vec::new(),
            started_count: 0,
            retry_count: 0,
            send_times: Vec::new(),
            crash_times: Vec::new(),
            upstreams_survive: false,
            upstreams_leave: false,
        };
        for _ in 0..8 {
            engines.start_engine();
        }
        engines.fleet.run(Duration::from_secs(5));
        engines
    }

    fn start_engine(&mut self) {
        self.started_count += 1;
        self.engines.push(format!("e{}", self.started_count));
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
                software_version: None,
            };
            (revision, entry)
        };
        self.fleet.published = (revision, self.engines.iter().map(entry).collect());
    }

    /// Sends the next retry of the request to a random daemon.
    fn send_retry(&mut self) {
        self.retry_count += 1;
        let daemon = self.random.random_range(0..self.fleet.cores.len());
        let request = retry_request(self.retry_count, "/tell/crash");
        self.fleet.submit(daemon, request);
    }

    /// Advances the virtual clock to `until`. Engines crash under the requests that they receive.
    fn run(&mut self, until: MonotonicTime) {
        while self.fleet.now < until {
            self.fleet.run(self.fleet.now.since_start() + STEP);
            for (daemon, at, order) in std::mem::take(&mut self.fleet.relays) {
                self.send_times.push(at);
                let head = ResponseHead { status: 200, execution: ExecutionStatus::Ran };
                let (attempt, event) = (order.attempt, AttemptEvent::HeadReceived(head));
                self.fleet.feed(daemon, DaemonEvent::Attempt { attempt, event });
                let mut until = at + RUN_TIME;
                if self.upstreams_leave {
                    self.leaving.push(order.upstream.clone());
                    self.publish();
                    until = until + LEAVING_TIME;
                }
                self.running_requests.push((until, daemon, order));
            }
            let now = self.fleet.now;
            let (ended_requests, running_requests) = std::mem::take(&mut self.running_requests)
                .into_iter()
                .partition(|(at, ..)| now >= *at);
            self.running_requests = running_requests;
            let ended_requests: Vec<(MonotonicTime, usize, ForwardOrder)> = ended_requests;
            for (_, daemon, order) in ended_requests {
                self.end_request(daemon, &order);
            }
        }
    }

    fn end_request(&mut self, daemon: usize, order: &ForwardOrder) {
        if !self.upstreams_survive {
            self.crash_times.push(self.fleet.now);
            self.fleet.ended.insert(order.upstream.clone());
            self.engines.retain(|engine| *engine != order.upstream);
            self.start_engine();
        }
        let event = AttemptEvent::Broken(BreakReason::Cut);
        self.fleet.feed(daemon, DaemonEvent::Attempt { attempt: order.attempt, event });
    }

    /// Lets the caller retry the request for `time`.
    fn retry_for(&mut self, time: Duration) {
        self.retry_at_interval(time, RETRY_INTERVAL);
    }

    fn retry_at_interval(&mut self, time: Duration, interval: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.send_retry();
            self.run(self.fleet.now + interval);
        }
        self.run(self.fleet.now + RUN_TIME * 2);
    }

    /// Sends the request through three daemons one after the other, and crashes one upstream each
    /// time.
    fn crash_three_upstreams(&mut self) {
        for daemon in 0..QUARANTINE_CRASHES {
            self.retry_count += 1;
            self.fleet.submit(daemon, retry_request(self.retry_count, "/tell/crash"));
            self.run(self.fleet.now + RUN_TIME + STEP * 2);
        }
        assert_eq!(self.crash_times.len(), QUARANTINE_CRASHES);
    }

    /// Crashes three upstreams at the same time, through three daemons. Returns the time from these
    /// crashes until every daemon has quarantined the request.
    fn time_to_quarantine(&mut self) -> Duration {
        let start_offset = Duration::from_millis(self.random.random_range(0..500));
        self.fleet.run(self.fleet.now.since_start() + start_offset);
        for daemon in 0..QUARANTINE_CRASHES {
            self.retry_count += 1;
            self.fleet.submit(daemon, retry_request(self.retry_count, "/tell/crash"));
        }
        self.run(self.fleet.now + RUN_TIME + STEP);
        assert_eq!(
            self.crash_times.len(),
            QUARANTINE_CRASHES,
            "each of the three requests must crash an upstream"
        );
        let last_crash = self.crash_times[QUARANTINE_CRASHES - 1];
        let daemons = 0..self.fleet.cores.len();
        while !daemons.clone().all(|daemon| self.is_quarantined_at(daemon)) {
            self.fleet.run(self.fleet.now.since_start() + STEP);
            assert!(
                self.fleet.now.since(last_crash) < RETRY_DURATION,
                "expected all daemons to quarantine the request within {RETRY_DURATION:?}"
            );
        }
        self.fleet.now.since(last_crash)
    }

    fn is_quarantined_at(&self, daemon: usize) -> bool {
        !self.fleet.cores[daemon].dump(self.fleet.now).quarantined.is_empty()
    }

    /// Answers all forwarded requests completely.
    fn answer_all(&mut self) {
        self.fleet.run(self.fleet.now.since_start() + STEP);
        for (daemon, at, order) in std::mem::take(&mut self.fleet.relays) {
            self.send_times.push(at);
            let head = ResponseHead { status: 200, execution: ExecutionStatus::Ran };
            for event in [AttemptEvent::HeadReceived(head), AttemptEvent::ResponseForwarded] {
                self.fleet.feed(daemon, DaemonEvent::Attempt { attempt: order.attempt, event });
            }
        }
    }

    /// Number of sends more than [`StalenessBounds::recovery_time`] after the third crash.
    fn late_sends(&self) -> usize {
        let Some(third_crash) = self.crash_times.get(QUARANTINE_CRASHES - 1).copied() else {
            return 0;
        };
        self.send_times
            .iter()
            .filter(|at| **at > third_crash + StalenessBounds::default().recovery_time)
            .count()
    }
}

/// Builds retry `number` of a request for `path`. Its content depends on the path alone.
fn retry_request(number: usize, path: &str) -> CallerRequest {
    request_with_content(number, path, path)
}

/// Builds retry `number` of a request for `path` with `content`.
fn request_with_content(number: usize, path: &str, content: &str) -> CallerRequest {
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
fn request_that_crashes_upstreams_is_sent_to_few_more() {
    for size in [6, 60] {
        for seed in 0..4 {
            let mut engines = CrashingEngines::new(size, seed);
            engines.retry_for(RETRY_DURATION);
            let late = engines.late_sends();
            assert!(
                late <= MAX_LATE_SENDS,
                "{size} daemons, seed {seed}: {late} late sends, limit {MAX_LATE_SENDS}"
            );
        }
    }
}

/// Guards against a quarantine that takes effect too late, if all delays are as long as possible.
/// Three daemons observe the three crashes. Each probe of an upstream takes as long as it may. The
/// crash records then wait to be sent together, and each message to the readers of the availability
/// zones takes as long as it may. Every other daemon has just queried its reader, so its next query
/// comes a full interval later and takes as long. A request whose upstream was chosen just before
/// the quarantine is written up to [`CONNECT_TIMEOUT`] later.
#[test]
fn quarantine_with_longest_delays_takes_effect_within_the_recovery_time() {
    for (size, zones, seeds) in [(6, 3, 12), (60, 3, 3), (410, 5, 1)] {
        let mut max_time = Duration::ZERO;
        for seed in 0..seeds {
            let mut engines = CrashingEngines::in_zones(size, zones, seed);
            engines.fleet.restrict_gossip_to_readers();
            engines.fleet.heartbeats_are_late = true;
            max_time = max_time.max(engines.time_to_quarantine());
        }
        let sum = max_time + CONNECT_TIMEOUT;
        println!("{size} daemons: {sum:?}");
        assert!(
            sum < StalenessBounds::default().recovery_time,
            "{size} daemons: quarantined only after {sum:?}"
        );
    }
}

/// Guards against a daemon that doesn't know of a quarantine after a network partition. The request
/// crashes three upstreams during the partition. The daemon must know of the quarantine when it has
/// been in contact again for [`StalenessBounds::recovery_time`].
#[test]
fn reconnected_daemon_knows_of_quarantine_within_the_recovery_time() {
    for seed in 0..8 {
        let mut engines = CrashingEngines::new(6, seed);
        engines.fleet.partitioned.insert(5);
        engines.crash_three_upstreams();
        engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(5));
        assert!(!engines.is_quarantined_at(5), "an isolated daemon can't know of the quarantine");
        engines.fleet.partitioned.clear();
        let recovery_start = engines.fleet.now.since_start();
        engines.fleet.run(recovery_start + StalenessBounds::default().recovery_time);
        assert!(
            engines.is_quarantined_at(5),
            "seed {seed}: the reconnected daemon has no quarantine"
        );
    }
}

/// Guards against a restarted daemon that sends a quarantined request. The restart lost its crash
/// records, so it must get them from its peers before it is ready.
#[test]
fn restarted_daemon_knows_of_quarantine_before_it_is_ready() {
    for size in [6, 60] {
        let mut engines = CrashingEngines::new(size, 1);
        engines.crash_three_upstreams();
        engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(3));
        engines.fleet.restart(0);
        while !engines.fleet.cores[0].is_ready() {
            engines.fleet.run(engines.fleet.now.since_start() + STEP);
        }
        assert!(
            engines.is_quarantined_at(0),
            "{size} daemons: the restarted daemon is ready without the quarantine"
        );
    }
}

/// Guards against too many sends of a crashing request after a simultaneous restart of all daemons,
/// which loses all crash records. Its caller retries it once [`StalenessBounds::recovery_time`] has
/// passed. Until the daemons have quarantined it again, the limit on late sends still holds.
#[test]
fn restarted_fleet_quarantines_request_again_within_the_limit() {
    for seed in 0..8 {
        let mut engines = CrashingEngines::new(6, seed);
        engines.retry_for(RETRY_DURATION);
        for index in 0..6 {
            engines.fleet.restart(index);
        }
        let recovery_start = engines.fleet.now;
        engines.run(recovery_start + StalenessBounds::default().recovery_time);
        // Callers of a request as expensive as this one retry it every 1.2 s.
        engines.retry_at_interval(RETRY_DURATION, Duration::from_millis(1_200));
        let late = engines.late_sends();
        assert!(late <= MAX_LATE_SENDS, "seed {seed}: {late} late sends, limit {MAX_LATE_SENDS}");
    }
}

/// Guards against the quarantine of a harmless request that many callers send. All upstreams of its
/// pool crash at once, while each of them runs the request. It was answered shortly before, so it
/// isn't the cause.
#[test]
fn recently_answered_request_is_not_quarantined() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.send_retry();
    engines.answer_all();
    for _ in 0..4 {
        engines.send_retry();
    }
    engines.run(engines.fleet.now + RUN_TIME * 2);
    assert!(
        engines.crash_times.len() > QUARANTINE_CRASHES,
        "more than {QUARANTINE_CRASHES} upstreams must crash under the request"
    );
    engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(3));
    let send_count = engines.send_times.len();
    engines.send_retry();
    engines.answer_all();
    assert_eq!(engines.send_times.len(), send_count + 1, "the request must be sent again");
    assert!((0..6).all(|daemon| !engines.is_quarantined_at(daemon)));
}

/// Guards against a harmless request that stays quarantined. Three upstreams crash by chance under
/// a new request. It is refused as not run, with the time after which it is accepted again. Its
/// answer after that time lifts the quarantine.
#[test]
fn quarantined_request_is_accepted_after_the_retry_after_time() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.crash_three_upstreams();
    engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(1));
    engines.fleet.answers.clear();
    let send_count = engines.send_times.len();
    engines.send_retry();
    let answer = engines
        .fleet
        .answers
        .last()
        .expect("the quarantined request is answered at once")
        .2
        .clone();
    assert_eq!(
        (answer.kind, answer.reason),
        (OutcomeKind::Refused, Some(RefusalReason::Quarantined))
    );
    let retry_after = answer.retry_after.expect("the refusal has a retry-after time");
    assert!(retry_after <= QUARANTINE_DURATION);
    engines.run(engines.fleet.now + retry_after + STEP);
    engines.send_retry();
    engines.answer_all();
    assert_eq!(
        engines.send_times.len(),
        send_count + 1,
        "the request must be accepted after the retry-after time"
    );
    engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(3));
    let dumps = engines.fleet.cores.iter().map(|core| core.dump(engines.fleet.now));
    assert!(dumps.into_iter().all(|dump| dump.quarantined.is_empty()));
}

/// Guards against the quarantine of a request whose attempts fail at upstreams that keep running,
/// for instance because connections are reset or responses are lost.
#[test]
fn failed_attempts_at_running_upstreams_quarantine_nothing() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.upstreams_survive = true;
    engines.retry_for(Duration::from_secs(6));
    assert!(engines.send_times.len() >= 20, "every retry must be sent to an upstream");
}

/// Guards against a request that waits for its pieces although it is quarantined. Requests with the
/// same content crash three upstreams in the meantime. It must be refused at once, not when its
/// pieces are done.
#[test]
fn request_that_waits_for_pieces_is_refused_when_quarantined() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.fleet.submit(3, request_with_content(9_000, "/digest/crash", "/tell/crash"));
    engines.run(engines.fleet.now + STEP);
    assert!(engines.fleet.answers.is_empty(), "the request must wait for its pieces");
    engines.crash_three_upstreams();
    engines.fleet.run(engines.fleet.now.since_start() + Duration::from_millis(900));
    let reasons: Vec<_> =
        engines.fleet.answers.iter().map(|(daemon, _, answer)| (*daemon, answer.reason)).collect();
    assert!(reasons.contains(&(3, Some(RefusalReason::Quarantined))), "{reasons:?}");
}

/// Guards against the quarantine of a request that runs on upstreams while they leave. Their end
/// was announced, so it isn't a crash, also if three of them end under the same request.
#[test]
fn end_of_leaving_upstreams_quarantines_nothing() {
    let mut engines = CrashingEngines::new(6, 1);
    engines.upstreams_leave = true;
    for _ in 0..QUARANTINE_CRASHES + 1 {
        engines.send_retry();
        engines.run(engines.fleet.now + RUN_TIME + LEAVING_TIME + STEP * 2);
        engines.fleet.run(engines.fleet.now.since_start() + Duration::from_secs(3));
    }
    assert_eq!(engines.crash_times.len(), QUARANTINE_CRASHES + 1);
    assert_eq!(
        engines.send_times.len(),
        QUARANTINE_CRASHES + 1,
        "every retry must be sent to an upstream"
    );
}
