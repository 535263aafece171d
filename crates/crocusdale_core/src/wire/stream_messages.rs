use std::time::Duration;

use crocusdale_schema::peer;

use super::millis::saturating_millis;
use super::placement_messages::MessageFault;
use crate::identity::SoftwareVersion;
use crate::streams::{ReportedVersion, StreamKey, StreamOrigin, StreamRecord, VersionReport};

/// Maximum length of the name of a pool, in bytes.
const MAX_POOL_BYTES: usize = 512;

impl From<StreamRecord> for peer::StreamRecord {
    fn from(StreamRecord { key, origin, time_left }: StreamRecord) -> Self {
        Self {
            key: <[u8; StreamKey::LEN]>::from(key).to_vec(),
            pool: origin.pool,
            software_version: origin.software_version.map(|version| version.to_string()),
            left_ms: saturating_millis(time_left),
        }
    }
}

impl TryFrom<peer::StreamRecord> for StreamRecord {
    type Error = MessageFault;

    fn try_from(message: peer::StreamRecord) -> Result<Self, Self::Error> {
        let key = read_stream_key(&message.key)?;
        if message.pool.len() > MAX_POOL_BYTES {
            return Err(MessageFault::Oversized {
                field: "pool",
                size: message.pool.len() as u64,
                accepted: MAX_POOL_BYTES as u64,
            });
        }
        let software_version = message.software_version.as_deref().and_then(SoftwareVersion::new);
        let origin = StreamOrigin { pool: message.pool, software_version };
        Ok(Self { key, origin, time_left: Duration::from_millis(message.left_ms.into()) })
    }
}

/// Key of a stream in a message.
///
/// # Errors
///
/// Returns a fault if the key does not have the length of a key.
pub fn read_stream_key(key: &[u8]) -> Result<StreamKey, MessageFault> {
    let key: [u8; StreamKey::LEN] = key.try_into().map_err(|_| MessageFault::Missing("key"))?;
    Ok(key.into())
}

impl From<VersionReport> for peer::VersionReport {
    fn from(report: VersionReport) -> Self {
        let known_ms = saturating_millis(report.known_for).into();
        Self { known_ms, versions: report.versions.into_iter().map(Into::into).collect() }
    }
}

impl From<peer::VersionReport> for VersionReport {
    fn from(message: peer::VersionReport) -> Self {
        Self {
            known_for: Duration::from_millis(message.known_ms),
            versions: message.versions.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<ReportedVersion> for peer::ReportedVersion {
    fn from(reported: ReportedVersion) -> Self {
        Self {
            pool: reported.pool,
            version: reported.version.map(|version| version.to_string()).unwrap_or_default(),
            left_ms: saturating_millis(reported.left_for).into(),
        }
    }
}

impl From<peer::ReportedVersion> for ReportedVersion {
    fn from(message: peer::ReportedVersion) -> Self {
        Self {
            pool: message.pool,
            version: SoftwareVersion::new(&message.version).filter(|_| !message.version.is_empty()),
            left_for: Duration::from_millis(message.left_ms),
        }
    }
}
