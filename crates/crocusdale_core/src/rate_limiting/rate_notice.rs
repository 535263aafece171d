use super::RequestRate;

/// What an answer says of the requests that its upstream takes from all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateNotice {
    /// It names no rate.
    #[default]
    Unlimited,
    /// It names a rate.
    Limited(RequestRate),
    /// It names something that is no rate, or another process answered.
    Unreadable,
}
