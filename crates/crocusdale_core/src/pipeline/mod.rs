//! Execution of a single request through the stages of its pipeline: planning, dispatch of
//! attempts, retries, and the final answer.

mod attempt;
mod attempt_counts;
mod attempt_failures;
mod caller_request;
mod claim_steps;
mod event_sequence;
mod final_answer;
mod forward_head;
mod forward_steps;
mod json_steps;
mod key_table;
mod lost_results;
mod outcome_lookup;
mod piece_order;
mod piece_steps;
mod placement_inputs;
mod rebuild_stage;
mod request_plan;
mod request_run;
mod request_shard;
mod shard_action;
mod step_forecast;
mod step_run;
mod stream_assembler;

pub use attempt::{
    AttemptEvent, BreakReason, ExecutionStatus, ForwardOrder, JsonCallOrder, PieceFault,
    ResponseHead,
};
pub use attempt_counts::AttemptCounts;
pub use caller_request::{CallerRequest, MAX_KEY_BYTES, RequestContent, SubmittedRequest};
pub use event_sequence::{EventSequence, EventVerdict};
pub use final_answer::{FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason, StageCost};
pub use forward_head::{EngineDemand, ForwardHead, PromptPart, ResultHandle, ResumedStream};
pub use outcome_lookup::{HolderReply, LookupStep, OutcomeLookup};
pub use piece_order::{PieceOrder, PieceSource, PlacedResult};
pub use placement_inputs::PlacementInputs;
pub use request_plan::RequestPlan;
pub use request_run::RequestRun;
pub use request_shard::{LookupRetention, RequestShard};
pub use shard_action::{RegisterCall, ShardAction};
pub use step_forecast::{StepForecast, StepProgress};
pub use stream_assembler::{StreamAssembler, StreamFault, StreamLine};
