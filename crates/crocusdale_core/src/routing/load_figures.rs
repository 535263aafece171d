use std::time::Duration;

use crate::identity::MonotonicTime;

/// Pace of work on a machine that works as fast as usual.
const USUAL_PACE: u32 = 100;
/// Time for which a reported pace counts. Machines are slow for some tenths of a second.
const PACE_LIFETIME: Duration = Duration::from_millis(300);

/// Load of an upstream, as it reports it in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadFigures {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait in the upstream.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// Time that work takes now, in percent of the usual time; 200 is half as fast as usual. `None`
    /// if the upstream does not report it.
    pub pace: Option<u32>,
}

/// Content of an answer's header about the upstream's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNotice {
    /// The answer has no such header.
    #[default]
    Missing,
    /// The upstream reports its load.
    Figures(LoadFigures),
    /// The header is malformed and has no effect.
    Unreadable,
}

impl LoadNotice {
    /// Reported pace, in percent of the usual time.
    #[must_use]
    pub fn pace(&self) -> Option<u32> {
        match self {
            Self::Figures(figures) => figures.pace,
            Self::Missing | Self::Unreadable => None,
        }
    }
}

/// Pace that an upstream reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedPace {
    /// Pace, in percent of the usual time, and when it was reported. `None` if it never was.
    latest: Option<(u32, MonotonicTime)>,
}

impl ReportedPace {
    /// Records that the upstream reported `pace` at `now`.
    pub(crate) fn record(&mut self, pace: u32, now: MonotonicTime) {
        self.latest = Some((pace, now));
    }

    /// Factor by which work takes longer than usual; 1 if no recent pace is known.
    pub(crate) fn factor(&self, now: MonotonicTime) -> f64 {
        let recent = self.latest.filter(|(_, at)| now.since(*at) < PACE_LIFETIME);
        recent.map_or(1.0, |(pace, _)| f64::from(pace) / f64::from(USUAL_PACE))
    }
}
