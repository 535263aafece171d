//! Requests whose engine is chosen by a placement coordinator, from the daemons' side.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code)]
mod forward_daemon;
mod support;

use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::{
    BatchRules, ConfigurationError, Declarations, DeclarationsBuilder, EngineRules, PlanStep,
    PoolKind, RepeatRule, SchedulingSettings, StageRules, StepWork,
};
use crocusdale_core::daemon::{Command, DaemonEvent, StateChange};
use crocusdale_core::identity::{CallId, RequestDigest, RequestKey};
use crocusdale_core::pipeline::{
    AttemptEvent, CallerRequest, EngineDemand, ExecutionStatus, ForwardHead, ForwardOrder,
    PromptPart, RequestContent, ResponseHead,
};
use crocusdale_core::placement::{
    FirstEventTime, PlacementOutcome, PlacementReply, PlacementReport, PlacementRequest,
};
use crocusdale_core::routing::DirectoryEntry;
use forward_daemon::{HOST, pipeline};
use support::virtual_fleet::VirtualFleet;

/// Number of daemons. Each engine has fewer slots.
const SIZE: usize = 6;
const ENGINES: [&str; 3] = ["r0", "r1", "r2"];

fn read(_: &str, _: &str) -> Result<Declarations, Vec<ConfigurationError>> {
    let engine = PoolKind::Engine(EngineRules { slots: 2, token_memory: 100_000 });
    let batch = PoolKind::Batch(BatchRules {
        slots: 1,
        pieces: 20,
        call_time: Duration::from_millis(50),
        piece_time: Duration::from_millis(1),
        result_bytes: 50_000_000,
        result_lifetime: Duration::from_secs(4),
    });
    let step = |after| PlanStep { stage: "reader".to_owned(), after, work: StepWork::Forward };
    let work = StepWork::Batched { result_bytes: 1_000 };
    let scan = PlanStep { stage: "scan".to_owned(), after: vec![], work };
    let digest = vec![scan, step(vec![0])];
    Ok(DeclarationsBuilder::new("test", Duration::from_secs(1))
        .stage("reader", StageRules::published(engine, None))
        .stage("scan", StageRules::published(batch, None))
        .route(HOST, "/tell/", pipeline(RepeatRule::ResumableStream, vec![step(vec![])]))
        .route(HOST, "/digest/", pipeline(RepeatRule::ResumableStream, digest))
        .build())
}

fn placing_fleet() -> VirtualFleet {
    let scheduling =
        SchedulingSettings { min_daemons: 2, engine_placement: true, ..Default::default() };
    let mut fleet = VirtualFleet::coordinated(SIZE, scheduling, read);
    let entry = |id: &&str| DirectoryEntry {
        started_at_ms: None,
        id: (*id).to_owned(),
        pool: "reader".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z0".to_owned(),
        slots: 2,
        leaving: false,
        software_version: None,
    };
    fleet.published = (2, ENGINES.iter().map(|id| (2, entry(id))).collect());
    fleet.run(Duration::from_secs(8));
    fleet
}

fn submit(fleet: &mut VirtualFleet, daemon: usize) -> CallId {
    let request = build(fleet, "/tell/");
    fleet.submit(daemon, request)
}

fn build(fleet: &mut VirtualFleet, path: &str) -> CallerRequest {
    let parts = vec![PromptPart { id: 5, tokens: 900 }, PromptPart { id: 6, tokens: 100 }];
    build_with(fleet, path, EngineDemand { parts, prompt_tokens: 1_000, output_tokens: 50 })
}

fn build_with(fleet: &mut VirtualFleet, path: &str, demand: EngineDemand) -> CallerRequest {
    let head = ForwardHead {
        host: HOST.to_owned(),
        path: path.to_owned(),
        content: RequestDigest::of(&[path.as_bytes()]),
        access: None,
        pieces: vec![],
        piece_source: String::new(),
        demand: Some(Arc::new(demand)),
        resumed: None,
    };
    let key = format!("try-{}-{}", fleet.now.since_start().as_micros(), fleet.relays.len());
    CallerRequest {
        key: RequestKey::new("", key),
        labels: Default::default(),
        deadline: Duration::from_secs(6),
        repeatable: false,
        stream: false,
        age: Duration::ZERO,
        ticket: None,
        content: RequestContent::Forward(Box::new(head)),
    }
}

/// Daemon that does not coordinate the pool, the coordinator's VM and the first question to it.
fn ask(fleet: &mut VirtualFleet) -> (usize, CallId, String, Box<PlacementRequest>) {
    for daemon in 0..SIZE {
        let call = submit(fleet, daemon);
        if let Some((asker, Command::PlaceRequest { vm, request })) = fleet.placement_commands.pop()
        {
            assert_eq!(asker, daemon, "only the daemon of the request asks");
            return (daemon, call, vm, request);
        }
    }
    panic!("no daemon asked a coordinator");
}

fn reply(
    fleet: &mut VirtualFleet,
    daemon: usize,
    (vm, request): (String, Box<PlacementRequest>),
    upstream: Option<&str>,
) {
    let upstream = upstream.map(str::to_owned);
    let reply = PlacementReply { upstream, ..PlacementReply::default() };
    let event = DaemonEvent::PlacementReplied { vm, request, reply: Some(reply) };
    fleet.feed(daemon, event);
}

fn last_relay(fleet: &VirtualFleet, daemon: usize) -> Option<ForwardOrder> {
    let mut relays = fleet.relays.iter().rev();
    relays.find(|(sender, ..)| *sender == daemon).map(|(_, _, order)| order.clone())
}

fn reports(fleet: &mut VirtualFleet) -> Vec<PlacementReport> {
    let commands = fleet.placement_commands.drain(..);
    let reports = commands.filter_map(|(_, command)| match command {
        Command::ReportPlacement { report, .. } => Some(*report),
        _ => None,
    });
    reports.collect()
}

#[test]
fn request_goes_to_the_chosen_engine_and_is_reported() {
    let mut fleet = placing_fleet();
    let (daemon, call, vm, request) = ask(&mut fleet);
    assert_eq!(request.prompt_tokens, 1_000);
    assert_eq!(request.shared_parts, [PromptPart { id: 5, tokens: 900 }]);
    assert!(last_relay(&fleet, daemon).is_none(), "the request waits for the reply");
    let chosen = fleet.cores[daemon].dump(fleet.now).upstreams.remove(2).name;
    reply(&mut fleet, daemon, (vm, request.clone()), Some(&chosen));
    let order = last_relay(&fleet, daemon).expect("the request is sent");
    assert_eq!(order.upstream, chosen);
    let attempt = order.attempt;
    for event in [
        AttemptEvent::HeadReceived(ResponseHead { status: 200, execution: ExecutionStatus::Ran }),
        AttemptEvent::StreamStarted,
    ] {
        fleet.feed(daemon, DaemonEvent::Attempt { attempt, event });
    }
    let time = Duration::from_millis(300);
    fleet.feed(daemon, DaemonEvent::StreamForwarded { call, events: 9, time });
    fleet.feed(daemon, DaemonEvent::Attempt { attempt, event: AttemptEvent::ResponseForwarded });
    let reports = reports(&mut fleet);
    let outcomes: Vec<_> = reports.iter().map(|report| report.outcome).collect();
    assert_eq!(outcomes, [PlacementOutcome::Started, PlacementOutcome::Answered]);
    assert!(reports.iter().all(|report| report.attempt == request.attempt));
    assert_eq!((reports[1].events, reports[1].stream_time), (9, time));
}

/// Guards against refusals because a coordinator is lost, frozen, or too old to know the call, and
/// against a wait of every request for such a coordinator.
#[test]
fn lost_coordinator_is_replaced_by_the_own_choice_for_a_second() {
    let mut fleet = placing_fleet();
    let (daemon, _, vm, request) = ask(&mut fleet);
    fleet.feed(daemon, DaemonEvent::PlacementReplied { vm, request, reply: None });
    assert!(last_relay(&fleet, daemon).is_some(), "the daemon decides by itself");
    let sent = fleet.relays.len();
    submit(&mut fleet, daemon);
    assert_eq!(fleet.relays.len(), sent + 1, "the next request does not wait");
    assert!(fleet.placement_commands.is_empty());
    fleet.run(fleet.now.since_start() + Duration::from_millis(1_100));
    submit(&mut fleet, daemon);
    assert_eq!(fleet.placement_commands.len(), 1, "the coordinator is asked again");
}

/// Guards against a request that is sent after its caller has left, and against a coordinator that
/// counts it until its deadline.
#[test]
fn request_whose_caller_leaves_before_the_reply_is_not_sent() {
    let mut fleet = placing_fleet();
    let (daemon, call, vm, request) = ask(&mut fleet);
    fleet.feed(daemon, DaemonEvent::CallerDisconnected(call));
    reply(&mut fleet, daemon, (vm, request), Some("r2"));
    assert!(last_relay(&fleet, daemon).is_none());
    let outcomes: Vec<_> = reports(&mut fleet).iter().map(|report| report.outcome).collect();
    assert_eq!(outcomes, [PlacementOutcome::Cancelled]);
}

/// Guards against a reply that comes after the deadline.
#[test]
fn request_is_refused_at_its_deadline_while_it_waits_for_a_reply() {
    let mut fleet = placing_fleet();
    let (daemon, call, vm, request) = ask(&mut fleet);
    fleet.run(fleet.now.since_start() + Duration::from_secs(7));
    assert!(fleet.answers.iter().any(|(_, answered, _)| *answered == call));
    reply(&mut fleet, daemon, (vm, request), Some("r2"));
    assert!(last_relay(&fleet, daemon).is_none());
}

/// Guards against an engine that the daemon knows to be unusable, or does not know at all.
#[test]
fn router_has_the_final_decision() {
    let mut fleet = placing_fleet();
    let (daemon, _, vm, request) = ask(&mut fleet);
    reply(&mut fleet, daemon, (vm, request), Some("an engine that has left"));
    let order = last_relay(&fleet, daemon).expect("the daemon chooses by itself");
    let reports = reports(&mut fleet);
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].outcome, PlacementOutcome::NotUsed);
    assert_eq!(reports[0].upstream, order.upstream);
}

/// Guards against a caller with extreme figures: the coordinator would refuse the message and be
/// taken as lost, and sums of tokens would overflow.
#[test]
fn questions_about_extreme_requests_are_accepted() {
    let mut fleet = placing_fleet();
    for daemon in 0..SIZE {
        let parts = (0..1_000).map(|id| PromptPart { id, tokens: u32::MAX }).collect();
        let demand = EngineDemand { parts, prompt_tokens: 1 << 40, output_tokens: 1 << 40 };
        let request = build_with(&mut fleet, "/tell/", demand);
        fleet.submit(daemon, request);
    }
    assert!(!fleet.placement_commands.is_empty());
    for (daemon, command) in std::mem::take(&mut fleet.placement_commands) {
        let Command::PlaceRequest { vm, request } = command else { continue };
        let message = request.to_wire(fleet.now);
        PlacementRequest::from_wire(message, fleet.now).expect("an accepted message");
        reply(&mut fleet, daemon, (vm, request), Some("r2"));
    }
    assert!(!fleet.relays.is_empty());
}

/// Guards against a retry at the engine that has failed.
#[test]
fn retry_asks_again_without_the_failed_engine() {
    let mut fleet = placing_fleet();
    let (daemon, _, vm, request) = ask(&mut fleet);
    let names = fleet.cores[daemon].dump(fleet.now).upstreams;
    reply(&mut fleet, daemon, (vm, request), Some(&names[0].name));
    let attempt = last_relay(&fleet, daemon).expect("the request is sent").attempt;
    fleet.feed(daemon, DaemonEvent::Attempt { attempt, event: AttemptEvent::NotSent });
    let question = fleet.placement_commands.pop();
    let Some((_, Command::PlaceRequest { request, .. })) = question else {
        panic!("the retry asks the coordinator");
    };
    assert_eq!(request.excluded, [names[0].name.clone()]);
}

/// Guards against requests that are admitted with an engine time of idle engines, and against one
/// that is used long after it was measured.
#[test]
fn plans_use_the_measured_time_to_first_event_for_five_seconds() {
    let mut fleet = placing_fleet();
    let (daemon, _, vm, request) = ask(&mut fleet);
    let is_late = |fleet: &mut VirtualFleet| {
        let request = build(fleet, "/digest/");
        let (core, mut commands) = (&fleet.cores[daemon], Vec::new());
        let call = core.open_call(&request.key);
        let event = DaemonEvent::Submitted { call, request: Box::new(request) };
        core.handle(event, fleet.now, &mut commands);
        commands.iter().any(|command| {
            matches!(command, Command::LogStateChange(StateChange::RequestWaits { .. }))
        })
    };
    assert!(!is_late(&mut fleet));
    let first_event = FirstEventTime {
        fixed: Duration::from_millis(300),
        thousand_tokens: Duration::from_millis(600),
    };
    let reply = PlacementReply { first_event: Some(first_event), ..PlacementReply::default() };
    fleet.feed(daemon, DaemonEvent::PlacementReplied { vm, request, reply: Some(reply) });
    assert!(is_late(&mut fleet), "the engine alone takes the 900 ms to the objective");
    fleet.run(fleet.now.since_start() + Duration::from_millis(5_100));
    assert!(!is_late(&mut fleet));
}

#[test]
fn small_fleet_and_unset_switch_ask_nobody() {
    for scheduling in [
        SchedulingSettings { min_daemons: 50, engine_placement: true, ..Default::default() },
        SchedulingSettings { min_daemons: 2, ..Default::default() },
    ] {
        let mut fleet = VirtualFleet::coordinated(SIZE, scheduling, read);
        fleet.published = placing_fleet().published;
        fleet.run(Duration::from_secs(8));
        for daemon in 0..SIZE {
            submit(&mut fleet, daemon);
        }
        assert!(fleet.placement_commands.is_empty());
        assert_eq!(fleet.relays.len(), SIZE);
    }
}
