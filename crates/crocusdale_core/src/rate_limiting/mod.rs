//! Rate limits for upstreams that announce how many requests per second they accept from all
//! daemons together.
//!
//! Each daemon computes its share of the rate locally, so that daemons need no agreement when they
//! send a request. A daemon that receives a new rate in an answer gossips it to the others. Daemons
//! that have not called the upstream thereby apply the limit too, and learn when it has ended.

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
