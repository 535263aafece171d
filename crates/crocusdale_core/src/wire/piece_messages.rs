use std::time::Duration;

use crocusdale_schema::peer;

use crate::batching::PoolWait;
use crate::identity::{AttemptId, CallId, MonotonicTime, RequestDigest, StorePosition};
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
    fn from(wire: peer::Attempt) -> Self {
        Self { incarnation: wire.incarnation, call: CallId(wire.call), sequence: wire.sequence }
    }
}

impl PieceOrder {
    /// The order for another daemon; times become times from `now`.
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
            due_ms: millis(self.due.since(now)) - millis(now.since(self.due)),
            left_ms: millis(self.expires.since(now)).unsigned_abs(),
            repeated: self.repeated,
            result_bytes: self.result_bytes,
            inputs_pool: self.inputs_pool.clone().unwrap_or_default(),
            is_flood: self.is_flood,
            digest: self.digest.map(|digest| digest.0.to_vec()).unwrap_or_default(),
        }
    }

    /// Reads an order of another daemon that was received at `now`; `None` without an attempt.
    #[must_use]
    pub fn from_wire(wire: peer::MakePiecesRequest, now: MonotonicTime) -> Option<Self> {
        let source = if wire.results.is_empty() {
            PieceSource::Caller(wire.caller_source)
        } else {
            let results = wire.results.iter().map(|text| ResultHandle::new(text));
            PieceSource::Results(results.collect())
        };
        let ahead = Duration::from_millis(wire.due_ms.max(0).unsigned_abs());
        let behind = Duration::from_millis(wire.due_ms.min(0).unsigned_abs());
        let due = (now + ahead).since_start().saturating_sub(behind);
        Some(Self {
            attempt: wire.attempt?.into(),
            request: wire.request,
            digest: wire.digest.try_into().ok().map(RequestDigest),
            pool: wire.pool,
            step: wire.step,
            pieces: wire.pieces,
            result_bytes: wire.result_bytes,
            source,
            inputs_pool: (!wire.inputs_pool.is_empty()).then_some(wire.inputs_pool),
            zone: (!wire.zone.is_empty()).then_some(wire.zone),
            level: u8::try_from(wire.level).unwrap_or(u8::MAX),
            is_flood: wire.is_flood,
            due: MonotonicTime::from_start(due),
            expires: now + Duration::from_millis(wire.left_ms),
            repeated: wire.repeated,
        })
    }
}

/// What became of pieces, as a message to the daemon that offered them.
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
        wait_ms: short_millis(wait.in_time),
        late_wait_ms: wait.late.iter().copied().map(short_millis).collect(),
        overloaded_ms: short_millis(wait.overloaded),
        call_ms: short_millis(wait.call),
    }
}

/// Reads how long new pieces would wait in the pool.
#[must_use]
pub fn read_pool_wait(wire: &peer::MakePiecesReply) -> PoolWait {
    let wait = |millis: &u32| Duration::from_millis(u64::from(*millis));
    PoolWait {
        in_time: wait(&wire.wait_ms),
        late: wire.late_wait_ms.iter().map(wait).collect(),
        overloaded: wait(&wire.overloaded_ms),
        call: wait(&wire.call_ms),
    }
}

/// Reads what became of pieces. A fault that this daemon doesn't know counts as a failure.
///
/// # Errors
///
/// Returns why there are no results.
pub fn read_pieces_reply(wire: peer::MakePiecesReply) -> Result<Vec<PlacedResult>, PieceFault> {
    if wire.fault.is_empty() {
        return Ok(wire.results.into_iter().map(Into::into).collect());
    }
    Err(wire.fault.parse().unwrap_or(PieceFault::Failed))
}

impl From<PlacedResult> for peer::PlacedResult {
    fn from(result: PlacedResult) -> Self {
        Self { handle: result.handle.to_string(), zone: result.zone }
    }
}

impl From<peer::PlacedResult> for PlacedResult {
    fn from(wire: peer::PlacedResult) -> Self {
        Self { handle: ResultHandle::new(&wire.handle), zone: wire.zone }
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
        let (age_ms, configuration) =
            list.age.map(|told| (millis(told.age).unsigned_abs(), told.revision)).unzip();
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

    fn try_from(wire: peer::FetchDirectoryReply) -> Result<Self, Self::Error> {
        let entries = wire.entries.into_iter().map(PeerEntry::try_from);
        let position = StorePosition { era: wire.era, revision: wire.revision };
        let evacuations = wire.evacuations.into_iter().map(Into::into).collect();
        let cold = wire.cold.into_iter().map(Into::into).collect();
        let removed = wire.removed.into_iter().map(Into::into).collect();
        let removed = wire.only_changes.then_some(removed);
        let entries = entries.collect::<Result<_, _>>()?;
        let age = wire.age_ms.zip(wire.configuration).map(|(age_ms, revision)| {
            // Rounded up: what is told must not be younger than it is.
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
    fn from(wire: peer::RemovedUpstream) -> Self {
        let position = StorePosition { era: wire.era, revision: wire.revision };
        Self { position, id: wire.id }
    }
}

impl From<ColdUpstream> for peer::ColdUpstream {
    fn from(ColdUpstream { name, remaining }: ColdUpstream) -> Self {
        Self { name, left_ms: short_millis(remaining) }
    }
}

impl From<peer::ColdUpstream> for ColdUpstream {
    fn from(wire: peer::ColdUpstream) -> Self {
        Self { name: wire.name, remaining: Duration::from_millis(u64::from(wire.left_ms)) }
    }
}

impl From<ZoneEvacuation> for peer::ZoneEvacuation {
    fn from(ZoneEvacuation { write_position, zone }: ZoneEvacuation) -> Self {
        Self { zone, revision: write_position.revision, era: write_position.era }
    }
}

impl From<peer::ZoneEvacuation> for ZoneEvacuation {
    fn from(wire: peer::ZoneEvacuation) -> Self {
        let write_position = StorePosition { era: wire.era, revision: wire.revision };
        Self { write_position, zone: wire.zone }
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
            lapses_in_ms: expires_in.map(short_millis),
        }
    }
}

impl TryFrom<peer::DirectoryEntry> for PeerEntry {
    type Error = std::net::AddrParseError;

    fn try_from(wire: peer::DirectoryEntry) -> Result<Self, Self::Error> {
        let entry = DirectoryEntry {
            id: wire.id,
            pool: wire.pool,
            address: wire.address.parse()?,
            zone: wire.zone,
            slots: wire.slots,
            leaving: wire.leaving,
            started_at_ms: wire.born,
        };
        let expires_in = wire.lapses_in_ms.map(|millis| Duration::from_millis(u64::from(millis)));
        let write_position = StorePosition { era: wire.era, revision: wire.revision };
        Ok(Self { write_position, entry, expires_in })
    }
}

fn short_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
