use std::time::Duration;

use crocusdale_schema::peer;

use super::millis::{saturating_millis, signed_millis};
use crate::batching::PoolWait;
use crate::identity::{
    AttemptId, CallId, MonotonicTime, RequestDigest, SoftwareVersion, StorePosition,
};
use crate::pipeline::{PieceFault, PieceOrder, PieceSource, PlacedResult, ResultHandle};
use crate::routing::{
    ColdUpstream, DirectoryEntry, ListAge, PeerDirectory, PeerEntry, PeerRemoval, ZoneEvacuation,
};

impl From<AttemptId> for peer::Attempt {
    fn from(attempt: AttemptId) -> Self {
        Self { incarnation: attempt.incarnation, call: attempt.call.0, sequence: attempt.sequence }
    }
}

impl From<peer::Attempt> for AttemptId {
    fn from(message: peer::Attempt) -> Self {
        Self {
            incarnation: message.incarnation,
            call: CallId(message.call),
            sequence: message.sequence,
        }
    }
}

impl PieceOrder {
    /// Message that submits the order to another daemon. Points in time become durations from
    /// `now`, because the daemons have different clocks.
    #[must_use]
    pub fn to_wire(&self, now: MonotonicTime) -> peer::MakePiecesRequest {
        let (caller_source, results) = match &self.source {
            PieceSource::Caller(source) => (source.clone(), Vec::new()),
            PieceSource::Results(results) => {
                (String::new(), results.iter().map(ToString::to_string).collect())
            }
        };
        peer::MakePiecesRequest {
            attempt: Some(self.attempt.into()),
            request: self.request.clone(),
            pool: self.pool.clone(),
            step: self.step,
            pieces: self.pieces,
            caller_source,
            results,
            zone: self.zone.clone().unwrap_or_default(),
            level: u32::from(self.level),
            due_ms: signed_millis(self.target_end.since(now))
                - signed_millis(now.since(self.target_end)),
            left_ms: signed_millis(self.expires.since(now)).unsigned_abs(),
            repeated: self.is_resubmission,
            result_bytes: self.result_bytes,
            inputs_pool: self.inputs_pool.clone().unwrap_or_default(),
            is_flood: self.is_flood,
            admission: self.admission.to_string(),
            digest: self.digest.map(|digest| digest.0.to_vec()).unwrap_or_default(),
        }
    }

    /// Order in a message that arrived from another daemon at `now`. `None` if the message has no
    /// attempt.
    #[must_use]
    pub fn from_wire(message: peer::MakePiecesRequest, now: MonotonicTime) -> Option<Self> {
        let source = if message.results.is_empty() {
            PieceSource::Caller(message.caller_source)
        } else {
            let results = message.results.iter().map(|text| ResultHandle::new(text));
            PieceSource::Results(results.collect())
        };
        let time_left = Duration::from_millis(message.due_ms.max(0).unsigned_abs());
        let overdue = Duration::from_millis(message.due_ms.min(0).unsigned_abs());
        let due = (now + time_left).since_start().saturating_sub(overdue);
        Some(Self {
            attempt: message.attempt?.into(),
            request: message.request,
            digest: message.digest.try_into().ok().map(RequestDigest),
            pool: message.pool,
            step: message.step,
            pieces: message.pieces,
            result_bytes: message.result_bytes,
            source,
            inputs_pool: (!message.inputs_pool.is_empty()).then_some(message.inputs_pool),
            zone: (!message.zone.is_empty()).then_some(message.zone),
            level: u8::try_from(message.level).unwrap_or(u8::MAX),
            is_flood: message.is_flood,
            admission: message.admission.parse().unwrap_or_default(),
            target_end: MonotonicTime::from_start(due),
            expires: now + Duration::from_millis(message.left_ms),
            is_resubmission: message.repeated,
        })
    }
}

/// Reply to the daemon that submitted pieces: their results or the reason for their failure, and
/// the expected wait of further pieces.
#[must_use]
pub fn pieces_reply(
    outcome: Result<Vec<PlacedResult>, PieceFault>,
    wait: &PoolWait,
) -> peer::MakePiecesReply {
    let (results, fault) = match outcome {
        Ok(results) => (results.into_iter().map(Into::into).collect(), String::new()),
        Err(fault) => (Vec::new(), fault.to_string()),
    };
    peer::MakePiecesReply {
        results,
        fault,
        wait_ms: saturating_millis(wait.on_time_wait),
        late_wait_ms: wait.late_waits.iter().copied().map(saturating_millis).collect(),
        overloaded_ms: saturating_millis(wait.overload_time),
        call_ms: saturating_millis(wait.call_time),
    }
}

/// Expected wait of new pieces in the pool, from the reply of its dispatcher.
#[must_use]
pub fn read_pool_wait(message: &peer::MakePiecesReply) -> PoolWait {
    let to_duration = |millis: &u32| Duration::from_millis(u64::from(*millis));
    PoolWait {
        on_time_wait: to_duration(&message.wait_ms),
        late_waits: message.late_wait_ms.iter().map(to_duration).collect(),
        overload_time: to_duration(&message.overloaded_ms),
        call_time: to_duration(&message.call_ms),
    }
}

/// Results of submitted pieces, from the reply of their dispatcher. A fault that this daemon
/// doesn't know becomes [`PieceFault::Failed`].
///
/// # Errors
///
/// Returns the fault if the pieces have no results.
pub fn read_pieces_reply(message: peer::MakePiecesReply) -> Result<Vec<PlacedResult>, PieceFault> {
    if message.fault.is_empty() {
        return Ok(message.results.into_iter().map(Into::into).collect());
    }
    Err(message.fault.parse().unwrap_or(PieceFault::Failed))
}

impl From<PlacedResult> for peer::PlacedResult {
    fn from(result: PlacedResult) -> Self {
        Self { handle: result.handle.to_string(), zone: result.zone }
    }
}

impl From<peer::PlacedResult> for PlacedResult {
    fn from(message: peer::PlacedResult) -> Self {
        Self { handle: ResultHandle::new(&message.handle), zone: message.zone }
    }
}

impl From<PeerDirectory> for peer::FetchDirectoryReply {
    fn from(list: PeerDirectory) -> Self {
        let entries = list.entries.into_iter().map(Into::into).collect();
        let evacuations = list.evacuations.into_iter().map(Into::into).collect();
        let StorePosition { era, revision } = list.position;
        let cold = list.cold.into_iter().map(Into::into).collect();
        let only_changes = list.removed.is_some();
        let removed = list.removed.unwrap_or_default().into_iter().map(Into::into).collect();
        let (age_ms, configuration) = list
            .age
            .map(|list_age| (signed_millis(list_age.age).unsigned_abs(), list_age.revision))
            .unzip();
        Self {
            revision,
            entries,
            era,
            evacuations,
            cold,
            only_changes,
            removed,
            age_ms,
            configuration,
        }
    }
}

impl TryFrom<peer::FetchDirectoryReply> for PeerDirectory {
    type Error = std::net::AddrParseError;

    fn try_from(message: peer::FetchDirectoryReply) -> Result<Self, Self::Error> {
        let entries = message.entries.into_iter().map(PeerEntry::try_from);
        let position = StorePosition { era: message.era, revision: message.revision };
        let evacuations = message.evacuations.into_iter().map(Into::into).collect();
        let cold = message.cold.into_iter().map(Into::into).collect();
        let removed = message.removed.into_iter().map(Into::into).collect();
        let removed = message.only_changes.then_some(removed);
        let entries = entries.collect::<Result<_, _>>()?;
        let age = message.age_ms.zip(message.configuration).map(|(age_ms, revision)| {
            // The age is rounded up, so that the list never appears newer than it is.
            ListAge { age: Duration::from_millis(age_ms + 1), revision }
        });
        Ok(Self { position, entries, removed, evacuations, cold, age })
    }
}

impl From<PeerRemoval> for peer::RemovedUpstream {
    fn from(PeerRemoval { position, id }: PeerRemoval) -> Self {
        Self { id, revision: position.revision, era: position.era }
    }
}

impl From<peer::RemovedUpstream> for PeerRemoval {
    fn from(message: peer::RemovedUpstream) -> Self {
        let position = StorePosition { era: message.era, revision: message.revision };
        Self { position, id: message.id }
    }
}

impl From<ColdUpstream> for peer::ColdUpstream {
    fn from(ColdUpstream { name, remaining }: ColdUpstream) -> Self {
        Self { name, left_ms: saturating_millis(remaining) }
    }
}

impl From<peer::ColdUpstream> for ColdUpstream {
    fn from(message: peer::ColdUpstream) -> Self {
        Self { name: message.name, remaining: Duration::from_millis(u64::from(message.left_ms)) }
    }
}

impl From<ZoneEvacuation> for peer::ZoneEvacuation {
    fn from(ZoneEvacuation { write_position, zone }: ZoneEvacuation) -> Self {
        Self { zone, revision: write_position.revision, era: write_position.era }
    }
}

impl From<peer::ZoneEvacuation> for ZoneEvacuation {
    fn from(message: peer::ZoneEvacuation) -> Self {
        let write_position = StorePosition { era: message.era, revision: message.revision };
        Self { write_position, zone: message.zone }
    }
}

impl From<PeerEntry> for peer::DirectoryEntry {
    fn from(PeerEntry { write_position, entry, expires_in }: PeerEntry) -> Self {
        Self {
            id: entry.id,
            pool: entry.pool,
            address: entry.address.to_string(),
            zone: entry.zone,
            slots: entry.slots,
            leaving: entry.leaving,
            revision: write_position.revision,
            era: write_position.era,
            born: entry.started_at_ms,
            lapses_in_ms: expires_in.map(saturating_millis),
            software_version: entry.software_version.map(|version| version.to_string()),
        }
    }
}

impl TryFrom<peer::DirectoryEntry> for PeerEntry {
    type Error = std::net::AddrParseError;

    fn try_from(message: peer::DirectoryEntry) -> Result<Self, Self::Error> {
        let entry = DirectoryEntry {
            id: message.id,
            pool: message.pool,
            address: message.address.parse()?,
            zone: message.zone,
            slots: message.slots,
            leaving: message.leaving,
            started_at_ms: message.born,
            software_version: message.software_version.as_deref().and_then(SoftwareVersion::new),
        };
        let expires_in =
            message.lapses_in_ms.map(|millis| Duration::from_millis(u64::from(millis)));
        let write_position = StorePosition { era: message.era, revision: message.revision };
        Ok(Self { write_position, entry, expires_in })
    }
}
