//! What callers and operators reach over HTTP.

mod answer_response;
mod caller_service;
mod operator_service;

pub use caller_service::CallerService;
pub use operator_service::OperatorService;
