use std::fmt;

/// Number of thousandths in one request.
const THOUSANDTHS_PER_REQUEST: f64 = 1_000.0;

/// Rate in requests per second, with a resolution of a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// Converts requests per second, rounded down to a thousandth. `None` for a negative or
    /// non-finite value, or one above the range.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let thousandths = (per_second * THOUSANDTHS_PER_REQUEST).floor();
        let is_in_range = thousandths >= 0.0 && thousandths <= f64::from(u32::MAX);
        is_in_range.then_some(Self { thousandths: thousandths as u32 })
    }

    /// Converts thousandths of a request per second.
    #[must_use]
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self { thousandths }
    }

    /// Rate in thousandths of a request per second.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }

    /// Rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / THOUSANDTHS_PER_REQUEST
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_second())
    }
}
