//! The life of one request through its stages.

mod attempt;
mod caller_request;
mod final_answer;
mod key_inquiry;
mod key_memory;
mod request_plan;
mod request_run;
mod request_shard;
mod run_evidence;
mod shard_step;
mod stream_assembler;

pub use attempt::{AttemptEvent, AttemptOrder, BreakReason};
pub use caller_request::{CallerRequest, KEY_LIMIT, SubmittedRequest};
pub use final_answer::{FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason, StageCost};
pub use key_inquiry::{HolderReply, InquiryStep, KeyInquiry};
pub use request_plan::RequestPlan;
pub use request_run::RequestRun;
pub use request_shard::{InquiryBasis, RequestShard};
pub use run_evidence::RunEvidence;
pub use shard_step::{RegisterCall, ShardStep};
pub use stream_assembler::{StreamAssembler, StreamFault, StreamLine};
