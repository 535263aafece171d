use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::cost_estimate::{CostEstimate, UsualTimes, unshared_tokens};
use super::placed_engine::PlacedEngine;
use super::{
    FirstEventModel, PlacementOutcome, PlacementReply, PlacementReport, PlacementRequest,
    SampleMean,
};
use crate::configuration::EngineRules;
use crate::identity::{AttemptId, MonotonicTime, SoftwareVersion, stable_hash};

/// Costs within this fraction of the smallest, or within [`NEAR_MS`], count as equal. Among these,
/// the engine that is preferred by the session is chosen.
const NEAR_FRACTION: f64 = 0.1;
/// See [`NEAR_FRACTION`], in milliseconds.
const NEAR_MS: f64 = 10.0;
/// Maximum number of open requests. Further ones are placed but not counted.
const MAX_OPEN_REQUESTS: usize = 65_536;
/// Time constant of the means of the whole section.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Duration of a request before any was measured, in milliseconds.
const DEFAULT_REQUEST_MS: f64 = 2_000.0;
/// Weight of the value before any sample in the means of the whole section, in samples.
const MEAN_PRIOR_WEIGHT: f64 = 0.5;
/// Number of events from which the time between events is a sample of an engine's speed.
const MIN_STREAM_EVENTS: u32 = 4;
/// Limit on a sample in the means of the whole section, as a multiple of the usual. A caller that
/// reads slowly must not make all engines appear fast.
const MAX_MEAN_SAMPLE: f64 = 10.0;
/// Weight of a sample of the time to the first event. It varies more than the time between events.
const FIRST_EVENT_WEIGHT: f64 = 0.5;
/// Range of the speed by which samples of the time to the first event are divided.
const CORRECTION_RANGE: (f64, f64) = (0.3, 4.0);

/// An engine that a placement coordinator may choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInfo {
    /// Name of the upstream.
    pub name: String,
    /// Availability zone of the engine.
    pub zone: String,
    /// Region of that zone, if it is known.
    pub region: Option<String>,
    /// Version of the engine's software. `None` if it is not known.
    pub software_version: Option<SoftwareVersion>,
}

/// Chooses engines for the requests of all daemons in one section of an engine pool.
#[derive(Debug)]
pub struct EnginePlacer {
    rules: EngineRules,
    engines: BTreeMap<Arc<str>, PlacedEngine>,
    open: HashMap<AttemptId, OpenPlacement>,
    /// Deadlines of the open requests.
    deadlines: BTreeSet<(MonotonicTime, AttemptId)>,
    next_number: u64,
    /// Time to the first event over the prompt tokens queued before the request and its own, at
    /// usual speed.
    queue_model: FirstEventModel,
    /// Time to the first event over the prompt tokens of the request alone.
    pool_model: FirstEventModel,
    mean_event_ms: SampleMean,
    mean_first_event_ratio: SampleMean,
    mean_request_ms: SampleMean,
}

/// A request that a daemon was told to send to an engine.
#[derive(Debug)]
struct OpenPlacement {
    engine: Arc<str>,
    number: u64,
    deadline: MonotonicTime,
    placed_at: MonotonicTime,
    prompt_tokens: u64,
    held_tokens: u64,
    estimate: CostEstimate,
    /// Whether the estimate was made for the engine that runs the request.
    is_estimated: bool,
}

impl EnginePlacer {
    /// Creates a placer without engines.
    #[must_use]
    pub fn new(rules: EngineRules) -> Self {
        Self {
            rules,
            engines: BTreeMap::new(),
            open: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_number: 0,
            queue_model: FirstEventModel::default(),
            pool_model: FirstEventModel::default(),
            mean_event_ms: SampleMean::new(MEAN_TIME_CONSTANT),
            mean_first_event_ratio: SampleMean::new(MEAN_TIME_CONSTANT),
            mean_request_ms: SampleMean::new(MEAN_TIME_CONSTANT),
        }
    }

    /// Sets the engines that may be chosen. Engines that stay keep their state.
    pub fn set_engines(
        &mut self,
        rules: EngineRules,
        engines: impl IntoIterator<Item = EngineInfo>,
    ) {
        self.rules = rules;
        let mut previous = std::mem::take(&mut self.engines);
        for info in engines {
            let engine = previous.remove(info.name.as_str());
            let engine = engine.unwrap_or_else(|| PlacedEngine::new(info));
            self.engines.insert(Arc::clone(&engine.name), engine);
        }
    }

    /// Chooses the engine of a request and counts the request there.
    pub fn place(&mut self, request: &PlacementRequest, now: MonotonicTime) -> PlacementReply {
        self.expire(now);
        self.remove(request.attempt, now);
        let chosen = self.choose(request, now);
        let mut reply =
            PlacementReply { first_event: self.pool_model.time(), ..PlacementReply::default() };
        if let Some((engine, estimate)) = chosen {
            reply.upstream = Some(engine.to_string());
            let expected = Duration::try_from_secs_f64(estimate.cost_ms / 1e3);
            reply.expected = expected.unwrap_or(Duration::MAX);
            self.open_at(engine, request, estimate, now);
        }
        reply
    }

    /// Applies the report of a daemon.
    pub fn report(&mut self, report: &PlacementReport, now: MonotonicTime) {
        match report.outcome {
            PlacementOutcome::Started => self.record_start(report, now),
            PlacementOutcome::NotUsed => self.move_request(report, now),
            PlacementOutcome::Answered => {
                self.record_start(report, now);
                self.record_stream(report, now);
            }
            PlacementOutcome::Failed => {
                self.record_missing_event(report.attempt, now);
                self.change_engine(report.attempt, |engine| engine.record_failure(now));
            }
            PlacementOutcome::Declined => {
                self.change_engine(report.attempt, |engine| engine.record_declined(now));
            }
            PlacementOutcome::Cancelled => self.record_missing_event(report.attempt, now),
        }
        if !matches!(report.outcome, PlacementOutcome::Started | PlacementOutcome::NotUsed) {
            self.remove(report.attempt, now);
        }
    }

    /// Removes the open requests whose deadline has passed. Returns their number.
    pub fn expire(&mut self, now: MonotonicTime) -> usize {
        let mut count = 0;
        while let Some((deadline, attempt)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.remove(attempt, now);
            count += 1;
        }
        count
    }

    /// Number of open requests.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Engines with their speed and their number of open requests, slowest first.
    #[must_use]
    pub fn speeds(&self, now: MonotonicTime) -> Vec<(String, f64, usize)> {
        let engines = self.engines.values();
        let mut speeds: Vec<_> = engines
            .map(|engine| {
                (engine.name.to_string(), engine.speed.ratio(now), engine.queue.open_count())
            })
            .collect();
        speeds.sort_by(|left, right| right.1.total_cmp(&left.1));
        speeds
    }

    fn choose(
        &self,
        request: &PlacementRequest,
        now: MonotonicTime,
    ) -> Option<(Arc<str>, CostEstimate)> {
        let is_allowed = |engine: &&PlacedEngine| {
            !request.excluded.iter().any(|excluded| **excluded == *engine.name)
                && request.allowed_regions.allows(engine.region.as_deref())
                && request.allowed_version.allows(engine.software_version.as_ref())
        };
        let (fixed_ms, token_ms) = self.queue_model.parts_ms();
        let request_ms =
            self.mean_request_ms.mean_with_prior(DEFAULT_REQUEST_MS, MEAN_PRIOR_WEIGHT, now);
        let mean_ratio = self.mean_ratio(now);
        let rules = self.rules;
        let times = UsualTimes { rules, fixed_ms, token_ms, request_ms, mean_ratio };
        let estimates = |with_excluded: bool| {
            let engines = self.engines.values().filter(is_allowed);
            let engines = engines.filter(|engine| with_excluded || !engine.is_excluded(now));
            engines
                .map(|engine| (engine, CostEstimate::new(engine, request, times, now)))
                .collect::<Vec<_>>()
        };
        let mut candidates = estimates(false);
        if candidates.is_empty() {
            candidates = estimates(true);
        }
        let costs = candidates.iter().map(|(_, estimate)| estimate.cost_ms);
        let least = costs.min_by(f64::total_cmp)?;
        let limit = (least * (1.0 + NEAR_FRACTION)).max(least + NEAR_MS);
        let affinity = request.affinity();
        let near = candidates.into_iter().filter(|(_, estimate)| estimate.cost_ms <= limit);
        let chosen = near.max_by_key(|(engine, _)| stable_hash(&[&affinity, &engine.name]))?;
        Some((Arc::clone(&chosen.0.name), chosen.1))
    }

    fn mean_ratio(&self, now: MonotonicTime) -> f64 {
        let mean = self.mean_first_event_ratio.mean_with_prior(1.0, MEAN_PRIOR_WEIGHT, now);
        mean.max(f64::EPSILON)
    }

    fn open_at(
        &mut self,
        name: Arc<str>,
        request: &PlacementRequest,
        estimate: CostEstimate,
        now: MonotonicTime,
    ) {
        if self.open.len() >= MAX_OPEN_REQUESTS {
            return;
        }
        let held_tokens = unshared_tokens(request);
        self.next_number += 1;
        let placement = OpenPlacement {
            engine: name,
            number: self.next_number,
            deadline: request.deadline,
            placed_at: now,
            prompt_tokens: request.prompt_tokens,
            held_tokens,
            estimate,
            is_estimated: true,
        };
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            let free_tokens = self.rules.token_memory.saturating_sub(engine.queue.held_tokens());
            engine.cache.record(&request.shared_parts, free_tokens, now);
            add_to_queue(engine, &placement, now);
        }
        self.deadlines.insert((request.deadline, request.attempt));
        self.open.insert(request.attempt, placement);
    }

    /// Records a first event: samples of the engine's speed and of the time to first events.
    fn record_start(&mut self, report: &PlacementReport, now: MonotonicTime) {
        let Some(placement) = self.open.get(&report.attempt) else { return };
        let Some(engine) = self.engines.get_mut(&placement.engine) else { return };
        engine.queue.finish_prefill(placement.number, now);
        engine.record_success();
        let Some(first_event) = report.first_event.filter(|_| placement.is_estimated) else {
            return;
        };
        let observed_ms = first_event.as_secs_f64() * 1e3;
        let estimate = placement.estimate;
        self.pool_model.record(placement.prompt_tokens as f64, observed_ms, now);
        let correction = estimate.speed.clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1);
        let working_ms = (observed_ms - estimate.wait_ms).max(observed_ms / 2.0);
        self.queue_model.record(estimate.total_tokens, working_ms / correction, now);
        let ratio = working_ms / estimate.usual_ms;
        self.mean_first_event_ratio.record(ratio.min(MAX_MEAN_SAMPLE), 1.0, now);
        let mean_ratio = self.mean_first_event_ratio.mean_with_prior(1.0, MEAN_PRIOR_WEIGHT, now);
        engine.speed.record(ratio / mean_ratio.max(f64::EPSILON), FIRST_EVENT_WEIGHT, now);
    }

    /// Records that a request has ended without a first event. If it had waited for longer than
    /// expected, that is a sample of the engine's speed.
    ///
    /// Guards against an engine that has stopped, whose requests all end at their deadlines.
    fn record_missing_event(&mut self, attempt: AttemptId, now: MonotonicTime) {
        let mean_ratio = self.mean_ratio(now);
        let Some(placement) = self.open.get(&attempt) else { return };
        let Some(engine) = self.engines.get_mut(&placement.engine) else { return };
        let awaited_ratio = engine.queue.awaited_ratio(placement.number, now).unwrap_or_default();
        if awaited_ratio > mean_ratio {
            engine.speed.record(awaited_ratio / mean_ratio, 1.0, now);
        }
    }

    /// Records an ended stream: a sample of the engine's speed from the time between its events.
    fn record_stream(&mut self, report: &PlacementReport, now: MonotonicTime) {
        let Some(placement) = self.open.get(&report.attempt) else { return };
        let request_ms = now.since(placement.placed_at).as_secs_f64() * 1e3;
        self.mean_request_ms.record(request_ms, 1.0, now);
        let Some(engine) = self.engines.get_mut(&placement.engine) else { return };
        if report.events < MIN_STREAM_EVENTS || report.stream_time.is_zero() {
            return;
        }
        let event_ms = report.stream_time.as_secs_f64() * 1e3 / f64::from(report.events - 1);
        let previous_mean_ms = self.mean_event_ms.mean_with_prior(event_ms, 0.0, now);
        let bounded_ms = event_ms.min(previous_mean_ms * MAX_MEAN_SAMPLE);
        self.mean_event_ms.record(bounded_ms, 1.0, now);
        let mean_ms = self.mean_event_ms.mean_with_prior(event_ms, 0.0, now);
        engine.speed.record(event_ms / mean_ms.max(f64::EPSILON), 1.0, now);
    }

    /// Moves a request to the engine that its daemon has chosen by itself.
    fn move_request(&mut self, report: &PlacementReport, now: MonotonicTime) {
        let Some((name, _)) = self.engines.get_key_value(report.upstream.as_str()) else {
            self.remove(report.attempt, now);
            return;
        };
        let name = Arc::clone(name);
        let Some(placement) = self.open.get_mut(&report.attempt) else { return };
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            engine.queue.remove(placement.number, now);
        }
        placement.is_estimated = false;
        placement.engine = name;
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            add_to_queue(engine, placement, now);
        }
    }

    fn change_engine(&mut self, attempt: AttemptId, change: impl FnOnce(&mut PlacedEngine)) {
        let Some(placement) = self.open.get(&attempt) else { return };
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            change(engine);
        }
    }

    fn remove(&mut self, attempt: AttemptId, now: MonotonicTime) {
        let Some(placement) = self.open.remove(&attempt) else { return };
        self.deadlines.remove(&(placement.deadline, attempt));
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            engine.queue.remove(placement.number, now);
        }
    }
}

fn add_to_queue(engine: &mut PlacedEngine, placement: &OpenPlacement, now: MonotonicTime) {
    let tokens = (placement.estimate.own_tokens, placement.held_tokens);
    // The wait for a slot is part of the time that is expected to pass without an event.
    let expected_ms = placement.estimate.usual_ms + placement.estimate.wait_ms;
    engine.queue.add(placement.number, tokens, expected_ms, now);
}
