//! Test support: the plan of a request whose first steps are a chain and a step beside it.

use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::{
    AllowedRegions, BatchRules, DeclarationsBuilder, EngineRules, ForwardRules, LabelSelector,
    LabelSet, PipelineRules, PlanStep, PoolKind, RepeatRule, StagePlan, StageRules, StepWork,
    WeightedPool,
};
use crocusdale_core::identity::{MonotonicTime, RequestDigest, RequestKey};
use crocusdale_core::pipeline::{CallerRequest, ForwardHead, RequestContent, RequestPlan};

/// Positions of the step beside the chain, and of the chain's first step.
pub const SIDE: usize = 3;
pub const FIRST: usize = 0;
/// Time of one batched step of one piece, and of the engine's step, in milliseconds.
pub const STEP_MS: u64 = 200;
pub const ENGINE_MS: u64 = 250;
pub const CHAIN_MS: u64 = 3 * STEP_MS;

/// A chain of three batched steps beside a single one, all before an engine.
pub fn plan(objective_ms: u64, delay_ms: u64) -> RequestPlan {
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
            gap_target: Duration::ZERO,
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
        resumed: None,
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

pub fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}
