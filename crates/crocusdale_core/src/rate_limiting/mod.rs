//! Upstreams that name how many requests a second they take from all daemons together.
//!
//! Each daemon keeps to a part of the rate by itself, so that no two of them have to agree on anything
//! when a request is sent. What one hears is told to the others, so that those that have not called the
//! upstream keep to it too, and learn when the limit has ended.

mod limit_record;
mod rate_limiter;
mod rate_notice;
mod rate_quota;
mod rate_share;
mod request_rate;
mod token_bucket;
mod upstream_limit;

pub use limit_record::LimitRecord;
pub use rate_limiter::{LimitSummary, RateLimiter};
pub use rate_notice::RateNotice;
pub use rate_quota::{LIMIT_SLACK, LIMIT_WINDOW, RateQuota, RateUse};
pub use rate_share::RateShare;
pub use request_rate::RequestRate;
pub use token_bucket::TokenWait;
pub use upstream_limit::LimitChange;
