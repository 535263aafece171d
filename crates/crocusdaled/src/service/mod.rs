//! HTTP services for callers and operators.

mod answer_response;
mod caller_service;
mod open_call;
mod operator_service;

pub use caller_service::CallerService;
pub(crate) use open_call::OpenCall;
pub use operator_service::OperatorService;
