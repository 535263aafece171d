/// Names of the daemon's counters, each of which is exported as a metric.
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
    /// Attempts dispatched to an upstream.
    AttemptsSent,
    /// Requests that this daemon admitted at once as their admission coordinator.
    AdmissionsStarted,
    /// Requests that this daemon admitted for a later start as their admission coordinator.
    AdmissionsDelayed,
    /// Requests that this daemon refused as their admission coordinator.
    AdmissionsRefused,
    /// Requests that this daemon decided on by itself, because their admission coordinator did not.
    AdmissionFallbacks,
    /// Attempts queued because the list of published upstreams was too old to choose from.
    AttemptsHeld,
    /// Requests queued before admission because the platform's data was too old to decide on.
    RequestsHeld,
    /// Attempts that failed before any byte of them was written.
    AttemptsNotSent,
    /// Attempts that an upstream answered with an error status.
    AttemptsDeclined,
    /// Attempts that an upstream reports as not executed.
    AttemptsNotRun,
    /// Attempts that were sent to their upstream through another daemon.
    AttemptsInTransit,
    /// Attempts that another daemon refused to send to their upstream.
    TransitsRefused,
    /// Attempts of other daemons that this daemon sent to their upstream.
    TransitsServed,
    /// Batched steps that their dispatcher failed.
    PiecesFailed,
    /// Batched steps handed over to the pool's next dispatcher before any batch held their pieces.
    PiecesMoved,
    /// Dispatchers that became unreachable while they held batched steps of this daemon.
    DispatchersLost,
    /// Batched steps that ran again because upstreams had lost or freed their results.
    StepsRemade,
    /// Batched steps not begun because the rest of their request's path could not end in time.
    StepsNotBegun,
    /// Batches sent to batched upstreams.
    BatchCalls,
    /// Queries to batched upstreams for their free result memory.
    RoomQuestions,
    /// Prompt parts that this daemon has quarantined, or quarantined for more requests.
    PartsQuarantined,
    /// Upstreams that ended while they ran requests of this daemon.
    UpstreamCrashes,
    /// Answers with neither a length nor chunks, which ended with their connection.
    UnframedAnswers,
    /// Attempts that take up a stream which has begun before.
    StreamsResumed,
    /// Requests refused because it is not known where the stream that they take up began.
    StreamsUnknown,
    /// Attempts that retry a failed attempt.
    Retries,
    /// Retries denied because the retry budget was spent.
    RetriesDenied,
    /// Answers dropped because they carried the id of another attempt.
    ForeignAnswers,
    /// Answers dropped because they were truncated or could not be parsed.
    BrokenAnswers,
    /// Requests that this daemon served as late, as their admission coordinator, because their
    /// workspace was over its share.
    AdmissionsOverShare,
    /// Refused requests for which this daemon reserved a return slot.
    ReturnSlotsReserved,
    /// Refused requests that found no capacity for a return slot.
    ReturnSlotsMissing,
    /// Requests that came back on time and took their return slot.
    ReturnSlotsClaimed,
    /// Requests that came back before their return slot and had to wait for it.
    ReturnSlotsEarly,
    /// Return slots that were released because the caller did not come back in time.
    ReturnSlotsExpired,
    /// Requests quarantined because upstreams crashed while they ran them.
    RequestsQuarantined,
    /// Attempts cancelled because the upstream sent nothing before the idle timeout.
    SilentAttempts,
    /// Answers dropped because their attempt had already ended.
    LateAnswers,
    /// Requests cancelled because their caller had disconnected.
    CallersGone,
    /// Idempotency keys that this daemon failed to claim.
    ClaimsRefused,
    /// Votes on idempotency keys from which this daemon abstained as a witness.
    WitnessAbstentions,
    /// Claims that this daemon stored as a witness.
    WitnessClaims,
    /// Tombstones that this daemon stored as a witness.
    WitnessTombstones,
    /// Outcomes that could not be stored at a witness of their key.
    OutcomesUnrecorded,
    /// Heartbeats that a peer did not answer.
    ExchangesFailed,
    /// Configuration revisions put in force.
    ConfigurationsAccepted,
    /// Configuration revisions rejected as invalid.
    ConfigurationsRejected,
    /// Times that two different configurations carried the same revision.
    ConfigurationConflicts,
    /// Reads of the published upstreams that were started.
    DirectoryReads,
    /// Reads of the published upstreams that asked for the whole list rather than for changes.
    FullDirectoryReads,
    /// Reads of the published upstreams by a daemon that normally relies on another daemon's reads.
    /// The daemon starts them once it has not heard of such a read for too long.
    DirectoryReadsForAge,
    /// Requests to a peer for its list of published upstreams.
    DirectoryFetches,
    /// Requests to a peer for its list of published upstreams that failed.
    DirectoryFetchesFailed,
    /// Reads of the platform that failed.
    PlatformReadsFailed,
    /// Times that the platform's store was found to be restored from an older backup.
    StoreRestores,
    /// Items of the platform's store that could not be parsed.
    StoreItemsUnreadable,
    /// Answers of upstreams whose load figures could not be parsed.
    LoadFiguresUnreadable,
    /// Engine orders sent to model engines.
    OrdersGiven,
    /// Engine orders that a model engine refused, for their fencing number or another reason.
    OrdersRefused,
    /// Engine orders withheld because the model engine already held one of a later revision.
    OrdersOutdated,
    /// Requests that were sent to the engine that their placement coordinator had chosen.
    PlacementsUsed,
    /// Requests whose placement coordinator had chosen no engine, or one that this daemon's router
    /// did not allow.
    PlacementsUnused,
    /// Requests whose engine this daemon chose by itself, because the placement coordinator did not
    /// reply in time.
    PlacementFallbacks,
    /// Requests that this daemon counted at an engine until their deadline, because no report about
    /// them came.
    PlacementsExpired,
    /// Pauses of this process that it detected, such as a suspension or a lack of CPU time.
    PausesNoticed,
    /// Requests that were refused because there was no memory for their bodies.
    BodiesWithoutRoom,
    /// Answers that were given up because there was no memory for them.
    AnswersWithoutRoom,
    /// Connections that were closed to make room while the head of a request arrived too slowly.
    StalledHeadsClosed,
    /// Connections that were closed to make room while the body of a request arrived too slowly.
    StalledBodiesClosed,
    /// Connections that were closed to make room while their callers read no answer, or sent nothing
    /// after a large body.
    UnreadAnswersClosed,
    /// Idle connections that were closed to make room.
    IdleConnectionsClosed,
}
