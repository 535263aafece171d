//! Requests that crash every upstream that begins to run them.
//!
//! What was seen: one request was sent to eight more upstreams after it had crashed three, 1.2 s to 1.6 s
//! apart, by all daemons of the fleet, and each time the streams of other callers broke off with it.
//! In which order: its caller sends it anew, with another identity and the same content, to any daemon;
//! its batched steps are made; an engine begins to run it and ends in the middle of the answer.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
mod support;

use std::time::Duration;

use crocusdale_core::configuration::LabelSet;
use crocusdale_core::daemon::{DaemonEvent, NewsBounds};
use crocusdale_core::identity::{MonotonicTime, RequestDigest, RequestKey};
use crocusdale_core::pipeline::{
    AnswerHead, AttemptEvent, BreakReason, CallerRequest, ForwardHead, RelayOrder, RequestContent,
    RunProof,
};
use crocusdale_core::routing::DirectoryEntry;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use forward_daemon::{HOST, KEY, read};
use support::virtual_fleet::VirtualFleet;

/// Sends that are allowed once a request has crashed its third upstream and the daemons have been in
/// contact for [`NewsBounds::contact`] since.
const LATE_SENDS: usize = 3;
/// Upstreams that a request may crash before that.
const CRASHES: usize = 3;
/// Time for which an upstream runs such a request before it crashes.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Pause between two tries of its caller.
const TRY_PACE: Duration = Duration::from_millis(300);
/// Time for which its caller goes on.
const TRY_TIME: Duration = Duration::from_secs(12);
/// Step of the clock.
const STEP: Duration = Duration::from_millis(10);

/// Model engines of a fleet, and what runs on them.
struct CrashingEngines {
    fleet: VirtualFleet,
    random: SmallRng,
    running: Vec<(MonotonicTime, usize, RelayOrder)>,
    engines: Vec<String>,
    started: usize,
    tries: usize,
    /// When the request was sent to an engine.
    sent: Vec<MonotonicTime>,
    /// When an engine crashed under it.
    crashed: Vec<MonotonicTime>,
}

impl CrashingEngines {
    fn new(size: usize, seed: u64) -> Self {
        let fleet = VirtualFleet::with_reader(size, 3, NewsBounds::default(), read);
        let mut engines = Self {
            fleet,
            random: SmallRng::seed_from_u64(seed),
            running: Vec::new(),
            engines: Vec::new(),
            started: 0,
            tries: 0,
            sent: Vec::new(),
            crashed: Vec::new(),
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
                born: None,
                pool: "reader".to_owned(),
                address: "127.0.0.1:9".parse().expect("an address"),
                zone: "z0".to_owned(),
                slots: 64,
                leaving: false,
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
                let head = AnswerHead { status: 200, proof: RunProof::Ran };
                let (attempt, event) = (order.attempt, AttemptEvent::Headed(head));
                self.fleet.feed(daemon, DaemonEvent::Attempt { attempt, event });
                self.running.push((at + RUN_TIME, daemon, order));
            }
            let now = self.fleet.now;
            let (over, running) =
                std::mem::take(&mut self.running).into_iter().partition(|(at, ..)| now >= *at);
            self.running = running;
            let over: Vec<(MonotonicTime, usize, RelayOrder)> = over;
            for (_, daemon, order) in over {
                self.crash(daemon, &order);
            }
        }
    }

    fn crash(&mut self, daemon: usize, order: &RelayOrder) {
        self.crashed.push(self.fleet.now);
        self.engines.retain(|engine| *engine != order.upstream);
        self.start_engine();
        let event = AttemptEvent::Broken(BreakReason::Cut);
        self.fleet.feed(daemon, DaemonEvent::Attempt { attempt: order.attempt, event });
    }

    /// Has the caller send the request over and over.
    fn try_for(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.try_again();
            self.run(self.fleet.now + TRY_PACE);
        }
        self.run(self.fleet.now + RUN_TIME * 2);
    }

    /// Sends later than the contact time after the third crash.
    fn late_sends(&self) -> usize {
        let third = self.crashed[CRASHES - 1];
        self.sent.iter().filter(|at| **at > third + NewsBounds::default().contact).count()
    }
}

/// The try `number` of a request for `path`, whose content is the path's.
fn forwarded(number: usize, path: &str) -> CallerRequest {
    let head = ForwardHead {
        host: HOST.to_owned(),
        path: path.to_owned(),
        content: RequestDigest::of(&[path.as_bytes()]),
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
