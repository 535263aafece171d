use std::time::Duration;

use crocusdale_schema::peer;

use crate::identity::{InstanceId, RequestDigest, StorePosition};
use crate::membership::{
    ExchangeMessage, LeavingUpstream, MemberCapacity, MemberPlace, MemberRecord, MemberStatus,
};
use crate::quarantine::{CrashRecord, UpstreamCrash};
use crate::rate_limiting::{LimitRecord, RequestRate};

/// A message lacked a part that it must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingPart(&'static str);

impl std::fmt::Display for MissingPart {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the message lacks {}", self.0)
    }
}

impl std::error::Error for MissingPart {}

impl From<InstanceId> for peer::Instance {
    fn from(instance: InstanceId) -> Self {
        Self { vm: instance.vm, incarnation: instance.incarnation }
    }
}

impl From<peer::Instance> for InstanceId {
    fn from(wire: peer::Instance) -> Self {
        Self { vm: wire.vm, incarnation: wire.incarnation }
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
    type Error = MissingPart;

    fn try_from(wire: peer::MemberPlace) -> Result<Self, Self::Error> {
        Ok(Self {
            zone: wire.zone,
            caller: wire.caller.parse().map_err(|_| MissingPart("the address for callers"))?,
            peer: wire.peer.parse().map_err(|_| MissingPart("the address for peers"))?,
            capacity: MemberCapacity(wire.capacity),
        })
    }
}

impl TryFrom<peer::MemberRecord> for MemberRecord {
    type Error = MissingPart;

    fn try_from(wire: peer::MemberRecord) -> Result<Self, Self::Error> {
        let status = match wire.status() {
            peer::MemberStatus::Starting => MemberStatus::Starting,
            peer::MemberStatus::Alive => MemberStatus::Alive,
            peer::MemberStatus::Suspect => MemberStatus::Suspect,
            peer::MemberStatus::Unreachable => MemberStatus::Unreachable,
        };
        let instance = wire.instance.ok_or(MissingPart("the instance of a record"))?;
        let place = wire.place.map(MemberPlace::try_from).transpose()?;
        let (generation, refutation) = (wire.generation, wire.refutation);
        Ok(Self { instance: instance.into(), generation, refutation, status, place })
    }
}

impl From<LeavingUpstream> for peer::LeavingUpstream {
    fn from(leaving: LeavingUpstream) -> Self {
        Self { upstream: leaving.upstream, life: leaving.life }
    }
}

impl From<peer::LeavingUpstream> for LeavingUpstream {
    fn from(wire: peer::LeavingUpstream) -> Self {
        Self { upstream: wire.upstream, life: wire.life }
    }
}

impl From<CrashRecord> for peer::CrashRecord {
    fn from(record: CrashRecord) -> Self {
        let crash = |crash: UpstreamCrash| peer::UpstreamEnd {
            upstream: crash.upstream,
            age_ms: whole_millis(crash.age),
        };
        Self {
            digest: record.digest.0.to_vec(),
            ends: record.crashes.into_iter().map(crash).collect(),
            cleared_age_ms: record.cleared.map(whole_millis),
        }
    }
}

impl TryFrom<peer::CrashRecord> for CrashRecord {
    type Error = MissingPart;

    fn try_from(wire: peer::CrashRecord) -> Result<Self, Self::Error> {
        let digest = wire.digest.try_into();
        let digest = digest.map_err(|_| MissingPart("the digest of a crash record"))?;
        let millis = |millis: u32| Duration::from_millis(millis.into());
        let crash = |crash: peer::UpstreamEnd| UpstreamCrash {
            upstream: crash.upstream,
            age: millis(crash.age_ms),
        };
        Ok(Self {
            digest: RequestDigest(digest),
            crashes: wire.ends.into_iter().map(crash).collect(),
            cleared: wire.cleared_age_ms.map(millis),
        })
    }
}

impl From<LimitRecord> for peer::UpstreamLimit {
    fn from(record: LimitRecord) -> Self {
        Self {
            upstream: record.upstream,
            version: record.version,
            thousandths_per_s: record.rate.map(RequestRate::thousandths),
            age_ms: whole_millis(record.age),
        }
    }
}

impl From<peer::UpstreamLimit> for LimitRecord {
    fn from(wire: peer::UpstreamLimit) -> Self {
        Self {
            upstream: wire.upstream,
            version: wire.version,
            rate: wire.thousandths_per_s.map(RequestRate::from_thousandths),
            age: Duration::from_millis(wire.age_ms.into()),
        }
    }
}

fn whole_millis(time: Duration) -> u32 {
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
            limit_digest: message.limit_digest,
            limits: message.limits.into_iter().map(Into::into).collect(),
            // Rounded up: a list must never be taken for younger than it is.
            directory_age_ms: message
                .directory_age
                .map(|age| u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)),
        }
    }
}

impl TryFrom<peer::ExchangeMessage> for ExchangeMessage {
    type Error = MissingPart;

    fn try_from(wire: peer::ExchangeMessage) -> Result<Self, Self::Error> {
        Ok(Self {
            sender: wire.sender.ok_or(MissingPart("its sender"))?.try_into()?,
            sender_leaving: wire.sender_leaving,
            revision: wire.revision,
            digest: wire.digest,
            records: wire.records.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
            leaving: wire.leaving.into_iter().map(Into::into).collect(),
            leaving_upstreams: wire.leaving_upstreams.into_iter().map(Into::into).collect(),
            directory: StorePosition { era: wire.directory_era, revision: wire.directory },
            known_members: wire.known_members,
            directory_age: wire.directory_age_ms.map(Duration::from_millis),
            crash_summary: wire.crash_summary,
            crashes: wire.crashes.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
            limit_digest: wire.limit_digest,
            limits: wire.limits.into_iter().map(Into::into).collect(),
        })
    }
}
