use std::sync::Arc;
use std::time::Duration;

use super::{CallerRequest, FinalOutcome, ForwardHead, OutcomeKind, RefusalReason, RequestContent};
use crate::admission::{AdmissionClass, AdmissionPermit};
use crate::configuration::{
    AllowedRegions, Declarations, ForwardRules, LabelSet, PipelineRules, PlanStep, PoolKind,
    SchedulingSettings, StageRules, StepWork, WeightedPool, WorkspaceRules,
};
use crate::identity::{MonotonicTime, PartId, RequestDigest, RequestKey};
use crate::streams::{MAX_RECORD_TIME, StreamOrigin};

/// Expected time to first response of a forwarded request, before any was measured in its pool.
const DEFAULT_FIRST_RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Number of pipeline levels that are told apart among workspaces with the same level. Less urgent
/// pipelines share the last one.
const PIPELINE_LEVELS: u8 = 3;
/// Upper bound on a request's deadline, which keeps sums of times from overflowing.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request with the configuration that applies to it.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// The parsed request.
    pub request: CallerRequest,
    /// Digest that repeats of the request share, whatever their idempotency keys.
    pub digest: RequestDigest,
    /// Configuration that was in force when the request arrived; it applies until the request ends.
    pub declarations: Arc<Declarations>,
    /// Rules of the pipeline that serves the request. For a forwarded request, its pool is already
    /// selected.
    pub pipeline: PipelineRules,
    /// Labels of the request together with those of its workspace.
    pub labels: LabelSet,
    /// Priority level; 0 is the most urgent.
    pub level: u8,
    /// Time at which the request arrived.
    pub arrived_at: MonotonicTime,
    /// Time by which the answer, or the first event of a stream, should be sent.
    pub objective: MonotonicTime,
    /// Time after which nothing is dispatched for the request.
    pub deadline: MonotonicTime,
    /// Time by which the caller of a stream abandons it without a first event, at most
    /// [`Self::deadline`].
    pub first_event_deadline: MonotonicTime,
    /// Time until which the witnesses surely remember the key.
    pub remembered_until: MonotonicTime,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the key must be claimed at witnesses. A forwarded request is never needs_claim: its
    /// caller gives every try a new identity, so only the daemon that received it can run it.
    pub needs_claim: bool,
    /// Whether the workspace sends far more than it usually does.
    pub is_flood: bool,
    /// How the request was admitted.
    pub admission: AdmissionClass,
    /// Time by which an admitted late request is expected to end, which takes the place of the
    /// latency objective that it misses. `None` for other requests.
    pub promised_end: Option<MonotonicTime>,
    /// Admission permit, which counts the request against the concurrency limits until it is
    /// released.
    pub permit: AdmissionPermit,
    /// Regions in which upstreams may process the request.
    pub allowed_regions: AllowedRegions,
    /// Expected queueing delay of each step on top of [`Self::step_time`], by position, from the
    /// load of the pools when the request started. Missing entries count as zero.
    pub queueing_delays: Vec<Duration>,
    /// Recent time to first response of requests like this one, from the placement coordinator of
    /// the engine pool. `None` if it is not known.
    pub first_response_time: Option<Duration>,
    /// Whether parallel batched steps are due together.
    pub aligns_parallel_steps: bool,
    /// Where the stream began that the request takes up. `None` if it begins a new one.
    pub stream_origin: Option<StreamOrigin>,
}

impl RequestPlan {
    /// Applies the configuration `declarations` to `request`.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the configuration does not allow the request.
    pub fn build(
        request: CallerRequest,
        declarations: &Arc<Declarations>,
        now: MonotonicTime,
    ) -> Result<Self, Box<FinalOutcome>> {
        match &request.content {
            RequestContent::Json(_) => Self::plan_json_request(request, declarations, now),
            RequestContent::Forward(head) => {
                let head = head.clone();
                Self::plan_forwarded_request(request, &head, declarations, now)
            }
        }
    }

    fn plan_json_request(
        request: CallerRequest,
        declarations: &Arc<Declarations>,
        now: MonotonicTime,
    ) -> Result<Self, Box<FinalOutcome>> {
        let Some(workspace) = declarations.workspace(&request.key.workspace) else {
            let detail = format!("workspace {} is not declared", request.key.workspace);
            return refuse(&request.key, RefusalReason::UnknownWorkspace, detail);
        };
        let labels = request.labels.or(&workspace.labels);
        let max_deadline = max_deadline_for(declarations, &labels);
        if request.deadline.is_zero() || request.deadline > max_deadline {
            let detail = format!("deadline_ms: accepted: 1 to {}", max_deadline.as_millis());
            return refuse(&request.key, RefusalReason::BadDeadline, detail);
        }
        let Some(pipeline) = declarations.pipeline_for(&labels) else {
            let detail = "no pipeline serves these labels";
            return refuse(&request.key, RefusalReason::NoPipeline, detail);
        };
        let repeatable = request.repeatable && pipeline.repeatable;
        Ok(Self {
            digest: request.digest(&request.key.workspace),
            pipeline: pipeline.clone(),
            level: declarations.level_for(&labels),
            arrived_at: now,
            objective: now + request.deadline,
            deadline: now + request.deadline,
            first_event_deadline: now + request.deadline,
            remembered_until: now + declarations.deployment().key_life.saturating_sub(request.age),
            repeatable,
            needs_claim: !repeatable,
            is_flood: false,
            admission: AdmissionClass::Local,
            promised_end: None,
            permit: AdmissionPermit::default(),
            allowed_regions: AllowedRegions::default(),
            queueing_delays: Vec::new(),
            first_response_time: None,
            aligns_parallel_steps: false,
            stream_origin: None,
            declarations: Arc::clone(declarations),
            labels,
            request,
        })
    }

    fn plan_forwarded_request(
        mut request: CallerRequest,
        head: &ForwardHead,
        declarations: &Arc<Declarations>,
        now: MonotonicTime,
    ) -> Result<Self, Box<FinalOutcome>> {
        let route = declarations.route(&head.host, &head.path);
        let Some((pipeline, forward)) =
            route.and_then(|pipeline| Some((pipeline, pipeline.forward.as_ref()?)))
        else {
            return refuse(&request.key, RefusalReason::NoRoute, "no pipeline serves this path");
        };
        let workspace = if forward.public || !declarations.needs_access() {
            None
        } else {
            let access_workspace =
                head.access.as_deref().and_then(|key| declarations.workspace_for_access_key(key));
            let Some(workspace) = access_workspace else {
                let detail = "the access key is missing or unknown";
                return refuse(&request.key, RefusalReason::NoAccess, detail);
            };
            Some(workspace)
        };
        let rules = workspace.and_then(|name| declarations.workspace(name));
        let timeout = request.deadline.min(forward.timeout).min(MAX_DEADLINE);
        let level = rules.and_then(|rules| rules.level).unwrap_or(forward.level);
        let labels = rules.map(|rules: &WorkspaceRules| rules.labels.clone()).unwrap_or_default();
        let allowed_regions = rules.map(|rules| rules.allowed_regions.clone()).unwrap_or_default();
        let allowed_regions = forward.allowed_regions.and(&allowed_regions);
        let objective = now + forward.objective;
        let repeatable = pipeline.repeatable;
        let mut pipeline = pipeline.clone();
        pipeline.plan = pipeline.plan.with_pool(select_pool(forward, &request.key));
        request.key.workspace = workspace.unwrap_or_default().to_owned();
        Ok(Self {
            digest: request.digest(&request.key.workspace),
            pipeline,
            level,
            arrived_at: now,
            objective,
            deadline: now + timeout,
            first_event_deadline: now + timeout,
            remembered_until: now,
            repeatable,
            needs_claim: false,
            is_flood: false,
            admission: AdmissionClass::Local,
            promised_end: None,
            permit: AdmissionPermit::default(),
            allowed_regions,
            queueing_delays: Vec::new(),
            first_response_time: None,
            aligns_parallel_steps: false,
            stream_origin: None,
            declarations: Arc::clone(declarations),
            labels,
            request,
        })
    }

    /// Applies the settings for a fleet with coordinated scheduling.
    pub fn apply_scheduling(&mut self, settings: &SchedulingSettings) {
        let Some(forward) = &self.pipeline.forward else { return };
        if settings.pipeline_levels {
            let pipeline_level = forward.level.min(PIPELINE_LEVELS - 1);
            self.level = self.level.saturating_mul(PIPELINE_LEVELS).saturating_add(pipeline_level);
        }
        if let Some(rules) = settings.abandon.filter(|_| forward.repeat.is_stream()) {
            let timeout = rules.first_event_timeout(forward.objective, forward.gap_target);
            self.first_event_deadline = self.deadline.min(self.arrived_at + timeout);
        }
    }

    /// Lets the request go on with a stream that began at `origin`.
    ///
    /// The pool of the stream is kept if the route still leads there. Otherwise the route's new pool
    /// goes on with it at the same version.
    pub fn resume_at(&mut self, origin: StreamOrigin) {
        let pools = self.pipeline.forward.iter().flat_map(|forward| &forward.pools);
        if pools.into_iter().any(|pool| pool.pool == origin.pool) {
            self.pipeline.plan = self.pipeline.plan.clone().with_pool(&origin.pool);
        }
        self.stream_origin = Some(origin);
    }

    /// Time for which the caller may come back with another attempt, at most [`MAX_RECORD_TIME`]. Its
    /// own deadline can be later than that of the route.
    #[must_use]
    pub fn return_time(&self, now: MonotonicTime) -> Duration {
        (self.arrived_at + self.request.deadline.min(MAX_RECORD_TIME)).since(now)
    }

    /// Prompt parts under which crashes of engines count.
    #[must_use]
    pub fn crash_parts(&self) -> Vec<PartId> {
        let demand = self.request.forward_head().and_then(|head| head.demand.as_ref());
        demand.map(|demand| demand.crash_parts()).unwrap_or_default()
    }

    /// Rules of `stage`. Validation of the configuration guarantees that every stage of a pipeline
    /// is declared.
    ///
    /// # Panics
    ///
    /// Panics if `stage` is not declared in this plan's configuration.
    #[must_use]
    pub fn stage(&self, stage: &str) -> &StageRules {
        self.declarations.stage(stage).expect("a validated pipeline contains only declared stages")
    }

    /// Forwarding rules of the pipeline, or `None` if it serves JSON requests.
    #[must_use]
    pub fn forward_rules(&self) -> Option<&ForwardRules> {
        self.pipeline.forward.as_ref()
    }

    /// Number of pieces of the batched step at `position`; 1 if the request does not say.
    #[must_use]
    pub fn pieces(&self, position: usize) -> u32 {
        let pieces = self.request.forward_head().and_then(|head| head.pieces.get(position));
        pieces.copied().unwrap_or(1)
    }

    /// Expected duration of `step` without queueing.
    #[must_use]
    pub fn step_time(&self, position: usize, step: &PlanStep) -> Duration {
        match (step.work, self.stage(&step.stage).kind) {
            (StepWork::Batched { .. }, PoolKind::Batch(rules)) => match self.pieces(position) {
                0 => Duration::ZERO,
                // Pieces share calls, which are half full on average.
                pieces => rules.expected(pieces.max(rules.pieces / 2)),
            },
            (StepWork::Forward, PoolKind::Engine(_)) => {
                self.first_response_time.unwrap_or(DEFAULT_FIRST_RESPONSE_TIME)
            }
            _ => Duration::ZERO,
        }
    }

    /// Latest time at which the step at `position` can end for the request to meet its deadline.
    #[must_use]
    pub fn latest_end(&self, position: usize) -> MonotonicTime {
        let plan = &self.pipeline.plan;
        let time_after = plan
            .critical_path_time_after(position, |step, position| self.step_time(position, step));
        let end = self.first_event_deadline.since_start();
        MonotonicTime::from_start(end.saturating_sub(time_after))
    }

    /// Time by which the step at `position` should end for the request to meet its latency
    /// objective, if the later steps take their expected time and the queueing delay in
    /// [`Self::queueing_delays`].
    #[must_use]
    pub fn target_end(&self, position: usize) -> MonotonicTime {
        let time_after = self.queued_time_after(position);
        let end = self.promised_end.unwrap_or(self.objective);
        let since_start = end.since_start().saturating_sub(time_after);
        MonotonicTime::from_start(since_start)
    }

    /// Expected duration of `step` with its delay in [`Self::queueing_delays`].
    #[must_use]
    pub fn queued_step_time(&self, position: usize, step: &PlanStep) -> Duration {
        let delay = self.queueing_delays.get(position).copied().unwrap_or_default();
        self.step_time(position, step) + delay
    }

    /// Expected time from the start of the step at `position` to the end of the request, with the
    /// delays in [`Self::queueing_delays`].
    #[must_use]
    pub fn queued_time_from(&self, position: usize) -> Duration {
        let step = &self.pipeline.plan.steps()[position];
        self.queued_step_time(position, step) + self.queued_time_after(position)
    }

    /// Expected time from the end of the step at `position` to the end of the request, with the
    /// delays in [`Self::queueing_delays`].
    #[must_use]
    pub fn queued_time_after(&self, position: usize) -> Duration {
        self.pipeline.plan.critical_path_time_after(position, |step, position| {
            self.queued_step_time(position, step)
        })
    }
}

fn refuse<T>(
    key: &RequestKey,
    reason: RefusalReason,
    detail: impl Into<String>,
) -> Result<T, Box<FinalOutcome>> {
    let refusal = FinalOutcome::new(OutcomeKind::Refused, key);
    Err(Box::new(refusal.with_reason(reason).with_detail(detail)))
}

/// Selects the pool of a request by the weights of the pools. The same request always gets the same
/// pool.
fn select_pool<'a>(forward: &'a ForwardRules, key: &RequestKey) -> &'a str {
    let total_weight: u64 = forward.pools.iter().map(|pool| u64::from(pool.weight)).sum();
    let mut remaining_weight = key.stable_hash() % total_weight.max(1);
    let selected = forward.pools.iter().find(|pool| {
        let weight = u64::from(pool.weight);
        let is_selected = remaining_weight < weight;
        remaining_weight = remaining_weight.saturating_sub(weight);
        is_selected
    });
    selected.or(forward.pools.last()).map_or("", |pool: &WeightedPool| pool.pool.as_str())
}

fn max_deadline_for(declarations: &Declarations, labels: &LabelSet) -> Duration {
    let deadlines = declarations.rules_for(labels).filter_map(|rule| rule.deadline);
    deadlines.fold(declarations.deployment().longest_deadline, Duration::min)
}
