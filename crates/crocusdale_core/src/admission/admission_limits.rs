/// Fractions by which an admission coordinator divides time and capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Part of every pool's capacity that the coordinator's section owns.
    pub capacity_share: f64,
    /// Part of the time to the objective within which a request must be expected to end.
    pub objective_fraction: f64,
    /// Average fill of the calls of an overloaded pool.
    pub call_fill: f64,
    /// Part of a pool's capacity that is left to late requests in any case.
    pub late_share: f64,
    /// Part of its share of the demand that a level gets in any case.
    pub level_floor: f64,
}

/// Builds [`AdmissionLimits`].
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimitsBuilder {
    limits: AdmissionLimits,
}

impl Default for AdmissionLimitsBuilder {
    fn default() -> Self {
        let limits = AdmissionLimits {
            capacity_share: 1.0,
            objective_fraction: 0.95,
            // The pieces of a step stay together, so the last places of a call often stay empty.
            call_fill: 0.9,
            late_share: 0.1,
            level_floor: 0.25,
        };
        Self { limits }
    }
}

impl AdmissionLimitsBuilder {
    /// Sets the part of every pool's capacity that the coordinator's section owns.
    #[must_use]
    pub fn capacity_share(mut self, capacity_share: f64) -> Self {
        self.limits.capacity_share = capacity_share;
        self
    }

    /// Sets the part of the time to the objective within which a request must be expected to end.
    #[must_use]
    pub fn objective_fraction(mut self, objective_fraction: f64) -> Self {
        self.limits.objective_fraction = objective_fraction;
        self
    }

    /// Sets the average fill of the calls of an overloaded pool.
    #[must_use]
    pub fn call_fill(mut self, call_fill: f64) -> Self {
        self.limits.call_fill = call_fill;
        self
    }

    /// Sets the part of a pool's capacity that is left to late requests in any case.
    #[must_use]
    pub fn late_share(mut self, late_share: f64) -> Self {
        self.limits.late_share = late_share;
        self
    }

    /// Sets the part of its share of the demand that a level gets in any case.
    #[must_use]
    pub fn level_floor(mut self, level_floor: f64) -> Self {
        self.limits.level_floor = level_floor;
        self
    }

    /// Returns the limits.
    #[must_use]
    pub fn build(self) -> AdmissionLimits {
        self.limits
    }
}
