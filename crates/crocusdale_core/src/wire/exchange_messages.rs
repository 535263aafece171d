use std::time::Duration;

use crocusdale_schema::peer;

use crate::identity::{InstanceId, PartId, RequestDigest, StorePosition};
use crate::membership::{
    ExchangeMessage, LeavingUpstream, MemberCapacity, MemberLinks, MemberPlace, MemberRecord,
    MemberStatus, PoolReach,
};
use crate::quarantine::{CrashRecord, PartRecord, UpstreamCrash};
use crate::rate_limiting::{LimitRecord, RequestRate};

/// Error for a message in which a required field is missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidField(&'static str);

impl std::fmt::Display for InvalidField {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the message lacks {}", self.0)
    }
}

impl std::error::Error for InvalidField {}

impl From<InstanceId> for peer::Instance {
    fn from(instance: InstanceId) -> Self {
        Self { vm: instance.vm, incarnation: instance.incarnation }
    }
}

impl From<peer::Instance> for InstanceId {
    fn from(message: peer::Instance) -> Self {
        Self { vm: message.vm, incarnation: message.incarnation }
    }
}

impl From<MemberRecord> for peer::MemberRecord {
    fn from(record: MemberRecord) -> Self {
        let status = match record.status {
            MemberStatus::Starting => peer::MemberStatus::Starting,
            MemberStatus::Alive => peer::MemberStatus::Alive,
            MemberStatus::Suspect => peer::MemberStatus::Suspect,
            MemberStatus::Unreachable => peer::MemberStatus::Unreachable,
        };
        Self {
            instance: Some(record.instance.into()),
            generation: record.generation,
            refutation: record.refutation,
            status: status.into(),
            place: record.place.map(Into::into),
            links: record.links.map(Into::into),
        }
    }
}

impl From<MemberPlace> for peer::MemberPlace {
    fn from(place: MemberPlace) -> Self {
        Self {
            zone: place.zone,
            caller: place.caller.to_string(),
            peer: place.peer.to_string(),
            capacity: place.capacity.0,
        }
    }
}

impl TryFrom<peer::MemberPlace> for MemberPlace {
    type Error = InvalidField;

    fn try_from(message: peer::MemberPlace) -> Result<Self, Self::Error> {
        Ok(Self {
            zone: message.zone,
            caller: message.caller.parse().map_err(|_| InvalidField("the address for callers"))?,
            peer: message.peer.parse().map_err(|_| InvalidField("the address for peers"))?,
            capacity: MemberCapacity(message.capacity),
        })
    }
}

impl TryFrom<peer::MemberRecord> for MemberRecord {
    type Error = InvalidField;

    fn try_from(message: peer::MemberRecord) -> Result<Self, Self::Error> {
        let status = match message.status() {
            peer::MemberStatus::Starting => MemberStatus::Starting,
            peer::MemberStatus::Alive => MemberStatus::Alive,
            peer::MemberStatus::Suspect => MemberStatus::Suspect,
            peer::MemberStatus::Unreachable => MemberStatus::Unreachable,
        };
        let instance = message.instance.ok_or(InvalidField("the instance of a record"))?;
        let place = message.place.map(MemberPlace::try_from).transpose()?;
        let (generation, refutation) = (message.generation, message.refutation);
        let links = message.links.map(Into::into);
        Ok(Self { instance: instance.into(), generation, refutation, status, place, links })
    }
}

impl From<MemberLinks> for peer::MemberLinks {
    fn from(links: MemberLinks) -> Self {
        let MemberLinks::AllExcept(impaired) = links else {
            return Self { no_pool: true, ..Self::default() };
        };
        let pools_with = |reach: PoolReach| {
            let pools = impaired.iter().filter(|(_, known)| **known == reach);
            pools.map(|(pool, _)| pool.clone()).collect()
        };
        let (partial, unreachable) = (pools_with(PoolReach::Partial), pools_with(PoolReach::None));
        Self { partial, unreachable, no_pool: false }
    }
}

impl From<peer::MemberLinks> for MemberLinks {
    fn from(message: peer::MemberLinks) -> Self {
        if message.no_pool {
            return Self::NoPool;
        }
        let partial = message.partial.into_iter().map(|pool| (pool, PoolReach::Partial));
        let unreachable = message.unreachable.into_iter().map(|pool| (pool, PoolReach::None));
        Self::new(partial.chain(unreachable).collect())
    }
}

impl From<LeavingUpstream> for peer::LeavingUpstream {
    fn from(leaving: LeavingUpstream) -> Self {
        Self { upstream: leaving.upstream, life: leaving.process }
    }
}

impl From<peer::LeavingUpstream> for LeavingUpstream {
    fn from(message: peer::LeavingUpstream) -> Self {
        Self { upstream: message.upstream, process: message.life }
    }
}

impl From<CrashRecord> for peer::CrashRecord {
    fn from(record: CrashRecord) -> Self {
        Self {
            digest: record.subject.0.to_vec(),
            ends: record.crashes.into_iter().map(Into::into).collect(),
            cleared_age_ms: record.cleared.map(saturating_millis),
        }
    }
}

impl TryFrom<peer::CrashRecord> for CrashRecord {
    type Error = InvalidField;

    fn try_from(message: peer::CrashRecord) -> Result<Self, Self::Error> {
        let digest = message.digest.try_into();
        let digest = digest.map_err(|_| InvalidField("the digest of a crash record"))?;
        Ok(Self {
            subject: RequestDigest(digest),
            crashes: message.ends.into_iter().map(Into::into).collect(),
            cleared: message.cleared_age_ms.map(|millis| Duration::from_millis(millis.into())),
        })
    }
}

impl From<UpstreamCrash> for peer::UpstreamEnd {
    fn from(crash: UpstreamCrash) -> Self {
        Self { upstream: crash.upstream, age_ms: saturating_millis(crash.age) }
    }
}

impl From<peer::UpstreamEnd> for UpstreamCrash {
    fn from(message: peer::UpstreamEnd) -> Self {
        Self { upstream: message.upstream, age: Duration::from_millis(message.age_ms.into()) }
    }
}

impl From<PartRecord> for peer::PartRecord {
    fn from(record: PartRecord) -> Self {
        Self {
            part: record.subject.0,
            ends: record.crashes.into_iter().map(Into::into).collect(),
            cleared_age_ms: record.cleared.map(saturating_millis),
        }
    }
}

impl From<peer::PartRecord> for PartRecord {
    fn from(message: peer::PartRecord) -> Self {
        Self {
            subject: PartId(message.part),
            crashes: message.ends.into_iter().map(Into::into).collect(),
            cleared: message.cleared_age_ms.map(|millis| Duration::from_millis(millis.into())),
        }
    }
}

impl From<LimitRecord> for peer::UpstreamLimit {
    fn from(record: LimitRecord) -> Self {
        Self {
            upstream: record.upstream,
            version: record.version,
            thousandths_per_s: record.rate.map(RequestRate::thousandths),
            age_ms: saturating_millis(record.age),
        }
    }
}

impl From<peer::UpstreamLimit> for LimitRecord {
    fn from(message: peer::UpstreamLimit) -> Self {
        Self {
            upstream: message.upstream,
            version: message.version,
            rate: message.thousandths_per_s.map(RequestRate::from_thousandths),
            age: Duration::from_millis(message.age_ms.into()),
        }
    }
}

fn saturating_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl From<ExchangeMessage> for peer::ExchangeMessage {
    fn from(message: ExchangeMessage) -> Self {
        Self {
            sender: Some(message.sender.into()),
            sender_leaving: message.sender_leaving,
            revision: message.revision,
            digest: message.digest,
            records: message.records.into_iter().map(Into::into).collect(),
            leaving: message.leaving.into_iter().map(Into::into).collect(),
            leaving_upstreams: message.leaving_upstreams.into_iter().map(Into::into).collect(),
            directory: message.directory.revision,
            directory_era: message.directory.era,
            known_members: message.known_members,
            crash_summary: message.crash_summary,
            crashes: message.crashes.into_iter().map(Into::into).collect(),
            part_summary: message.part_summary,
            part_crashes: message.part_crashes.into_iter().map(Into::into).collect(),
            limit_digest: message.limit_digest,
            limits: message.limits.into_iter().map(Into::into).collect(),
            // The age is rounded up, so that a receiver never considers the list newer than it is.
            directory_age_ms: message
                .directory_age
                .map(|age| u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)),
            versions: message.versions.map(Into::into),
        }
    }
}

impl TryFrom<peer::ExchangeMessage> for ExchangeMessage {
    type Error = InvalidField;

    fn try_from(message: peer::ExchangeMessage) -> Result<Self, Self::Error> {
        Ok(Self {
            sender: message.sender.ok_or(InvalidField("its sender"))?.try_into()?,
            sender_leaving: message.sender_leaving,
            revision: message.revision,
            digest: message.digest,
            records: message
                .records
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            leaving: message.leaving.into_iter().map(Into::into).collect(),
            leaving_upstreams: message.leaving_upstreams.into_iter().map(Into::into).collect(),
            directory: StorePosition { era: message.directory_era, revision: message.directory },
            known_members: message.known_members,
            directory_age: message.directory_age_ms.map(Duration::from_millis),
            crash_summary: message.crash_summary,
            crashes: message
                .crashes
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            part_summary: message.part_summary,
            part_crashes: message.part_crashes.into_iter().map(Into::into).collect(),
            limit_digest: message.limit_digest,
            limits: message.limits.into_iter().map(Into::into).collect(),
            versions: message.versions.map(Into::into),
        })
    }
}
