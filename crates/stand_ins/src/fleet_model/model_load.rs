use std::time::Duration;

use crocusdale_core::configuration::{
    AllowedRegions, BatchRules, Declarations, DeclarationsBuilder, EngineRules, ForwardRules,
    LabelSelector, LabelSet, PipelineRules, PlanStep, PoolKind, RepeatRule, RoutingPolicy,
    StagePlan, StageRules, StepWork, WeightedPool, WorkspaceRules,
};

/// Host that all requests of the model name.
pub(super) const HOST: &str = "model.example";

/// Who forms the calls of a batched pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum CallForming {
    /// Each daemon from its own requests: daemons know nothing of each other.
    EachDaemon,
    /// One dispatcher for each pool.
    OneDispatcher,
}

/// A batched pool.
#[derive(Clone, Debug)]
pub struct ModelPool {
    /// Its name.
    pub name: String,
    /// Number of upstreams.
    pub upstreams: usize,
    /// What they are like.
    pub rules: BatchRules,
}

/// A pool of model engines.
#[derive(Clone, Debug)]
pub struct ModelEngines {
    /// Its name.
    pub name: String,
    /// Number of engines.
    pub upstreams: usize,
    /// What they are like to the core.
    pub rules: EngineRules,
    /// Time of a step that only one request is in.
    pub step: Duration,
    /// What each further running request adds to a step.
    pub step_each: Duration,
    /// Prompt tokens that are read in a millisecond.
    pub prompt_speed: f64,
    /// Prompt tokens that one step reads at most.
    pub chunk: u64,
    /// Generated tokens of one event.
    pub event_tokens: u64,
}

/// How a size varies from request to request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizeSpread {
    /// Its mean, before the limit.
    pub mean: f64,
    /// Standard deviation of its logarithm; 0 for a fixed size.
    pub spread: f64,
    /// Its limit.
    pub most: f64,
}

/// A batched step of a kind of request.
#[derive(Clone, Debug)]
pub struct KindStep {
    /// Pool that works on it.
    pub pool: String,
    /// Pieces of a request.
    pub pieces: SizeSpread,
    /// Share of the requests that need it, from 0 to 1.
    pub share: f64,
    /// Size of one result, in bytes.
    pub bytes: u64,
    /// Time of one piece against the pool's.
    pub work: f64,
    /// Steps whose results it needs.
    pub after: Vec<usize>,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct ModelKind {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub rate: f64,
    /// Time within which the first event should come.
    pub objective: Duration,
    /// Time after which the caller leaves.
    pub deadline: Duration,
    /// Priority level.
    pub level: u8,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Events of an answer.
    pub events: SizeSpread,
    /// Tokens of a prompt that belong to the request alone.
    pub prompt: SizeSpread,
    /// First parts of prompts, and the tokens of one.
    pub roots: (usize, u32),
    /// Subjects, and the tokens of the part of one.
    pub subjects: (usize, u32),
    /// Exponent by which some subjects are asked for more often than others.
    pub skew: f64,
    /// Its batched steps.
    pub steps: Vec<KindStep>,
}

/// More requests for a time.
#[derive(Clone, Debug)]
pub struct ModelBurst {
    /// Its first second.
    pub from: f64,
    /// Its last second.
    pub to: f64,
    /// Requests against the ordinary rate.
    pub factor: f64,
    /// The only kind in it, if it is not all.
    pub kind: Option<String>,
    /// The only workspace in it, if it is not all.
    pub workspace: Option<usize>,
}

/// Something that fails for a time.
#[derive(Clone, Debug)]
pub struct ModelFault {
    /// Its first second.
    pub from: f64,
    /// Its last second.
    pub to: f64,
    /// Daemons that are killed, and started again at its end.
    pub daemons: usize,
    /// Upstreams that work this many times as long, by pool.
    pub slow: Option<(String, usize, f64)>,
}

/// A load on a fleet, and the fleet.
#[derive(Clone, Debug)]
pub struct ModelLoad {
    /// The text that it was read from, which is the configuration of the daemons too.
    pub(super) text: String,
    /// Batched pools.
    pub pools: Vec<ModelPool>,
    /// Pools of engines.
    pub engines: Vec<ModelEngines>,
    /// Kinds of request.
    pub kinds: Vec<ModelKind>,
    /// Bursts.
    pub bursts: Vec<ModelBurst>,
    /// Faults.
    pub faults: Vec<ModelFault>,
    /// Daemons.
    pub daemons: usize,
    /// Availability zones.
    pub zones: usize,
    /// Seconds of traffic.
    pub seconds: f64,
    /// Workspaces; the first has the most requests, the next half of that, and so on by their rank.
    pub workspaces: usize,
    /// Mean number of requests that come together.
    pub clump: f64,
    /// How engines are chosen.
    pub policy: RoutingPolicy,
}

impl ModelLoad {
    /// Adds a burst of all kinds.
    #[must_use]
    pub fn burst(mut self, from: f64, to: f64, factor: f64) -> Self {
        self.bursts.push(ModelBurst { from, to, factor, kind: None, workspace: None });
        self
    }

    /// Adds a burst of one workspace.
    #[must_use]
    pub fn flood(mut self, from: f64, to: f64, factor: f64, workspace: usize) -> Self {
        let workspace = Some(workspace);
        self.bursts.push(ModelBurst { from, to, factor, kind: None, workspace });
        self
    }

    /// Adds a fault.
    #[must_use]
    pub fn fault(mut self, fault: ModelFault) -> Self {
        self.faults.push(fault);
        self
    }

    /// Chooses engines by `policy`.
    #[must_use]
    pub fn policy(mut self, policy: RoutingPolicy) -> Self {
        self.policy = policy;
        self.text = format!("{}\n[router]\npolicy = {policy}\n", self.text);
        self
    }

    /// Requests against the ordinary rate of `kind` and `workspace`.
    pub(super) fn factor(&self, second: f64, kind: &ModelKind, workspace: usize) -> f64 {
        let running = self.bursts.iter().filter(|burst| {
            (burst.from..burst.to).contains(&second)
                && burst.kind.as_ref().is_none_or(|only| *only == kind.name)
                && burst.workspace.is_none_or(|only| only == workspace)
        });
        running.map(|burst| burst.factor).product()
    }

    /// The kind of request that is called `name`.
    pub(super) fn kind(&self, position: usize) -> &ModelKind {
        &self.kinds[position]
    }

    /// What daemons are told of the pools and the kinds of request.
    pub(super) fn declarations(&self) -> Declarations {
        let mut builder =
            DeclarationsBuilder::new("model", Duration::from_secs(1)).policy(self.policy);
        for pool in &self.pools {
            let kind = PoolKind::Batch(pool.rules);
            builder = builder.stage(&pool.name, StageRules::published(kind, None));
        }
        for engines in &self.engines {
            let kind = PoolKind::Engine(engines.rules);
            builder = builder.stage(&engines.name, StageRules::published(kind, None));
        }
        for workspace in 0..self.workspaces {
            let rules = WorkspaceRules {
                labels: LabelSet::default(),
                concurrency: u32::MAX,
                level: None,
                allowed_regions: AllowedRegions::default(),
            };
            let name = workspace_name(workspace);
            builder = builder.workspace(&name, rules, [name.clone()]);
        }
        let engines = self.engines.first().map(|each| each.name.clone()).unwrap_or_default();
        for kind in &self.kinds {
            builder = builder.route(HOST, &kind.path(), kind.pipeline(&engines));
        }
        builder.build()
    }
}

impl ModelKind {
    /// Path of its requests.
    pub(super) fn path(&self) -> String {
        format!("/{}/", self.name)
    }

    fn pipeline(&self, engines: &str) -> PipelineRules {
        let batched = self.steps.iter().map(|step| PlanStep {
            stage: step.pool.clone(),
            after: step.after.clone(),
            work: StepWork::Batched { result_bytes: step.bytes },
        });
        let mut steps: Vec<PlanStep> = batched.collect();
        // The last step needs the results that no other step needs.
        let needed = |position: &usize| steps.iter().all(|step| !step.after.contains(position));
        let after = (0..steps.len()).filter(needed).collect();
        steps.push(PlanStep { stage: engines.to_owned(), after, work: StepWork::Forward });
        PipelineRules {
            name: self.name.clone(),
            when: LabelSelector::default(),
            plan: StagePlan::new(steps).expect("the reader checks the order of steps"),
            repeatable: self.repeat.is_repeatable(),
            forward: Some(ForwardRules {
                repeat: self.repeat,
                timeout: self.deadline,
                objective: self.objective,
                gap_target: Duration::ZERO,
                level: self.level,
                attempts: 2,
                pools: vec![WeightedPool { pool: engines.to_owned(), weight: 1 }],
                public: false,
                allowed_regions: AllowedRegions::default(),
            }),
        }
    }
}

/// Name, and access key, of a workspace.
pub(super) fn workspace_name(workspace: usize) -> String {
    format!("w{workspace}")
}
