use std::time::Duration;

use crate::routing::CONNECT_TIMEOUT;

/// Part of the shortest bound for which what was read may be used, at most.
const FIT_SHARE: f64 = 0.75;
/// What is left of the shortest bound once a request was written: clocks, wake-ups and links that were
/// a little late.
const MARGIN: Duration = Duration::from_millis(200);
/// Least time for which what was read may be used. A bound that allows less can't be kept: an answer of
/// the platform alone may take as long.
const LEAST_FIT: Duration = Duration::from_millis(300);
/// Parts of that time. A reader reads after a third of it, and a daemon that relies on a reader asks it
/// after four fifteenths: together nine fifteenths, so that with the answers' ways no daemon has to read
/// for itself, at eleven, unless something went wrong. The last four are for that reading.
const READ_SHARE: f64 = 5.0 / 15.0;
const ASK_SHARE: f64 = 4.0 / 15.0;
const STALE_SHARE: f64 = 11.0 / 15.0;
/// Questions a second that a reader answers, which bounds its processor time.
const QUESTIONS_PER_S: f64 = 40.0;

/// Bounds that the users set on how late news of the platform may take effect.
#[derive(Clone, Copy, Debug)]
pub struct NewsBounds {
    /// Time from the notice of an upstream that leaves to the last request that may reach it.
    pub notice: Duration,
    /// Time from the acknowledgement of a configuration to the first request that must be judged by it.
    pub configuration: Duration,
    /// Time from the request to evacuate an availability zone to the last request that may reach its
    /// upstreams.
    pub evacuation: Duration,
    /// Time after which a daemon that reaches the platform again must keep these bounds.
    pub contact: Duration,
}

impl Default for NewsBounds {
    /// The shortest bounds that are known to be asked for.
    fn default() -> Self {
        Self {
            notice: Duration::from_millis(2_000),
            configuration: Duration::from_millis(2_000),
            evacuation: Duration::from_millis(2_000),
            contact: Duration::from_millis(3_000),
        }
    }
}

/// How often what the platform publishes is asked for, and for how long an answer is good.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewsPace {
    /// Age of what is known beyond which no choice rests on it. With the time in which a request that
    /// was given to an upstream is sent there, [`CONNECT_TIMEOUT`], it stays below the bounds.
    pub(super) fit_for: Duration,
    /// Age at which a daemon reads itself, whoever should read for it.
    pub(super) stale_after: Duration,
    /// Pause between two readings. The list is always read whole: each upstream renews its entry about
    /// every second, so that a watch would end as soon, and it would miss what changes while the store
    /// forgets its history.
    pub(super) read_pause: Duration,
    /// Pause between two questions to the daemon that reads for this one.
    pub(super) ask_pause: Duration,
    /// See [`NewsBounds::contact`].
    pub(super) contact: Duration,
}

impl From<NewsBounds> for NewsPace {
    fn from(bounds: NewsBounds) -> Self {
        let shortest = bounds.notice.min(bounds.configuration).min(bounds.evacuation);
        let sent = shortest.saturating_sub(CONNECT_TIMEOUT + MARGIN);
        let fit_for = shortest.mul_f64(FIT_SHARE).min(sent).max(LEAST_FIT);
        Self {
            fit_for,
            stale_after: fit_for.mul_f64(STALE_SHARE),
            read_pause: fit_for.mul_f64(READ_SHARE),
            ask_pause: fit_for.mul_f64(ASK_SHARE),
            contact: bounds.contact,
        }
    }
}

impl NewsPace {
    /// Daemons of a zone for each one that reads for the others.
    pub(super) fn daemons_per_reader(&self) -> usize {
        ((QUESTIONS_PER_S * self.ask_pause.as_secs_f64()).round() as usize).max(1)
    }
}

impl Default for NewsPace {
    fn default() -> Self {
        Self::from(NewsBounds::default())
    }
}
