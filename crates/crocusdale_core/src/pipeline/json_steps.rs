//! Steps that call a stage with a JSON body, which contains the answers of earlier steps as inputs.

use serde::Serialize;
use serde_json::value::RawValue;

use super::step_run::{AttemptFailure, AttemptKind, StepOutput};
use super::{
    BreakReason, FinalAnswer, JsonCallOrder, RequestContent, RequestRun, ShardAction, StreamFault,
    StreamLine,
};
use crate::daemon::Command;
use crate::identity::{AttemptId, MonotonicTime};
use crate::routing::SlotGrant;

/// Name and answer of one stage.
#[derive(Clone, Debug, Serialize)]
struct StageAnswer<'a> {
    stage: &'a str,
    answer: &'a RawValue,
}

/// JSON body of a call to an upstream.
#[derive(Serialize)]
struct StageInput<'a> {
    attempt: String,
    workspace: &'a str,
    key: &'a str,
    stage: &'a str,
    request: &'a RawValue,
    inputs: &'a [StageAnswer<'a>],
}

impl RequestRun {
    pub(super) fn json_order(&self, attempt: AttemptId, grant: &SlotGrant) -> JsonCallOrder {
        let stage = self.plan.stage(&grant.request.stage);
        let inputs = self.json_inputs(grant.request.branch);
        let RequestContent::Json(payload) = &self.plan.request.content else {
            unreachable!("JSON stage reached by a forwarded request; accepted: JSON requests")
        };
        let input = StageInput {
            attempt: attempt.to_string(),
            workspace: &self.plan.request.key.workspace,
            key: &self.plan.request.key.key,
            stage: &grant.request.stage,
            request: payload,
            inputs: &inputs,
        };
        JsonCallOrder {
            attempt,
            upstream: grant.upstream.clone(),
            address: grant.address,
            path: stage.path.clone(),
            body: serde_json::to_vec(&input)
                .expect("a stage input has no maps, so it always serializes to JSON"),
            stream: stage.stream,
            needs_new_connection: !self.plan.repeatable,
            level: self.plan.level,
            expires: self.plan.deadline,
        }
    }

    /// Answers that the JSON step at `position` reads. They are in declared order, whatever order
    /// they arrived in.
    fn json_inputs(&self, position: usize) -> Vec<StageAnswer<'_>> {
        let input_steps = &self.plan.pipeline.plan.steps()[position].after;
        let answer_of = |input_step: &usize| {
            let step_run = self.step_runs.iter().find(|step_run| step_run.step == *input_step)?;
            match &step_run.output {
                Some(StepOutput::Json(answer)) => {
                    Some(StageAnswer { stage: &step_run.stage, answer })
                }
                _ => None,
            }
        };
        input_steps.iter().filter_map(answer_of).collect()
    }

    pub(super) fn handle_stream_line(
        &mut self,
        index: usize,
        line: &StreamLine,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        self.record_progress(index, now);
        let in_flight = self.step_runs[index].in_flight.as_mut()?;
        let AttemptKind::Json(assembler) = &mut in_flight.kind else { return None };
        match assembler.take(line) {
            Ok(None) => {
                if self.is_streamed_to_caller(index) {
                    self.has_sent_response = true;
                    let text = line.text.clone();
                    actions.push(ShardAction::Command(Command::Forward { call: self.call, text }));
                }
                None
            }
            Ok(Some(text)) => {
                let answer = serde_json::value::to_raw_value(text)
                    .expect("a string always serializes to JSON");
                self.attempt_counts.executed += 1;
                self.complete_step(index, StepOutput::Json(answer), now, actions)
            }
            Err(fault) => {
                let reason = match fault {
                    StreamFault::OtherAttempt => BreakReason::OtherAttempt,
                    StreamFault::OutOfOrder => BreakReason::Malformed,
                    StreamFault::TooLarge => BreakReason::TooLarge,
                };
                actions.push(ShardAction::Command(Command::Cancel(in_flight.id)));
                self.handle_attempt_failure(index, AttemptFailure::Broken(reason), now, actions)
            }
        }
    }

    /// Whether the stream of the step run at `index` goes to the caller as it arrives. The step
    /// must be the only last step of the plan.
    fn is_streamed_to_caller(&self, index: usize) -> bool {
        let mut last_steps = self.plan.pipeline.plan.ends(|_| true);
        let is_only_last_step =
            last_steps.next() == Some(self.step_runs[index].step) && last_steps.next().is_none();
        self.plan.request.stream && is_only_last_step
    }

    pub(super) fn combined_answer(&self) -> Box<RawValue> {
        let mut last_answers = Vec::new();
        for position in self.plan.pipeline.plan.ends(|_| true) {
            let step_run = self.step_runs.iter().find(|step_run| step_run.step == position);
            if let Some(step_run) = step_run
                && let Some(StepOutput::Json(answer)) = &step_run.output
            {
                last_answers.push(StageAnswer { stage: &step_run.stage, answer });
            }
        }
        match last_answers.as_slice() {
            [single] => single.answer.to_owned(),
            answers => serde_json::value::to_raw_value(answers)
                .expect("a list of JSON answers always serializes to JSON"),
        }
    }
}
