use crocusdale_core::daemon::{CounterName, StateDump};
use crocusdale_core::pipeline::{FinalAnswer, OutcomeKind, RefusalReason};
use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use strum::{EnumCount as _, IntoEnumIterator as _, VariantArray as _};

use crate::memory::CallerUsage;

/// Upper bounds of the histogram buckets, in seconds. They reach from a quick answer to the longest
/// deadlines.
const BUCKET_BOUNDS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 3.0, 6.0, 20.0];
/// Prefix of every metric name.
const NAMESPACE: &str = "crocusdale";

/// Prometheus metrics of one process.
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    counters: Vec<IntCounter>,
    outcomes: IntCounterVec,
    requests: HistogramVec,
    stages: HistogramVec,
    gauges: StateGauges,
}

/// Gauges that are updated from a state dump whenever the metrics are scraped.
#[derive(Debug)]
struct StateGauges {
    ready: IntGauge,
    leaving: IntGauge,
    revision: IntGauge,
    rejected_revision: IntGauge,
    roster_revision: IntGauge,
    directory_revision: IntGauge,
    directory_age: IntGauge,
    evacuated_zones: IntGauge,
    cold_upstreams: IntGauge,
    limited_upstreams: IntGauge,
    impaired_pools: IntGauge,
    peers: IntGauge,
    running: IntGauge,
    registers: IntGauge,
    waiting: IntGauge,
    held_bytes: IntGauge,
    room_bytes: IntGauge,
    caller_connections: IntGauge,
}

impl MetricSet {
    /// Registers all metrics with the value zero.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is fixed at compile time.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters =
            CounterName::VARIANTS.iter().map(|name| register_counter(&registry, *name)).collect();
        let options = Opts::new("outcomes_total", "Final answers by outcome and reason");
        let outcomes = IntCounterVec::new(options.namespace(NAMESPACE), &["outcome", "reason"])
            .expect("a metric name must match [a-zA-Z_:][a-zA-Z0-9_:]*");
        registry
            .register(Box::new(outcomes.clone()))
            .expect("a metric name must be registered only once");
        for kind in OutcomeKind::iter() {
            let _ = outcomes.with_label_values(&[kind.to_string().as_str(), ""]);
        }
        let requests = register_histogram(
            &registry,
            "request_seconds",
            "Time from a request to its end, by outcome",
            "outcome",
        );
        let stages = register_histogram(
            &registry,
            "stage_seconds",
            "Time of a stage, its wait for an upstream included",
            "stage",
        );
        let gauges = StateGauges::new(&registry);
        Self { registry, counters, outcomes, requests, stages, gauges }
    }

    /// Increments the counter `name` by one.
    pub fn count(&self, name: CounterName) {
        debug_assert!((name as usize) < CounterName::COUNT);
        self.counters[name as usize].inc();
    }

    /// Counts a final answer, and observes the times of its request and stages.
    pub fn count_outcome(&self, answer: &FinalAnswer) {
        let reason = answer.reason.as_ref().map(RefusalReason::to_string).unwrap_or_default();
        let kind = answer.kind.to_string();
        self.outcomes.with_label_values(&[kind.as_str(), reason.as_str()]).inc();
        if let Some(duration) = answer.duration {
            self.requests.with_label_values(&[kind.as_str()]).observe(duration.as_secs_f64());
        }
        for stage in &answer.stages {
            let histogram = self.stages.with_label_values(&[stage.stage.as_str()]);
            histogram.observe(stage.time_ms / 1e3);
        }
    }

    /// Returns the metrics in the Prometheus text format, with the gauges updated from `dump` and
    /// `callers`.
    #[must_use]
    pub fn text(&self, dump: &StateDump, callers: CallerUsage) -> Vec<u8> {
        self.gauges.update(dump, callers);
        let mut text = Vec::new();
        // Encoding into memory can't fail, as the names of registered metrics are valid.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

impl Default for MetricSet {
    fn default() -> Self {
        Self::new()
    }
}

impl StateGauges {
    fn new(registry: &Registry) -> Self {
        Self {
            ready: register_gauge(registry, "ready", "1 if the daemon may serve callers"),
            leaving: register_gauge(registry, "leaving", "1 if the daemon drains"),
            revision: register_gauge(registry, "configuration_revision", "Revision in force"),
            rejected_revision: register_gauge(
                registry,
                "configuration_rejected_revision",
                "Newest rejected revision, 0 for none",
            ),
            roster_revision: register_gauge(registry, "roster_revision", "Revision of the VM list"),
            directory_revision: register_gauge(
                registry,
                "directory_revision",
                "Revision of the last known change of the published upstreams",
            ),
            directory_age: register_gauge(
                registry,
                "directory_age_milliseconds",
                "Time since that was known to be the last change, -1 if it never was",
            ),
            evacuated_zones: register_gauge(
                registry,
                "evacuated_zones",
                "Availability zones whose upstreams get no new work",
            ),
            cold_upstreams: register_gauge(
                registry,
                "cold_upstreams",
                "Upstreams that have started of late and get few requests",
            ),
            limited_upstreams: register_gauge(
                registry,
                "limited_upstreams",
                "Upstreams that have named how many requests a second they take",
            ),
            impaired_pools: register_gauge(
                registry,
                "impaired_pools",
                "Pools with most upstreams out of reach of the daemon's own links",
            ),
            peers: register_gauge(registry, "peers", "Daemons in the VM list, without this one"),
            running: register_gauge(registry, "running", "Requests that run"),
            registers: register_gauge(registry, "registers", "Registers kept as a witness"),
            waiting: register_gauge(registry, "waiting", "Attempts that wait for an upstream"),
            held_bytes: register_gauge(
                registry,
                "held_bytes",
                "Bytes of bodies and answers that are held for callers",
            ),
            room_bytes: register_gauge(
                registry,
                "room_bytes",
                "Bytes of bodies and answers that may be held for callers",
            ),
            caller_connections: register_gauge(
                registry,
                "caller_connections",
                "Open connections from callers",
            ),
        }
    }

    fn update(&self, dump: &StateDump, callers: CallerUsage) {
        self.held_bytes.set(saturating_i64(callers.held_bytes as u64));
        self.room_bytes.set(saturating_i64(callers.room_bytes as u64));
        self.caller_connections.set(saturating_i64(callers.connections as u64));
        self.ready.set(i64::from(dump.ready));
        self.leaving.set(i64::from(dump.leaving));
        self.revision.set(saturating_i64(dump.revision));
        self.rejected_revision.set(saturating_i64(dump.rejected_revision.unwrap_or_default()));
        self.roster_revision.set(saturating_i64(dump.roster_revision));
        self.directory_revision.set(saturating_i64(dump.directory_revision));
        self.directory_age.set(dump.directory_age_ms.map_or(-1, saturating_i64));
        self.evacuated_zones.set(saturating_i64(dump.evacuated_zones.len() as u64));
        let cold = dump.upstreams.iter().filter(|upstream| upstream.cold).count();
        self.cold_upstreams.set(saturating_i64(cold as u64));
        self.limited_upstreams.set(saturating_i64(dump.limited_upstreams.len() as u64));
        self.impaired_pools.set(saturating_i64(dump.impaired_pools.len() as u64));
        self.peers.set(saturating_i64(dump.peers as u64));
        self.running.set(saturating_i64(dump.running as u64));
        self.registers.set(saturating_i64(dump.registers as u64));
        self.waiting.set(saturating_i64(dump.waiting.iter().map(|(_, count)| *count as u64).sum()));
    }
}

fn register_counter(registry: &Registry, name: CounterName) -> IntCounter {
    let label: &'static str = name.into();
    let options = Opts::new(format!("{label}_total"), label.replace('_', " ")).namespace(NAMESPACE);
    let counter =
        IntCounter::with_opts(options).expect("a metric name must match [a-zA-Z_:][a-zA-Z0-9_:]*");
    registry
        .register(Box::new(counter.clone()))
        .expect("a metric name must be registered only once");
    counter
}

fn register_histogram(registry: &Registry, name: &str, help: &str, label: &str) -> HistogramVec {
    let options =
        HistogramOpts::new(name, help).namespace(NAMESPACE).buckets(BUCKET_BOUNDS.to_vec());
    let histogram = HistogramVec::new(options, &[label])
        .expect("a metric name must match [a-zA-Z_:][a-zA-Z0-9_:]*");
    registry
        .register(Box::new(histogram.clone()))
        .expect("a metric name must be registered only once");
    histogram
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let options = Opts::new(name, help).namespace(NAMESPACE);
    let gauge =
        IntGauge::with_opts(options).expect("a metric name must match [a-zA-Z_:][a-zA-Z0-9_:]*");
    registry.register(Box::new(gauge.clone())).expect("a metric name must be registered only once");
    gauge
}

fn saturating_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
