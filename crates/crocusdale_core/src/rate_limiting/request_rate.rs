use std::fmt;

/// Thousandths of a request per request.
const SCALE: f64 = 1_000.0;

/// Requests a second, exact to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// A rate of `per_second` requests a second, rounded down; `None` if that is no rate.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let thousandths = (per_second * SCALE).floor();
        let is_rate = thousandths >= 0.0 && thousandths <= f64::from(u32::MAX);
        is_rate.then_some(Self { thousandths: thousandths as u32 })
    }

    /// A rate of `thousandths` of a request a second.
    #[must_use]
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self { thousandths }
    }

    /// The rate in thousandths of a request a second.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / SCALE
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_second())
    }
}
