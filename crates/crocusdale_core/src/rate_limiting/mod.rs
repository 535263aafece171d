//! Upstreams that name how many requests a second they take from all daemons together.

mod rate_limiter;
mod rate_notice;
mod request_rate;

pub use rate_limiter::{LimitChange, LimitSummary, RateLimiter};
pub use rate_notice::RateNotice;
pub use request_rate::RequestRate;
