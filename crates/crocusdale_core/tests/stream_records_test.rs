//! Records of where streams began: how long, how many, and in messages.

use std::time::Duration;

use crocusdale_core::identity::{MonotonicTime, SoftwareVersion};
use crocusdale_core::streams::{
    AllowedVersion, MAX_RECORD_TIME, OriginLog, StreamKey, StreamOrigin, StreamRecord,
};
use crocusdale_core::wire::MessageFault;
use crocusdale_schema::peer;

fn record(attempt: &str, version: &str, time_left: Duration) -> StreamRecord {
    let origin =
        StreamOrigin { pool: "reader".to_owned(), software_version: SoftwareVersion::new(version) };
    StreamRecord { key: StreamKey::new("letters", attempt), origin, time_left }
}

#[test]
fn record_lasts_as_long_as_the_caller_may_come_back() {
    let (mut log, start) = (OriginLog::default(), MonotonicTime::from_millis(0));
    log.record(&record("one", "v1", Duration::from_secs(8)), start);
    log.record(&record("two", "v1", MAX_RECORD_TIME * 2), start);
    let (one, two) = (StreamKey::new("letters", "one"), StreamKey::new("letters", "two"));
    let late = start + Duration::from_millis(7_999);
    assert_eq!(log.find(one, late), Some(record("one", "v1", Duration::from_millis(1))));
    assert_eq!(log.find(one, start + Duration::from_secs(8)), None);
    assert!(log.find(two, start + Duration::from_secs(8)).is_some());
    log.remove_expired(start + MAX_RECORD_TIME);
    assert!(log.is_empty(), "no record lasts longer than {MAX_RECORD_TIME:?}");
}

/// Guards against a caller that learns of, or goes on with, a stream of another workspace.
#[test]
fn record_belongs_to_one_workspace() {
    let (mut log, now) = (OriginLog::default(), MonotonicTime::from_millis(0));
    log.record(&record("one", "v1", Duration::from_secs(8)), now);
    for (workspace, attempt) in [("", "one"), ("other", "one"), ("letter", "sone"), ("letters", "")]
    {
        assert_eq!(log.find(StreamKey::new(workspace, attempt), now), None, "{workspace}");
    }
}

/// Guards against memory that grows without bound, and against the loss of records whose callers
/// may still come back while there are others.
#[test]
fn full_log_drops_the_record_that_expires_next() {
    let (mut log, now) = (OriginLog::default(), MonotonicTime::from_millis(0));
    log.record(&record("short", "v1", Duration::from_secs(1)), now);
    for index in 0..100_000 {
        log.record(&record(&format!("s{index}"), "v1", Duration::from_secs(60)), now);
    }
    assert_eq!(log.len(), 65_536);
    assert_eq!(log.find(StreamKey::new("letters", "short"), now), None);
    assert!(log.find(StreamKey::new("letters", "s99999"), now).is_some());
}

/// Guards against a caller that uses one attempt id for two streams.
#[test]
fn stream_with_two_beginnings_can_not_go_on() {
    let (mut log, now) = (OriginLog::default(), MonotonicTime::from_millis(0));
    for version in ["v1", "v1", "v2"] {
        log.record(&record("one", version, Duration::from_secs(8)), now);
    }
    let found = log.find(StreamKey::new("letters", "one"), now).expect("it is known");
    let allowed = AllowedVersion::from(&found.origin);
    assert!(!allowed.allows(SoftwareVersion::new("v1").as_ref()));
    assert!(!allowed.allows(SoftwareVersion::new("v2").as_ref()));
    assert!(!allowed.allows(None));
}

#[test]
fn upstream_of_unknown_version_goes_on_with_no_stream() {
    let allowed = AllowedVersion::Only(SoftwareVersion::new("v1").expect("a version"));
    assert!(allowed.allows(SoftwareVersion::new("v1").as_ref()));
    assert!(!allowed.allows(SoftwareVersion::new("v1.1").as_ref()));
    assert!(!allowed.allows(None));
    assert!(AllowedVersion::Any.allows(None));
}

#[test]
fn record_arrives_unchanged_and_invalid_ones_are_refused() {
    let sent = record("one", "v1", Duration::from_millis(7_350));
    let message = peer::StreamRecord::from(sent.clone());
    assert_eq!(StreamRecord::try_from(message.clone()), Ok(sent));
    let unknown = peer::StreamRecord { software_version: None, ..message.clone() };
    let unknown = StreamRecord::try_from(unknown).expect("the record must be valid");
    assert_eq!(AllowedVersion::from(&unknown.origin), AllowedVersion::Unknown);
    let short = peer::StreamRecord { key: vec![0; 15], ..message.clone() };
    assert_eq!(StreamRecord::try_from(short), Err(MessageFault::Missing("key")));
    let long = peer::StreamRecord { pool: "p".repeat(513), ..message };
    assert!(matches!(StreamRecord::try_from(long), Err(MessageFault::Oversized { .. })));
}
