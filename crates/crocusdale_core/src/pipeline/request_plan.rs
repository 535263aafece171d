use std::sync::Arc;
use std::time::Duration;

use super::{CallerRequest, FinalOutcome, OutcomeKind, RefusalReason};
use crate::admission::AdmissionPermit;
use crate::configuration::{Declarations, LabelSet, PipelineRules, StageRules};
use crate::identity::MonotonicTime;

/// A request with all that the declarations say about it.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// The request.
    pub request: CallerRequest,
    /// Declarations that it runs under to its end.
    pub declarations: Arc<Declarations>,
    /// Its pipeline.
    pub pipeline: PipelineRules,
    /// Labels of the request and of its workspace.
    pub labels: LabelSet,
    /// Priority level, 0 is the most urgent.
    pub level: u8,
    /// Time after which nothing is dispatched for it.
    pub deadline: MonotonicTime,
    /// Time until which its witnesses remember its key.
    pub provable_until: MonotonicTime,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its place under the limits.
    pub permit: AdmissionPermit,
}

impl RequestPlan {
    /// Applies `declarations` to `request`.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the declarations don't allow the request.
    pub fn make(
        request: CallerRequest,
        declarations: &Arc<Declarations>,
        now: MonotonicTime,
    ) -> Result<Self, Box<FinalOutcome>> {
        let refuse = |reason, detail: String| {
            let refusal = FinalOutcome::new(OutcomeKind::Refused, &request.key);
            Err(Box::new(refusal.reason(reason).detail(detail)))
        };
        let Some(workspace) = declarations.workspace(&request.key.workspace) else {
            let detail = format!("workspace {} is not declared", request.key.workspace);
            return refuse(RefusalReason::UnknownWorkspace, detail);
        };
        let labels = request.labels.or(&workspace.labels);
        let longest = longest_deadline(declarations, &labels);
        if request.deadline.is_zero() || request.deadline > longest {
            let detail = format!("deadline_ms: accepted: 1 to {}", longest.as_millis());
            return refuse(RefusalReason::BadDeadline, detail);
        }
        let Some(pipeline) = declarations.pipeline_for(&labels) else {
            return refuse(RefusalReason::NoPipeline, "no pipeline serves these labels".into());
        };
        Ok(Self {
            pipeline: pipeline.clone(),
            level: declarations.level_for(&labels),
            deadline: now + request.deadline,
            provable_until: now + declarations.deployment().key_life.saturating_sub(request.age),
            repeatable: request.repeatable && pipeline.repeatable,
            permit: AdmissionPermit::default(),
            declarations: Arc::clone(declarations),
            labels,
            request,
        })
    }

    /// Rules of `stage`, which the check of the declarations proved to exist.
    ///
    /// # Panics
    ///
    /// Panics if `stage` is not a stage of this plan's declarations.
    #[must_use]
    pub fn stage(&self, stage: &str) -> &StageRules {
        self.declarations.stage(stage).expect("a checked pipeline names declared stages")
    }
}

fn longest_deadline(declarations: &Declarations, labels: &LabelSet) -> Duration {
    let rules = declarations.rules_for(labels).filter_map(|rule| rule.deadline);
    rules.fold(declarations.deployment().longest_deadline, Duration::min)
}
