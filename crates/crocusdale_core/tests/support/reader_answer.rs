//! Answers of a peer that reads what is published for the daemon under test.

use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::{InstanceId, MonotonicTime};
use crocusdale_core::membership::{
    ExchangeMessage, MemberCapacity, MemberPlace, MemberRecord, MemberStatus,
};

/// The peer: its name ranks before that of the daemon under test.
const READER: &str = "entry-a2";

/// Link of a peer that is as large as the daemon under test.
const LARGE_LINK_MBPS: f64 = 1_000.0;

fn reader_record(link_mbps: f64) -> MemberRecord {
    let address = "127.0.0.1:2".parse().expect("an address");
    let place = MemberPlace {
        zone: "a".to_owned(),
        caller: address,
        peer: address,
        capacity: MemberCapacity::new(1.0, link_mbps),
    };
    let mut record = MemberRecord::new(InstanceId::new(READER, 8), Some(place));
    record.status = MemberStatus::Alive;
    record
}

/// What the peer answers to a question that was sent at `sent`: it has just read, and found the
/// configuration and the list of upstreams to stand at the revisions of `position`.
pub fn answer_of_reader(known: (u64, u64), sent: MonotonicTime) -> DaemonEvent {
    answer_over_link(known, sent, LARGE_LINK_MBPS)
}

/// The same of a peer whose link carries `link_mbps` megabits a second.
pub fn answer_over_link(
    (revision, directory): (u64, u64),
    sent: MonotonicTime,
    link_mbps: f64,
) -> DaemonEvent {
    let message = Box::new(ExchangeMessage {
        sender: reader_record(link_mbps),
        sender_leaving: false,
        revision,
        digest: 0,
        records: Vec::new(),
        leaving: Vec::new(),
        leaving_upstreams: Vec::new(),
        directory: directory.into(),
        directory_age: Some(Duration::ZERO),
        known_members: None,
        crash_summary: 0,
        limit_digest: 0,
        limits: Vec::new(),
        crashes: Vec::new(),
    });
    DaemonEvent::HeartbeatAnswered { message, sent }
}
