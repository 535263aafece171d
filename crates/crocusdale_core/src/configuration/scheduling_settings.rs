use super::AbandonRules;

/// Decisions that coordinators make for the whole fleet.
///
/// Everything is off by default: each daemon then decides by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingSettings {
    /// Number of daemons from which coordinators decide. 0 means never.
    pub min_daemons: usize,
    /// Whether the placement coordinator of a pool chooses the engine of a request.
    pub engine_placement: bool,
    /// Whether an admission coordinator admits requests with batched steps.
    pub chain_admission: bool,
    /// Whether workspaces keep their usual share while capacity is scarce.
    pub workspace_shares: bool,
    /// Whether capacity is kept for refused callers that come back on time.
    pub return_slots: bool,
    /// Whether parallel batched steps are due at the same time.
    pub align_parallel_steps: bool,
    /// Whether the level of the pipeline orders requests whose workspaces have the same level.
    pub pipeline_levels: bool,
    /// Time after which callers abandon a stream without a first event. `None` if they wait until
    /// their deadline.
    pub abandon: Option<AbandonRules>,
}

impl SchedulingSettings {
    /// Whether a fleet of `daemons` daemons has coordinators.
    #[must_use]
    pub fn is_coordinated(&self, daemons: usize) -> bool {
        self.min_daemons > 0 && daemons >= self.min_daemons
    }
}
