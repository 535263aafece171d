//! Messages between entry daemons, dispatchers and admission coordinators.

use std::time::Duration;

use crocusdale_core::admission::{AdmissionDecision, AdmissionRequest, LevelWork};
use crocusdale_core::batching::PoolStatus;
use crocusdale_schema::peer;

fn request() -> peer::AdmitRequestRequest {
    let step = |after: Vec<u32>| peer::AdmissionStep {
        pool: "embed".to_owned(),
        pieces: 3,
        after,
        step_ms: 200,
    };
    peer::AdmitRequestRequest {
        attempt: Some(peer::Attempt { incarnation: 1, call: 2, sequence: 0 }),
        section: "admission#1/2".to_owned(),
        digest: vec![7; 16],
        workspace: "lab".to_owned(),
        level: 1,
        due_ms: -5,
        left_ms: 4_000,
        steps: vec![step(Vec::new()), step(vec![0])],
    }
}

#[test]
fn admission_request_keeps_its_parts() {
    let read = AdmissionRequest::try_from(request()).expect("a valid message");
    assert_eq!(read.objective_in, Duration::ZERO);
    let mut expected = request();
    expected.due_ms = 0;
    assert_eq!(peer::AdmitRequestRequest::from(read), expected);
}

/// Guards against messages whose parts would make the coordinator fail or its state grow.
#[test]
fn malformed_and_oversized_requests_are_refused() {
    type Change = fn(&mut peer::AdmitRequestRequest);
    let changes: [(&str, Change); 10] = [
        ("attempt", |message| message.attempt = None),
        ("section", |message| message.section = "embed".to_owned()),
        ("section", |message| message.section = "admission#9/2".to_owned()),
        ("digest", |message| message.digest.truncate(15)),
        ("workspace", |message| message.workspace = "w".repeat(257)),
        ("level", |message| message.level = 256),
        ("left_ms", |message| message.left_ms = u64::MAX),
        ("steps", |message| message.steps = vec![message.steps[0].clone(); 17]),
        ("steps.after", |message| message.steps[0].after = vec![0]),
        ("steps.pieces", |message| message.steps[1].pieces = u32::MAX),
    ];
    for (field, change) in changes {
        let mut message = request();
        change(&mut message);
        let error = AdmissionRequest::try_from(message).expect_err(field).to_string();
        assert!(error.starts_with(field) && error.contains("accepted"), "{error}");
    }
}

/// Guards against a caller with extreme figures, for whose message the daemon would take its
/// coordinator as lost.
#[test]
fn sent_requests_are_within_the_accepted_ranges() {
    let mut extreme = AdmissionRequest::try_from(request()).expect("a valid message");
    (extreme.objective_in, extreme.deadline_in) = (Duration::MAX, Duration::MAX);
    for step in &mut extreme.steps {
        (step.pieces, step.step_time) = (u32::MAX, Duration::MAX);
    }
    let message = peer::AdmitRequestRequest::from(extreme);
    AdmissionRequest::try_from(message).expect("an accepted message");
}

/// Guards against one odd peer that makes a pool appear to have any capacity.
#[test]
fn pool_status_with_too_many_sections_is_refused() {
    let status = |pool: &str| peer::ReportPoolStatusRequest {
        pool: pool.to_owned(),
        sender: "entry-a1".to_owned(),
        capacity_thousandths: 5_000,
        ..Default::default()
    };
    assert!(PoolStatus::try_from(status("embed#0/256")).is_ok());
    assert!(PoolStatus::try_from(status("embed#0/18446744073709551615")).is_err());
}

/// Guards against a reply of a later version that is taken for a start.
#[test]
fn unknown_verdict_is_refused() {
    let reply = peer::AdmitRequestReply { verdict: "later".to_owned(), ..Default::default() };
    assert!(AdmissionDecision::try_from(reply).is_err());
}

#[test]
fn pool_status_keeps_its_parts_and_bounds() {
    let mut late = LevelWork::default();
    late.add(2, 0.5);
    let status = PoolStatus {
        section: "embed#0/2".to_owned(),
        sender: "entry-a1".to_owned(),
        capacity: 5.25,
        call_time: Duration::from_millis(310),
        on_time: LevelWork::of(0, 1.25),
        late,
        overdue: Duration::from_millis(250),
    };
    let message = peer::ReportPoolStatusRequest::from(status.clone());
    assert_eq!(PoolStatus::try_from(message.clone()), Ok(status));
    let oversized = peer::ReportPoolStatusRequest { pool: "p".repeat(300), ..message.clone() };
    assert!(PoolStatus::try_from(oversized).is_err());
    let unnamed = peer::ReportPoolStatusRequest { sender: String::new(), ..message };
    assert!(PoolStatus::try_from(unnamed).is_err());
}
