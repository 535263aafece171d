//! When an attempt may be repeated.

mod retry_budget;

pub use retry_budget::{RetryBudget, RetryLimits};
