/// Counters; each is a metric.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumCount,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum CounterName {
    /// Attempts handed out to be sent.
    AttemptsSent,
    /// Attempts that waited because the list of published upstreams was too old.
    AttemptsHeld,
    /// Requests that waited to be judged until what the platform publishes had been read.
    RequestsHeld,
    /// Attempts of which no byte was written.
    AttemptsNotSent,
    /// Attempts that an upstream answered with an error status.
    AttemptsDeclined,
    /// Attempts that an upstream says it did not run.
    AttemptsNotRun,
    /// Batched steps that a dispatcher gave up.
    PiecesFailed,
    /// Batched steps that were handed to the next dispatcher of their pool before any call.
    PiecesMoved,
    /// Dispatchers that were lost while they had pieces of this daemon.
    DispatchersLost,
    /// Batched steps begun anew because their results were gone.
    StepsRemade,
    /// Calls of batched upstreams.
    BatchCalls,
    /// Questions how much of an upstream's memory for results is free.
    RoomQuestions,
    /// Attempts after a failed one.
    Retries,
    /// Retries that the budget did not allow.
    RetriesDenied,
    /// Answers with the id of another attempt; dropped.
    ForeignAnswers,
    /// Answers that were cut or could not be read; dropped.
    BrokenAnswers,
    /// Requests that were quarantined because upstreams ended under them.
    RequestsQuarantined,
    /// Attempts given up because nothing came.
    SilentAttempts,
    /// Answers to attempts that had ended; dropped.
    LateAnswers,
    /// Requests given up because their caller was gone.
    CallersGone,
    /// Keys that could not be claimed.
    ClaimsRefused,
    /// Votes that this daemon abstained from as a witness.
    WitnessAbstentions,
    /// Claims that this daemon wrote as a witness.
    WitnessClaims,
    /// Tombstones that this daemon wrote as a witness.
    WitnessTombstones,
    /// Outcomes that a witness of their key could not be told.
    OutcomesUnrecorded,
    /// Heartbeats that failed.
    ExchangesFailed,
    /// Revisions taken into force.
    ConfigurationsAccepted,
    /// Revisions rejected.
    ConfigurationsRejected,
    /// Two texts under one revision.
    ConfigurationConflicts,
    /// Readings of the published upstreams that were begun.
    DirectoryReads,
    /// Of these, those of a daemon that lets another one read for it, begun because it had not heard
    /// of a reading for too long.
    DirectoryReadsForAge,
    /// Lists of published upstreams that a peer was asked for.
    DirectoryFetches,
    /// Of these, those that did not come.
    DirectoryFetchesFailed,
    /// Reads of the platform that failed.
    PlatformReadsFailed,
    /// Times that the store was seen to have come back from an older copy.
    StoreRestores,
    /// Items of the platform's store that could not be read.
    StoreItemsUnreadable,
    /// Orders given to engines.
    OrdersGiven,
    /// Orders that an engine refused, for its fencing number or another cause.
    OrdersRefused,
    /// Engines left alone because they hold the order of a later revision.
    OrdersOutdated,
    /// Pauses of this process that were noticed.
    PausesNoticed,
}
