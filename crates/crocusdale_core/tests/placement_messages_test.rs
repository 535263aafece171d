//! Messages about placements between daemons.

use std::time::Duration;

use crocusdale_core::configuration::AllowedRegions;
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime, SoftwareVersion};
use crocusdale_core::pipeline::PromptPart;
use crocusdale_core::placement::{
    FirstEventTime, PlacementOutcome, PlacementReply, PlacementReport, PlacementRequest,
};
use crocusdale_core::streams::AllowedVersion;
use crocusdale_core::wire::{MessageFault, read_placement_reports};
use crocusdale_schema::peer;

const ATTEMPT: AttemptId = AttemptId { incarnation: 3, call: CallId(4), sequence: 5 };

fn request(now: MonotonicTime) -> PlacementRequest {
    PlacementRequest {
        attempt: ATTEMPT,
        section: "reader#1/2".to_owned(),
        level: 2,
        shared_parts: vec![PromptPart { id: 9, tokens: 100 }],
        prompt_tokens: 400,
        output_tokens: 50,
        objective: now + Duration::from_millis(900),
        deadline: now + Duration::from_secs(6),
        excluded: vec!["r1".to_owned()],
        allowed_regions: AllowedRegions::new(["coast".to_owned()]),
        allowed_version: AllowedVersion::Only(SoftwareVersion::new("v1").expect("a version")),
        input_zone: Some("z1".to_owned()),
        input_bytes: 2_000_000,
    }
}

#[test]
fn question_and_reply_arrive_unchanged_at_a_daemon_with_another_clock() {
    let (sent, received) = (MonotonicTime::from_millis(5_000), MonotonicTime::from_millis(90));
    let arrived = PlacementRequest::from_wire(request(sent).to_wire(sent), received);
    assert_eq!(arrived, Ok(request(received)));
    let first_event =
        FirstEventTime { fixed: Duration::from_micros(41_500), thousand_tokens: Duration::ZERO };
    let reply = PlacementReply {
        upstream: Some("r2".to_owned()),
        expected: Duration::from_millis(120),
        first_event: Some(first_event),
    };
    assert_eq!(PlacementReply::from(peer::PlaceRequestReply::from(reply.clone())), reply);
    let empty = PlacementReply::default();
    assert_eq!(PlacementReply::from(peer::PlaceRequestReply::from(empty.clone())), empty);
}

/// Guards against a coordinator that keeps state about nonsense, or overflows with it.
#[test]
fn questions_with_missing_or_oversized_parts_are_refused() {
    let now = MonotonicTime::from_millis(5_000);
    let good = request(now).to_wire(now);
    let mut faults = Vec::new();
    let mut refuse = |change: fn(&mut peer::PlaceRequestRequest)| {
        let mut message = good.clone();
        change(&mut message);
        faults.push(PlacementRequest::from_wire(message, now).expect_err("a refused message"));
    };
    refuse(|message| message.attempt = None);
    refuse(|message| message.section.clear());
    refuse(|message| message.section = "x".repeat(5_000));
    refuse(|message| message.parts = vec![peer::PromptPart::default(); 10_000]);
    refuse(|message| message.excluded = vec![String::new(); 10_000]);
    refuse(|message| message.regions = vec!["x".repeat(5_000)]);
    refuse(|message| message.prompt_tokens = u64::MAX);
    refuse(|message| message.output_tokens = u64::MAX);
    let missing = [MessageFault::Missing("attempt"), MessageFault::Missing("section")];
    assert_eq!(faults[..2], missing);
    let is_oversized = |fault: &MessageFault| matches!(fault, MessageFault::Oversized { .. });
    assert!(faults[2..].iter().all(is_oversized), "{faults:?}");
    let mut eternal = good.clone();
    (eternal.left_ms, eternal.due_ms) = (u64::MAX, i64::MAX);
    let eternal = PlacementRequest::from_wire(eternal, now).expect("an accepted message");
    assert!(eternal.deadline <= now + Duration::from_secs(3_600), "state is kept for an hour");
}

/// Guards against an overflow of the time to the first event of an engine that hardly answers.
#[test]
fn expected_time_of_an_extreme_prompt_is_finite() {
    let part = Duration::from_micros(u64::from(u32::MAX));
    let time = FirstEventTime { fixed: part, thousand_tokens: part };
    assert!(time.for_prompt(u64::MAX) > Duration::from_secs(3_600));
}

#[test]
fn reports_are_read_whole_or_refused() {
    let report = PlacementReport {
        attempt: ATTEMPT,
        outcome: PlacementOutcome::NotUsed,
        first_event: Some(Duration::from_millis(7)),
        stream_time: Duration::from_millis(80),
        events: 12,
        upstream: "r2".to_owned(),
    };
    let message = |reports: Vec<peer::PlacementReport>| peer::ReportPlacementsRequest {
        section: "reader".to_owned(),
        reports,
    };
    let wire_report = peer::PlacementReport::from(report.clone());
    let read = read_placement_reports(message(vec![wire_report.clone()]));
    assert_eq!(read, Ok(("reader".to_owned(), vec![report])));
    let unknown = peer::PlacementReport { outcome: "paused".to_owned(), ..wire_report.clone() };
    let nameless = peer::PlacementReport { attempt: None, ..wire_report.clone() };
    for reports in [vec![unknown], vec![nameless], vec![wire_report; 100_000]] {
        assert!(read_placement_reports(message(reports)).is_err());
    }
}
