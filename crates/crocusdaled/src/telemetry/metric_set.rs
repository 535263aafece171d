use crocusdale_core::daemon::{CounterName, StateDump};
use crocusdale_core::pipeline::{FinalAnswer, OutcomeKind, RefusalReason};
use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use strum::{EnumCount as _, IntoEnumIterator as _, VariantArray as _};

/// Upper bounds of the buckets of times, in seconds: from a plain answer to the longest deadlines.
const BUCKETS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 3.0, 6.0, 20.0];
/// Prefix of every metric.
const NAMESPACE: &str = "crocusdale";

/// Everything that one process counts.
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    counters: Vec<IntCounter>,
    outcomes: IntCounterVec,
    requests: HistogramVec,
    stages: HistogramVec,
    gauges: StateGauges,
}

/// Gauges that are set from the state dump when they are read.
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
    peers: IntGauge,
    running: IntGauge,
    registers: IntGauge,
    waiting: IntGauge,
}

impl MetricSet {
    /// Counts from zero.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is fixed at compile time.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = CounterName::VARIANTS.iter().map(|name| counter(&registry, *name)).collect();
        let options = Opts::new("outcomes_total", "Final answers by outcome and reason");
        let outcomes = IntCounterVec::new(options.namespace(NAMESPACE), &["outcome", "reason"])
            .expect("the name is valid");
        registry.register(Box::new(outcomes.clone())).expect("the name is not taken");
        for kind in OutcomeKind::iter() {
            let _ = outcomes.with_label_values(&[kind.to_string().as_str(), ""]);
        }
        let requests = histogram(
            &registry,
            "request_seconds",
            "Time from a request to its end, by outcome",
            "outcome",
        );
        let stages = histogram(
            &registry,
            "stage_seconds",
            "Time of a stage, its wait for an upstream included",
            "stage",
        );
        let gauges = StateGauges::new(&registry);
        Self { registry, counters, outcomes, requests, stages, gauges }
    }

    /// Raises `name` by one.
    pub fn count(&self, name: CounterName) {
        debug_assert!((name as usize) < CounterName::COUNT);
        self.counters[name as usize].inc();
    }

    /// Counts a final answer, and the times of its request and stages.
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

    /// Text for a scraper, with gauges as in `dump`.
    #[must_use]
    pub fn text(&self, dump: &StateDump) -> Vec<u8> {
        self.gauges.set(dump);
        let mut text = Vec::new();
        // Writing to memory can't fail for metrics that could be registered.
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
            ready: gauge(registry, "ready", "1 if the daemon may serve callers"),
            leaving: gauge(registry, "leaving", "1 if the daemon drains"),
            revision: gauge(registry, "configuration_revision", "Revision in force"),
            rejected_revision: gauge(
                registry,
                "configuration_rejected_revision",
                "Newest rejected revision, 0 for none",
            ),
            roster_revision: gauge(registry, "roster_revision", "Revision of the VM list"),
            directory_revision: gauge(
                registry,
                "directory_revision",
                "Revision of the last known change of the published upstreams",
            ),
            directory_age: gauge(
                registry,
                "directory_age_milliseconds",
                "Time since that was known to be the last change, -1 if it never was",
            ),
            evacuated_zones: gauge(
                registry,
                "evacuated_zones",
                "Availability zones whose upstreams get no new work",
            ),
            cold_upstreams: gauge(
                registry,
                "cold_upstreams",
                "Upstreams that have started of late and get few requests",
            ),
            limited_upstreams: gauge(
                registry,
                "limited_upstreams",
                "Upstreams that have named how many requests a second they take",
            ),
            peers: gauge(registry, "peers", "Daemons in the VM list, without this one"),
            running: gauge(registry, "running", "Requests that run"),
            registers: gauge(registry, "registers", "Registers kept as a witness"),
            waiting: gauge(registry, "waiting", "Attempts that wait for an upstream"),
        }
    }

    fn set(&self, dump: &StateDump) {
        self.ready.set(i64::from(dump.ready));
        self.leaving.set(i64::from(dump.leaving));
        self.revision.set(whole(dump.revision));
        self.rejected_revision.set(whole(dump.rejected_revision.unwrap_or_default()));
        self.roster_revision.set(whole(dump.roster_revision));
        self.directory_revision.set(whole(dump.directory_revision));
        self.directory_age.set(dump.directory_age_ms.map_or(-1, whole));
        self.evacuated_zones.set(whole(dump.evacuated_zones.len() as u64));
        let cold = dump.upstreams.iter().filter(|upstream| upstream.cold).count();
        self.cold_upstreams.set(whole(cold as u64));
        self.limited_upstreams.set(whole(dump.limited_upstreams.len() as u64));
        self.peers.set(whole(dump.peers as u64));
        self.running.set(whole(dump.running as u64));
        self.registers.set(whole(dump.registers as u64));
        self.waiting.set(whole(dump.waiting.iter().map(|(_, count)| *count as u64).sum()));
    }
}

fn counter(registry: &Registry, name: CounterName) -> IntCounter {
    let label: &'static str = name.into();
    let options = Opts::new(format!("{label}_total"), label.replace('_', " ")).namespace(NAMESPACE);
    let counter = IntCounter::with_opts(options).expect("the name is valid");
    registry.register(Box::new(counter.clone())).expect("the name is not taken");
    counter
}

fn histogram(registry: &Registry, name: &str, help: &str, label: &str) -> HistogramVec {
    let options = HistogramOpts::new(name, help).namespace(NAMESPACE).buckets(BUCKETS.to_vec());
    let histogram = HistogramVec::new(options, &[label]).expect("the name is valid");
    registry.register(Box::new(histogram.clone())).expect("the name is not taken");
    histogram
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let options = Opts::new(name, help).namespace(NAMESPACE);
    let gauge = IntGauge::with_opts(options).expect("the name is valid");
    registry.register(Box::new(gauge.clone())).expect("the name is not taken");
    gauge
}

fn whole(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
