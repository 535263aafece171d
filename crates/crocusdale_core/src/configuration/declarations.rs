use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_schema::sections::DECLARATIONS;

use super::section_reader::{CheckedSection, ErrorCollector, read_sections};
use crate::orders::EngineOrder;

use super::{
    CallerLimits, ColdRules, ConfigurationError, ConfigurationErrorKind, ForwardRules, HomeRegions,
    LabelSelector, LabelSet, PoolKind, RouteTable, StagePlan,
};

/// Priority level of a request that no priority matches.
const DEFAULT_LEVEL: u8 = 5;

/// What operators declare, checked wholly.
#[derive(Clone, Debug)]
pub struct Declarations {
    pub(super) deployment: DeploymentRules,
    pub(super) upstreams: Vec<UpstreamRules>,
    pub(super) workspaces: HashMap<String, WorkspaceRules>,
    pub(super) pipelines: Vec<PipelineRules>,
    pub(super) stages: HashMap<String, StageRules>,
    pub(super) priorities: Vec<PriorityRules>,
    pub(super) rules: Vec<RequestRule>,
    pub(super) placements: Vec<PlacementRules>,
    pub(super) routes: RouteTable,
    /// Workspaces by the access keys of their callers.
    pub(super) access: HashMap<String, String>,
    /// Whether callers need access keys, also while no key is left.
    pub(super) needs_access: bool,
    pub(super) caller_limits: Option<CallerLimits>,
}

/// What holds for the whole deployment.
#[derive(Clone, Debug)]
pub struct DeploymentRules {
    /// Name of the deployment.
    pub name: String,
    /// How long a key of a not repeatable request is remembered.
    pub key_life: Duration,
    /// How long a caller may keep an address answer.
    pub address_hold: Duration,
    /// Longest deadline that a request may ask for.
    pub longest_deadline: Duration,
    /// Weight of attainment against cost by stage.
    pub attainment_weight: f64,
    /// How upstreams are chosen and failures met.
    pub policy: RoutingPolicy,
}

/// How upstreams are chosen and failures met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RoutingPolicy {
    /// Learned times, ejection, limits, early refusals and a retry budget.
    #[default]
    Adaptive,
    /// Round robin, no limits and three blind retries: what the adaptive policy is measured against.
    Baseline,
}

/// Kind of back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamKind {
    /// Generates tokens.
    ModelEngine,
    /// Encodes, retrieves or reranks.
    StagePool,
    /// Does work of the customer's, some of which may not be repeated.
    PlainService,
}

/// One back end.
#[derive(Clone, Debug)]
pub struct UpstreamRules {
    /// Name of the upstream.
    pub name: String,
    /// Identity that its process answers to; the name unless the platform publishes another.
    pub process: String,
    /// VM on which it runs.
    pub vm: String,
    /// Availability zone.
    pub zone: String,
    /// Kind of back end.
    pub kind: UpstreamKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Labels for selectors.
    pub labels: LabelSet,
    /// Calls that it takes at one time.
    pub concurrency: u32,
}

/// One customer's space.
#[derive(Clone, Debug)]
pub struct WorkspaceRules {
    /// Labels for selectors.
    pub labels: LabelSet,
    /// Requests that may run at one time in each daemon.
    pub concurrency: u32,
    /// Priority level of its forwarded requests, which goes before that of the pipeline.
    pub level: Option<u8>,
    /// Regions in which its forwarded requests may be worked on.
    pub homes: HomeRegions,
}

/// One pipeline.
#[derive(Clone, Debug)]
pub struct PipelineRules {
    /// Name of the pipeline.
    pub name: String,
    /// Requests that it serves.
    pub when: LabelSelector,
    /// Order of its stages.
    pub plan: StagePlan,
    /// Whether its requests may ever run twice.
    pub repeatable: bool,
    /// What holds if the pipeline ends in a forwarded request.
    pub forward: Option<ForwardRules>,
}

/// One stage.
#[derive(Clone, Debug)]
pub struct StageRules {
    /// Upstreams that serve it, as positions in [`Declarations::upstreams`].
    pub pool: Vec<usize>,
    /// Path that is called on the upstream.
    pub path: String,
    /// Whether the upstream answers as a stream.
    pub stream: bool,
    /// How long one attempt may be silent.
    pub silence: Duration,
    /// Cost of one second of an upstream's time.
    pub cost: f64,
    /// How its upstreams take work.
    pub kind: PoolKind,
    /// Connections that one upstream accepts, of all daemons together.
    pub connections: Option<u32>,
    /// How its upstreams start, if they are cold at first.
    pub cold: Option<ColdRules>,
}

impl StageRules {
    /// A stage whose upstreams are published, not declared, and that is no JSON call.
    #[must_use]
    pub fn published(kind: PoolKind, connections: Option<u32>) -> Self {
        Self {
            pool: Vec::new(),
            path: String::new(),
            stream: false,
            // The silence of an upstream is no reason to end a forwarded request sooner.
            silence: Duration::MAX,
            cost: 0.0,
            kind,
            connections,
            cold: None,
        }
    }

    /// Sets how its upstreams start.
    #[must_use]
    pub fn cold(mut self, rules: Option<ColdRules>) -> Self {
        self.cold = rules;
        self
    }
}

/// One priority.
#[derive(Clone, Debug)]
pub struct PriorityRules {
    /// Requests that have it.
    pub when: LabelSelector,
    /// Level, 0 is the most urgent.
    pub level: u8,
}

/// One rule for matching requests.
#[derive(Clone, Debug)]
pub struct RequestRule {
    /// Name of the rule.
    pub name: String,
    /// Requests that it governs.
    pub when: LabelSelector,
    /// Longest deadline.
    pub deadline: Option<Duration>,
    /// Requests that may run at one time in each daemon.
    pub concurrency: Option<u32>,
}

/// What some engines must hold.
#[derive(Clone, Debug)]
pub struct PlacementRules {
    /// Engines that it governs.
    pub upstreams: LabelSelector,
    /// What they must hold; its fencing number is that of the revision in force.
    pub order: EngineOrder,
}

impl Declarations {
    /// Checks `text` wholly; the same text gives the same verdict in every process.
    ///
    /// # Errors
    ///
    /// Returns every error found, each naming file, section, key and the accepted form.
    pub fn check(file: &str, text: &str) -> Result<Self, Vec<ConfigurationError>> {
        let mut errors = ErrorCollector::new(file);
        let sections = read_sections(DECLARATIONS, text, &mut errors);
        let deployment = read_deployment(&sections, &mut errors);
        let upstreams = read_upstreams(&sections, &mut errors);
        let stages = read_stages(&sections, &upstreams, &mut errors);
        let pipelines = read_pipelines(&sections, &stages, &mut errors);
        let of = |word: &'static str| sections.iter().filter(move |each| each.spec.name == word);
        errors.finish(Self {
            deployment,
            upstreams,
            workspaces: of("workspace").map(read_workspace).collect(),
            pipelines,
            stages,
            priorities: of("priority").map(read_priority).collect(),
            rules: of("rule").map(read_rule).collect(),
            placements: of("placement").map(read_placement).collect(),
            routes: RouteTable::default(),
            access: HashMap::new(),
            needs_access: false,
            caller_limits: None,
        })
    }

    /// What holds for the whole deployment.
    #[must_use]
    pub fn deployment(&self) -> &DeploymentRules {
        &self.deployment
    }

    /// All upstreams in declared order.
    #[must_use]
    pub fn upstreams(&self) -> &[UpstreamRules] {
        &self.upstreams
    }

    /// The workspace `name`.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&WorkspaceRules> {
        self.workspaces.get(name)
    }

    /// The pipeline that serves `path` of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&PipelineRules> {
        self.routes.find(host, path).map(|position| &self.pipelines[position])
    }

    /// Whether callers of forwarded requests need access keys.
    #[must_use]
    pub fn needs_access(&self) -> bool {
        self.needs_access
    }

    /// What callers may send, if that is declared.
    #[must_use]
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.caller_limits
    }

    /// The workspace whose callers have the access key `key`.
    #[must_use]
    pub fn workspace_of_access(&self, key: &str) -> Option<&str> {
        self.access.get(key).map(String::as_str)
    }

    /// Number of workspaces.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    /// The stage `name`.
    #[must_use]
    pub fn stage(&self, name: &str) -> Option<&StageRules> {
        self.stages.get(name)
    }

    /// All stages with their names.
    pub fn stages(&self) -> impl Iterator<Item = (&str, &StageRules)> {
        self.stages.iter().map(|(name, stage)| (name.as_str(), stage))
    }

    /// All pipelines in declared order.
    #[must_use]
    pub fn pipelines(&self) -> &[PipelineRules] {
        &self.pipelines
    }

    /// First pipeline that serves requests with `labels`.
    #[must_use]
    pub fn pipeline_for(&self, labels: &LabelSet) -> Option<&PipelineRules> {
        self.pipelines.iter().find(|pipeline| pipeline.when.matches(labels))
    }

    /// Priority level of requests with `labels`.
    #[must_use]
    pub fn level_for(&self, labels: &LabelSet) -> u8 {
        let matching = self.priorities.iter().filter(|priority| priority.when.matches(labels));
        matching.map(|priority| priority.level).min().unwrap_or(DEFAULT_LEVEL)
    }

    /// First placement that governs engines with `labels`.
    #[must_use]
    pub fn placement_for(&self, labels: &LabelSet) -> Option<&PlacementRules> {
        self.placements.iter().find(|placement| placement.upstreams.matches(labels))
    }

    /// Rules that govern requests with `labels`.
    pub fn rules_for<'a>(&'a self, labels: &'a LabelSet) -> impl Iterator<Item = &'a RequestRule> {
        self.rules.iter().filter(|rule| rule.when.matches(labels))
    }
}

fn read_deployment(
    sections: &[CheckedSection],
    errors: &mut ErrorCollector<'_>,
) -> DeploymentRules {
    let spec = &DECLARATIONS[0];
    debug_assert_eq!(spec.name, "deployment");
    let empty = CheckedSection::empty(spec);
    let found = sections.iter().find(|section| section.spec.name == spec.name);
    if found.is_none() {
        let accepted = "a section [deployment]";
        errors.report(ConfigurationErrorKind::MissingSection, ("deployment", ""), "", accepted);
    }
    let section = found.unwrap_or(&empty);
    let rules = DeploymentRules {
        name: section.owned("name"),
        key_life: section.duration("key_life_ms").unwrap_or_default(),
        address_hold: section.duration("address_hold_ms").unwrap_or_default(),
        longest_deadline: section.duration("longest_deadline_ms").unwrap_or_default(),
        attainment_weight: section.get("attainment_weight").unwrap_or_default(),
        policy: section.get("policy").unwrap_or_default(),
    };
    // A register that is forgotten while its request may still be dispatched would let a second
    // daemon run the same key: it shows as a doubled run. A life longer than every deadline holds
    // because no request is dispatched after its deadline.
    if rules.key_life <= rules.longest_deadline {
        let accepted =
            format!("more than longest_deadline_ms ({})", rules.longest_deadline.as_millis());
        let found = rules.key_life.as_millis().to_string();
        let place = ("deployment", "key_life_ms");
        errors.report(ConfigurationErrorKind::BadValue, place, &found, accepted);
    }
    rules
}

fn read_upstreams(
    sections: &[CheckedSection],
    errors: &mut ErrorCollector<'_>,
) -> Vec<UpstreamRules> {
    let mut addresses = HashSet::new();
    let mut upstreams = Vec::new();
    for section in sections.iter().filter(|section| section.spec.name == "upstream") {
        let (Some(address), Some(kind)) = (section.get("address"), section.get("kind")) else {
            continue;
        };
        if !addresses.insert(address) {
            let place = (section.header.as_str(), "address");
            let accepted = "an address that no other upstream has";
            errors.report(
                ConfigurationErrorKind::BadValue,
                place,
                &section.owned("address"),
                accepted,
            );
        }
        upstreams.push(UpstreamRules {
            name: section.name.clone(),
            process: section.name.clone(),
            vm: section.owned("vm"),
            zone: section.owned("zone"),
            kind,
            address,
            labels: section.labels("labels"),
            concurrency: section.get("concurrency").unwrap_or(1),
        });
    }
    upstreams
}

fn read_stages(
    sections: &[CheckedSection],
    upstreams: &[UpstreamRules],
    errors: &mut ErrorCollector<'_>,
) -> HashMap<String, StageRules> {
    let mut stages = HashMap::new();
    for section in sections.iter().filter(|section| section.spec.name == "stage") {
        let selector = section.selector("pool");
        let matching = upstreams.iter().enumerate();
        let pool: Vec<usize> = matching
            .filter(|(_, upstream)| selector.matches(&upstream.labels))
            .map(|(position, _)| position)
            .collect();
        if pool.is_empty() && section.text("pool").is_some() {
            let place = (section.header.as_str(), "pool");
            let accepted = "a selector that matches the labels of at least one upstream";
            errors.report(
                ConfigurationErrorKind::DanglingName,
                place,
                &section.owned("pool"),
                accepted,
            );
        }
        let stage = StageRules {
            pool,
            path: section.owned("path"),
            stream: section.flag("stream"),
            silence: section.duration("silence_ms").unwrap_or_default(),
            cost: section.get("cost").unwrap_or_default(),
            kind: PoolKind::Plain,
            connections: None,
            cold: None,
        };
        stages.insert(section.name.clone(), stage);
    }
    stages
}

fn read_pipelines(
    sections: &[CheckedSection],
    stages: &HashMap<String, StageRules>,
    errors: &mut ErrorCollector<'_>,
) -> Vec<PipelineRules> {
    let mut pipelines = Vec::new();
    for section in sections.iter().filter(|section| section.spec.name == "pipeline") {
        let Some(Ok(plan)) = section.text("stages").map(StagePlan::parse) else { continue };
        for stage in plan.stages().filter(|stage| !stages.contains_key(*stage)) {
            let place = (section.header.as_str(), "stages");
            let accepted = format!("declared stages; add a section [stage {stage}]");
            errors.report(ConfigurationErrorKind::DanglingName, place, stage, accepted);
        }
        pipelines.push(PipelineRules {
            name: section.name.clone(),
            when: section.selector("when"),
            plan,
            repeatable: section.flag("repeatable"),
            forward: None,
        });
    }
    pipelines
}

fn read_workspace(section: &CheckedSection) -> (String, WorkspaceRules) {
    let rules = WorkspaceRules {
        labels: section.labels("labels"),
        concurrency: section.get("concurrency").unwrap_or(1),
        level: None,
        homes: HomeRegions::default(),
    };
    (section.name.clone(), rules)
}

fn read_priority(section: &CheckedSection) -> PriorityRules {
    let level = section.get("level").unwrap_or(DEFAULT_LEVEL);
    PriorityRules { when: section.selector("when"), level }
}

fn read_rule(section: &CheckedSection) -> RequestRule {
    RequestRule {
        name: section.name.clone(),
        when: section.selector("when"),
        deadline: section.duration("deadline_ms"),
        concurrency: section.get("concurrency"),
    }
}

fn read_placement(section: &CheckedSection) -> PlacementRules {
    let order = EngineOrder {
        fence: 0,
        model: section.owned("model"),
        version: section.owned("version"),
        adapter: section.text("adapter").map(str::to_owned),
        role: section.get("role").unwrap_or_default(),
    };
    PlacementRules { upstreams: section.selector("upstreams"), order }
}
