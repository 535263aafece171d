//! Due times of batched steps that run in parallel with a chain of others.

use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::{
    AllowedRegions, BatchRules, DeclarationsBuilder, EngineRules, ForwardRules, LabelSelector,
    LabelSet, PipelineRules, PlanStep, PoolKind, RepeatRule, StagePlan, StageRules, StepWork,
    WeightedPool,
};
use crocusdale_core::identity::{MonotonicTime, RequestDigest, RequestKey};
use crocusdale_core::pipeline::{
    CallerRequest, ForwardHead, RequestContent, RequestPlan, StepForecast, StepProgress,
};

/// Positions of the step beside the chain, and of the chain's first step.
const SIDE: usize = 3;
const FIRST: usize = 0;
/// Time of one batched step of one piece, and of the engine's step, in milliseconds.
const STEP_MS: u64 = 200;
const ENGINE_MS: u64 = 250;
const CHAIN_MS: u64 = 3 * STEP_MS;

/// A chain of three batched steps beside a single one, all before an engine.
fn plan(objective_ms: u64, delay_ms: u64) -> RequestPlan {
    let batch = BatchRules {
        slots: 1,
        pieces: 1,
        call_time: Duration::from_millis(STEP_MS),
        piece_time: Duration::ZERO,
        result_bytes: 50_000_000,
        result_lifetime: Duration::from_secs(4),
    };
    let batched = |after| PlanStep {
        stage: "scan".to_owned(),
        after,
        work: StepWork::Batched { result_bytes: 1_000 },
    };
    let engine =
        PlanStep { stage: "reader".to_owned(), after: vec![2, 3], work: StepWork::Forward };
    let steps = vec![batched(vec![]), batched(vec![0]), batched(vec![1]), batched(vec![]), engine];
    let rules = PipelineRules {
        name: "digest".to_owned(),
        when: LabelSelector::default(),
        plan: StagePlan::new(steps).expect("a plan"),
        repeatable: true,
        forward: Some(ForwardRules {
            repeat: RepeatRule::Idempotent,
            timeout: Duration::from_secs(6),
            objective: Duration::from_millis(objective_ms),
            level: 0,
            attempts: 2,
            pools: vec![WeightedPool { pool: "reader".to_owned(), weight: 1 }],
            public: true,
            allowed_regions: AllowedRegions::default(),
        }),
    };
    let engines = PoolKind::Engine(EngineRules { slots: 64, token_memory: 500_000 });
    let declarations = DeclarationsBuilder::new("test", Duration::from_secs(1))
        .stage("scan", StageRules::published(PoolKind::Batch(batch), None))
        .stage("reader", StageRules::published(engines, None))
        .route("mail.example", "/", rules)
        .build();
    let head = ForwardHead {
        host: "mail.example".to_owned(),
        path: "/digest".to_owned(),
        content: RequestDigest::of(&[b"digest"]),
        access: None,
        pieces: vec![1; 4],
        piece_source: "envelope".to_owned(),
        demand: None,
    };
    let request = CallerRequest {
        key: RequestKey::new("", "try-1"),
        labels: LabelSet::default(),
        deadline: Duration::from_secs(6),
        repeatable: true,
        stream: false,
        age: Duration::ZERO,
        ticket: None,
        content: RequestContent::Forward(Box::new(head)),
    };
    let built = RequestPlan::build(request, &Arc::new(declarations), at(0));
    let mut plan = built.expect("a pipeline serves the request");
    plan.queueing_delays = vec![Duration::from_millis(delay_ms); 4];
    plan
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn due(plan: &RequestPlan, position: usize) -> MonotonicTime {
    StepForecast::new(plan, |_| StepProgress::Waiting, at(0)).due(plan, position)
}

/// Guards against a side step that is scheduled by the latest time at which it may end: the chain
/// has reached the join long before.
#[test]
fn side_step_is_due_when_the_chain_ends() {
    let plan = plan(1_800, 0);
    assert_eq!(plan.target_end(SIDE), at(1_800 - ENGINE_MS));
    assert_eq!(due(&plan, SIDE), at(CHAIN_MS));
    assert_eq!(due(&plan, FIRST), plan.target_end(FIRST), "the chain keeps the time it may use");
}

/// Under load, the chain ends later by its queueing delays, and so may the side step.
#[test]
fn side_step_is_due_later_if_the_chain_queues() {
    assert_eq!(due(&plan(1_800, 100), SIDE), at(CHAIN_MS + 3 * 100));
}

/// Guards against the side step of a late request that is due in the past: it would be ordered
/// behind all other work, and the chain would wait for it at the join. The chain itself stays
/// late, so that it doesn't displace requests that can be on time.
#[test]
fn side_step_of_a_late_request_is_due_when_the_chain_ends() {
    let plan = plan(500, 0);
    assert_eq!(due(&plan, SIDE), at(CHAIN_MS));
    assert_eq!(due(&plan, FIRST), plan.target_end(FIRST));
}

/// The due time of a step that starts late follows from the time that the chain has left.
#[test]
fn side_step_that_starts_late_is_due_at_the_end_of_the_rest() {
    let plan = plan(1_800, 0);
    let progress = |position| match position {
        0 => StepProgress::Done,
        1 => StepProgress::Started(at(300)),
        _ => StepProgress::Waiting,
    };
    let forecast = StepForecast::new(&plan, progress, at(350));
    assert_eq!(forecast.due(&plan, SIDE), at(300 + 2 * STEP_MS));
}
