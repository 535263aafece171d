/// Steps of a request that are run again because results were lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RebuildStage {
    /// No step was run again.
    #[default]
    None,
    /// The steps whose results were known or assumed to be lost.
    LostSteps,
    /// All batched steps. A further loss fails the request.
    AllSteps,
}
