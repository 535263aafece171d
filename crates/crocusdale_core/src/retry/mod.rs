//! Limits how many attempts may be retried.

mod retry_budget;

pub use retry_budget::{RetryBudget, RetryLimits};
