//! Upstreams that fail if they have to reject many requests in a second for lack of capacity.

use std::collections::VecDeque;
use std::time::Duration;

use crocusdale_core::configuration::{Declarations, DeclarationsBuilder, PoolKind, StageRules};
use crocusdale_core::identity::{CallId, MonotonicTime, RequestDigest};
use crocusdale_core::routing::{
    AttemptReport, DirectoryEntry, SlotGrant, SlotRequest, UpstreamDirectory, UpstreamRouter,
    brittle_backoff,
};
use crocusdale_core::streams::AllowedVersion;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Requests that an upstream processes at the same time.
const SLOTS: usize = 6;
/// Requests that an upstream lets wait while it is brittle.
const WAITING: usize = 8;
const UPSTREAMS: usize = 3;
/// Time in which an upstream processes a request.
const WORK_TIME: Duration = Duration::from_millis(30);
/// Number of rejections in a second that an upstream bears.
const MAX_REJECTIONS: u32 = 8;
const STEP: Duration = Duration::from_millis(2);
/// Interval at which a daemon looks for free slots, in milliseconds.
const HOUSEKEEPING_MS: u128 = 100;

fn declarations() -> Declarations {
    DeclarationsBuilder::new("test", Duration::from_secs(1))
        .stage("notify", StageRules::published(PoolKind::Plain, None))
        .build()
}

/// An upstream with its work, and the times of its rejections.
#[derive(Default)]
struct ModelUpstream {
    /// Daemon, call and start of each request that is processed.
    running: VecDeque<(usize, CallId, MonotonicTime)>,
    waiting: VecDeque<(usize, CallId)>,
    rejections: Vec<MonotonicTime>,
}

impl ModelUpstream {
    /// Largest number of rejections in any second.
    fn max_rejections(&self) -> usize {
        let within_second = |start: &MonotonicTime| {
            let end = *start + Duration::from_secs(1);
            self.rejections.iter().filter(|at| *at >= start && **at < end).count()
        };
        self.rejections.iter().map(within_second).max().unwrap_or_default()
    }
}

/// Daemons that send bursts of requests to the same upstreams.
struct ModelFleet {
    routers: Vec<UpstreamRouter>,
    upstreams: Vec<ModelUpstream>,
    random: SmallRng,
    calls: u64,
    answered: usize,
    is_brittle: bool,
}

impl ModelFleet {
    fn new(daemons: usize, is_brittle: bool, seed: u64) -> Self {
        let mut directory = UpstreamDirectory::default();
        let entry = |number: usize| DirectoryEntry {
            id: format!("n{number}"),
            started_at_ms: None,
            pool: "notify".to_owned(),
            address: "10.1.2.3:8080".parse().expect("an address"),
            zone: format!("z{number}"),
            slots: u32::try_from(SLOTS).expect("few slots"),
            leaving: false,
            software_version: None,
        };
        directory.replace(1, (0..UPSTREAMS).map(|number| (1, entry(number))).collect(), None);
        let router = |index: usize| {
            let zone = format!("z{}", index % UPSTREAMS);
            let router = UpstreamRouter::new(&zone, index as u64);
            let router =
                router.reconfigured(&declarations(), &directory, MonotonicTime::from_millis(0));
            router.set_daemons(daemons);
            router
        };
        Self {
            routers: (0..daemons).map(router).collect(),
            upstreams: (0..UPSTREAMS).map(|_| ModelUpstream::default()).collect(),
            random: SmallRng::seed_from_u64(seed),
            calls: 0,
            answered: 0,
            is_brittle,
        }
    }

    /// Lets all daemons send `per_second` requests per second together for `time`.
    fn run(&mut self, start: MonotonicTime, time: Duration, per_second: f64) -> MonotonicTime {
        let (mut now, end) = (start, start + time);
        while now < end {
            let expected = per_second * STEP.as_secs_f64();
            let arrivals =
                expected as usize + usize::from(self.random.random_bool(expected.fract()));
            for _ in 0..arrivals {
                let daemon = self.random.random_range(0..self.routers.len());
                self.submit(daemon, now);
            }
            for number in 0..UPSTREAMS {
                self.finish_work(number, now);
            }
            if now.since_start().as_millis() % HOUSEKEEPING_MS == 0 {
                self.serve_waiting(now);
            }
            now = now + STEP;
        }
        now
    }

    fn serve_waiting(&mut self, now: MonotonicTime) {
        for daemon in 0..self.routers.len() {
            for grant in self.routers[daemon].serve_all_waiting(now) {
                self.send(daemon, &grant, now);
            }
        }
    }

    fn submit(&mut self, daemon: usize, now: MonotonicTime) {
        self.calls += 1;
        let request = SlotRequest {
            call: CallId(self.calls),
            branch: 0,
            stage: "notify".to_owned(),
            level: 0,
            deadline: now + Duration::from_millis(1_500),
            failed_upstreams: Vec::new(),
            demand: None,
            digest: RequestDigest::of(&[b"request"]),
            allowed_regions: Default::default(),
            allowed_version: AllowedVersion::Any,
        };
        if let Ok(Some(grant)) = self.routers[daemon].acquire(request, now) {
            self.send(daemon, &grant, now);
        }
    }

    fn send(&mut self, daemon: usize, grant: &SlotGrant, now: MonotonicTime) {
        let number: usize = grant.upstream[1..].parse().expect("the number of an upstream");
        let (call, upstream) = (grant.request.call, &mut self.upstreams[number]);
        if upstream.running.len() < SLOTS {
            upstream.running.push_back((daemon, call, now));
        } else if upstream.waiting.len() < WAITING {
            upstream.waiting.push_back((daemon, call));
        } else {
            upstream.rejections.push(now);
            self.end_attempt(daemon, number, call, AttemptReport::Declined, now);
        }
    }

    fn finish_work(&mut self, number: usize, now: MonotonicTime) {
        while let Some((daemon, call, started)) = self.upstreams[number]
            .running
            .front()
            .copied()
            .filter(|(.., started)| now.since(*started) >= WORK_TIME)
        {
            let upstream = &mut self.upstreams[number];
            upstream.running.pop_front();
            if let Some((daemon, call)) = upstream.waiting.pop_front() {
                upstream.running.push_back((daemon, call, now));
            }
            self.answered += 1;
            let report = AttemptReport::Answered(now.since(started));
            self.end_attempt(daemon, number, call, report, now);
        }
    }

    /// Reports the end of an attempt, with the announcement in its answer, and sends the requests that
    /// have waited for it.
    fn end_attempt(
        &mut self,
        daemon: usize,
        number: usize,
        call: CallId,
        report: AttemptReport,
        now: MonotonicTime,
    ) {
        let (router, upstream) = (&self.routers[daemon], format!("n{number}"));
        if self.is_brittle {
            router.record_brittle(&upstream, MAX_REJECTIONS, now);
        }
        for grant in router.release(&upstream, call, report, now) {
            self.send(daemon, &grant, now);
        }
    }

    /// Runs a calm time in which the daemons learn of the announcement, and bursts. Returns the
    /// largest number of rejections in a second at any upstream.
    fn run_bursts(&mut self) -> usize {
        let mut now = self.run(MonotonicTime::from_millis(10_000), Duration::from_secs(3), 150.0);
        for upstream in &mut self.upstreams {
            upstream.rejections.clear();
        }
        for _ in 0..4 {
            now = self.run(now, Duration::from_millis(700), 1_500.0);
            now = self.run(now, Duration::from_millis(1_500), 150.0);
        }
        self.upstreams.iter().map(ModelUpstream::max_rejections).max().unwrap_or_default()
    }
}

/// Guards against bursts in which all daemons fill all upstreams: each upstream rejects so many
/// requests in a second that it fails.
#[test]
fn brittle_upstreams_reject_few_requests() {
    for daemons in [6, 30, 65] {
        for seed in 0..8 {
            let mut sturdy = ModelFleet::new(daemons, false, seed);
            let rejections = sturdy.run_bursts();
            assert!(rejections > MAX_REJECTIONS as usize, "the load is too low to show anything");
            let mut fleet = ModelFleet::new(daemons, true, seed);
            let rejections = fleet.run_bursts();
            println!(
                "{daemons} daemons: {rejections} rejections, {} of {} answers",
                fleet.answered, sturdy.answered
            );
            assert!(rejections <= MAX_REJECTIONS as usize, "{daemons} daemons, seed {seed}");
            assert!(
                fleet.answered * 10 >= sturdy.answered * 9,
                "{} of {} answers with {daemons} daemons",
                fleet.answered,
                sturdy.answered
            );
        }
    }
}

/// Guards against a daemon that asks an upstream again and again which has just rejected a request.
#[test]
fn backoff_keeps_all_daemons_below_the_limit() {
    for daemons in [1, 6, 65] {
        for max_rejections in [1, 4, 20, 1_000] {
            let backoff = brittle_backoff(daemons, max_rejections).as_secs_f64();
            let rejections = daemons as f64 / backoff;
            let is_longest = backoff >= 10.0;
            assert!(rejections <= f64::from(max_rejections) || is_longest, "{daemons} daemons");
        }
    }
    assert!(brittle_backoff(1_000, 0) <= Duration::from_secs(10));
}
