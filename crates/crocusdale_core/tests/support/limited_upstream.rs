//! Test support: daemons that forward requests to plain upstreams, one of which announces a limit
//! on its request rate.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crocusdale_core::configuration::LabelSet;
use crocusdale_core::daemon::{DaemonEvent, StalenessBounds};
use crocusdale_core::identity::{MonotonicTime, RequestDigest, RequestKey, SoftwareVersion};
use crocusdale_core::pipeline::{
    AttemptEvent, CallerRequest, ExecutionStatus, ForwardHead, ForwardOrder, RequestContent,
    ResponseHead,
};
use crocusdale_core::rate_limiting::{RateNotice, RequestRate};
use crocusdale_core::routing::{CONNECT_TIMEOUT, DirectoryEntry, UpstreamNotice};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::forward_daemon::{HOST, KEY, read};
use super::support::virtual_fleet::VirtualFleet;

/// Length of the sliding window in which requests to the rate-limited upstream are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of requests in a window, as a multiple of the announced rate.
const MAX_OVERSHOOT: f64 = 1.5;
/// Number of requests in a window that are allowed in addition.
const EXTRA_REQUESTS: f64 = 5.0;
/// Time after a response with a rate limit from which on the daemon that received it must keep the
/// limit.
pub const NOTICE_DELAY: Duration = Duration::from_millis(500);
/// Response time of the upstreams.
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);
/// Time after the start in which all daemons learn the published upstreams.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Identifier of the upstream that announces a rate limit.
pub const LIMITED: &str = "n1";

/// Next event of an attempt.
enum AttemptStep {
    Arrive(ForwardOrder),
    Answer { order: ForwardOrder, rate: Option<RequestRate>, written: MonotonicTime },
}

/// Arrival of a request at the rate-limited upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamArrival {
    pub at: MonotonicTime,
    pub daemon: usize,
}

/// Daemons that receive requests at random, and forward them to [`LIMITED`] and other upstreams.
pub struct RateLimitedFleet {
    pub fleet: VirtualFleet,
    /// Rate limit that the upstream announces in each response, or `None` for no limit.
    pub rate: Option<RequestRate>,
    /// Whether each request is written [`CONNECT_TIMEOUT`] after its upstream was chosen, which is
    /// the longest possible delay.
    pub writes_are_late: bool,
    /// Requests that have arrived at the rate-limited upstream.
    pub arrivals: Vec<UpstreamArrival>,
    /// Time of the first response with a rate limit, by the index of the daemon that received it.
    pub informed_at: HashMap<usize, MonotonicTime>,
    /// Requests per second that callers send to all daemons together.
    pub load: f64,
    /// Name of the upstream's first process.
    name: String,
    random: SmallRng,
    steps: BTreeMap<(MonotonicTime, u64), (usize, AttemptStep)>,
    sequence: u64,
    size: usize,
}

impl RateLimitedFleet {
    /// Creates `size` daemons that use [`LIMITED`] and `others` further upstreams.
    pub fn new(size: usize, others: usize, seed: u64) -> Self {
        let mut fleet = VirtualFleet::with_reader(size, 3, StalenessBounds::default(), read);
        let names = std::iter::once(LIMITED.to_owned());
        let names = names.chain((0..others).map(|index| format!("m{index}")));
        fleet.published = (2, names.map(|id| (2, entry(&id))).collect());
        fleet.run(STARTUP_TIME);
        Self {
            fleet,
            rate: None,
            writes_are_late: false,
            arrivals: Vec::new(),
            informed_at: HashMap::new(),
            load: 0.0,
            name: entry(LIMITED).name(),
            random: SmallRng::seed_from_u64(seed),
            steps: BTreeMap::new(),
            sequence: 0,
            size,
        }
    }

    /// Lets the upstream announce a limit of `per_second` requests per second from now on.
    pub fn announce_rate(&mut self, per_second: f64) {
        self.rate = RequestRate::from_per_second(per_second);
    }

    /// Lets `daemon` receive `notice` in a response of the upstream.
    pub fn deliver_notice(&mut self, daemon: usize, notice: UpstreamNotice) {
        let (upstream, sent) = (self.name.clone(), self.fleet.now);
        self.fleet.feed(daemon, DaemonEvent::UpstreamNoticed { upstream, notice, sent });
    }

    /// Number of daemons that know of the upstream's rate limit.
    pub fn informed_daemons(&self) -> usize {
        self.fleet.cores.iter().filter(|core| core.is_limited(&self.name)).count()
    }

    /// Restarts the upstream under the same identifier.
    pub fn restart_upstream(&mut self) {
        let (revision, entries) = &mut self.fleet.published;
        *revision += 1;
        for (written, entry) in entries.iter_mut().filter(|(_, entry)| entry.id == LIMITED) {
            *written = *revision;
            entry.started_at_ms = entry.started_at_ms.map(|started_at_ms| started_at_ms + 1);
        }
    }

    /// Advances the virtual clock by `time`, in which callers send requests at the rate `load`.
    pub fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            let expected = self.load * STEP.as_secs_f64();
            let count = expected.floor() as usize
                + usize::from(self.random.random_bool(expected.fract().clamp(0.0, 1.0)));
            for _ in 0..count {
                let daemon = self.random.random_range(0..self.size);
                self.submit(daemon);
            }
            self.schedule_relays();
            self.advance(self.fleet.now + STEP);
        }
    }

    /// Submits a request to `daemon`.
    pub fn submit(&mut self, daemon: usize) {
        self.sequence += 1;
        let path = format!("/ask/{}", self.sequence);
        let head = ForwardHead {
            host: HOST.to_owned(),
            content: RequestDigest::of(&[path.as_bytes()]),
            path,
            access: Some(KEY.to_owned()),
            pieces: Vec::new(),
            piece_source: String::new(),
            demand: None,
            resumed: None,
        };
        let request = CallerRequest {
            key: RequestKey::new("", format!("try-{}", self.sequence)),
            labels: LabelSet::default(),
            deadline: Duration::from_secs(2),
            repeatable: false,
            stream: false,
            age: Duration::ZERO,
            ticket: None,
            content: RequestContent::Forward(Box::new(head)),
        };
        self.fleet.submit(daemon, request);
    }

    /// Largest number of requests in a window that ends at `from` or later. Only requests for which
    /// `counts` returns true are counted.
    pub fn max_in_window(
        &self,
        from: MonotonicTime,
        counts: impl Fn(&UpstreamArrival) -> bool,
    ) -> usize {
        let mut times: Vec<MonotonicTime> =
            self.arrivals.iter().filter(|each| counts(each)).map(|each| each.at).collect();
        times.sort_unstable();
        let ends = times.iter().filter(|end| **end >= from);
        let within = |end: &MonotonicTime| {
            times.iter().filter(|at| **at <= *end && end.since(**at) < RATE_WINDOW).count()
        };
        ends.map(within).max().unwrap_or_default()
    }

    /// Largest number of requests in a window that ends at `from` or later. Only requests of
    /// daemons that had known the rate limit for [`NOTICE_DELAY`] are counted.
    pub fn max_of_informed(&self, from: MonotonicTime) -> usize {
        self.max_in_window(from, |arrival| {
            self.informed_at
                .get(&arrival.daemon)
                .is_some_and(|told| *told + NOTICE_DELAY <= arrival.at)
        })
    }

    /// Requests per second that have arrived at the upstream since `from`.
    pub fn arrival_rate(&self, from: MonotonicTime) -> f64 {
        let count = self.arrivals.iter().filter(|arrival| arrival.at >= from).count();
        count as f64 / self.fleet.now.since(from).as_secs_f64()
    }

    fn schedule_relays(&mut self) {
        for (daemon, at, order) in std::mem::take(&mut self.fleet.relays) {
            let write_delay = if self.writes_are_late { CONNECT_TIMEOUT } else { Duration::ZERO };
            self.schedule(at + write_delay, daemon, AttemptStep::Arrive(order));
        }
    }

    fn advance(&mut self, until: MonotonicTime) {
        while let Some(first) = self.steps.first_entry().filter(|first| first.key().0 <= until) {
            let ((at, _), (daemon, step)) = first.remove_entry();
            self.fleet.run(at.since_start().max(self.fleet.now.since_start()));
            match step {
                AttemptStep::Arrive(order) => self.arrive(daemon, order, at),
                AttemptStep::Answer { order, rate, written } => {
                    self.answer(daemon, &order, rate, written);
                }
            }
            self.schedule_relays();
        }
        self.fleet.run(until.since_start());
    }

    fn arrive(&mut self, daemon: usize, order: ForwardOrder, at: MonotonicTime) {
        let is_limited = order.process == LIMITED;
        if is_limited {
            self.arrivals.push(UpstreamArrival { at, daemon });
        }
        let rate = self.rate.filter(|_| is_limited);
        let answer = AttemptStep::Answer { order, rate, written: at };
        self.schedule(at + RESPONSE_TIME, daemon, answer);
    }

    fn answer(
        &mut self,
        daemon: usize,
        order: &ForwardOrder,
        rate: Option<RequestRate>,
        sent: MonotonicTime,
    ) {
        let (attempt, upstream) = (order.attempt, order.upstream.clone());
        let notice = UpstreamNotice {
            rate: rate.map_or(RateNotice::Unlimited, RateNotice::Limited),
            ..UpstreamNotice::default()
        };
        if rate.is_some() {
            self.informed_at.entry(daemon).or_insert(self.fleet.now);
        }
        self.fleet.feed(daemon, DaemonEvent::UpstreamNoticed { upstream, notice, sent });
        let head = ResponseHead { status: 200, execution: ExecutionStatus::Ran };
        for event in [AttemptEvent::HeadReceived(head), AttemptEvent::ResponseForwarded] {
            self.fleet.feed(daemon, DaemonEvent::Attempt { attempt, event });
        }
    }

    fn schedule(&mut self, at: MonotonicTime, daemon: usize, step: AttemptStep) {
        self.sequence += 1;
        self.steps.insert((at, self.sequence), (daemon, step));
    }
}

/// Maximum number of requests in a window at a rate limit of `per_second`.
pub fn max_allowed_requests(per_second: f64) -> usize {
    (per_second * RATE_WINDOW.as_secs_f64() * MAX_OVERSHOOT + EXTRA_REQUESTS) as usize
}

/// Builds the published entry of the upstream `id`.
pub fn entry(id: &str) -> DirectoryEntry {
    DirectoryEntry {
        id: id.to_owned(),
        started_at_ms: Some(7),
        pool: "notify".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z0".to_owned(),
        slots: 64,
        leaving: false,
        software_version: SoftwareVersion::new("v1"),
    }
}
