use std::fmt;
use std::time::Duration;

use crocusdale_platform::store::StoreError;
use http::StatusCode;
use http::uri::InvalidUri;

use crate::upstream::SendFault;

/// A call to the store that failed.
#[derive(Debug)]
pub(super) struct StoreFault {
    /// Path and query of the call.
    pub(super) path: String,
    /// Time from the start of the call to its failure.
    pub(super) time: Duration,
    pub(super) cause: FaultCause,
}

/// Reason why a call to the store failed.
#[derive(Debug)]
pub(super) enum FaultCause {
    /// The path is no URI, so that nothing was sent.
    InvalidPath(InvalidUri),
    Unanswered(SendFault),
    /// No answer has come in time.
    Late,
    UnexpectedStatus(StatusCode),
    /// The store has compacted the history from which a watch was to start.
    HistoryCompacted,
    /// The store was restored from an older copy between two pages.
    Restored,
    /// A page doesn't follow the page before it, so that the read would never end.
    RepeatedPage,
    Unparsable(StoreError),
}

impl FaultCause {
    /// Whether another try of the same call may be answered.
    pub(super) fn is_transient(&self) -> bool {
        match self {
            Self::Unanswered(_) | Self::Late => true,
            Self::UnexpectedStatus(status) => {
                *status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
            }
            Self::InvalidPath(_)
            | Self::HistoryCompacted
            | Self::Restored
            | Self::RepeatedPage
            | Self::Unparsable(_) => false,
        }
    }
}

impl fmt::Display for FaultCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidPath(error) => write!(formatter, "the path is no URI: {error}"),
            Self::Unanswered(fault) => formatter.write_str(&fault.cause),
            Self::Late => formatter.write_str("the answer did not arrive in time"),
            Self::UnexpectedStatus(status) => write!(formatter, "status {status}, accepted: 200"),
            Self::HistoryCompacted => formatter.write_str("the history to watch was compacted"),
            Self::RepeatedPage => {
                formatter.write_str("the page repeats keys of the page before it")
            }
            Self::Restored => formatter.write_str("the store was restored between two pages"),
            Self::Unparsable(fault) => write!(formatter, "the answer can't be parsed: {fault}"),
        }
    }
}
