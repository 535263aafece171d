use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_schema::sections::DECLARATIONS;

use super::section_reader::{CheckedSection, ErrorCollector, read_sections};
use crate::identity::SoftwareVersion;
use crate::orders::EngineOrder;

use super::{
    AllowedRegions, CallerLimits, ColdRules, ConfigurationError, ConfigurationErrorKind,
    ForwardRules, LabelSelector, LabelSet, PoolKind, RouteTable, StagePlan,
};

/// Priority level of requests that match no `[priority]` section.
const DEFAULT_LEVEL: u8 = 5;

/// Validated declarations of the operators: the configuration of the whole deployment.
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
    /// Names of workspaces by the access keys of their callers.
    pub(super) access: HashMap<String, String>,
    /// Whether callers need an access key. Stays `true` when no access key exists any more.
    pub(super) needs_access: bool,
    pub(super) caller_limits: Option<CallerLimits>,
}

/// Configuration of the whole deployment.
#[derive(Clone, Debug)]
pub struct DeploymentRules {
    /// Name of the deployment.
    pub name: String,
    /// Time for which the idempotency key of a request that must run at most once is remembered.
    pub key_life: Duration,
    /// Time for which callers may cache a list of daemon addresses.
    pub address_cache_time: Duration,
    /// Maximum deadline of a request, as a time from its arrival.
    pub longest_deadline: Duration,
    /// Weight of meeting the latency objective against the cost of the stages.
    pub attainment_weight: f64,
    /// Policy for load balancing and failure handling.
    pub policy: RoutingPolicy,
}

/// Policy for load balancing and failure handling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RoutingPolicy {
    /// Load balancing by observed latency, outlier ejection, concurrency limits, load shedding and
    /// a retry budget.
    #[default]
    Adaptive,
    /// Round robin without limits and with up to three unconditional retries. It is the baseline in
    /// benchmarks of the adaptive policy.
    Baseline,
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamKind {
    /// The upstream generates tokens with a model.
    ModelEngine,
    /// The upstream runs a stage of a pipeline, such as encoding, retrieval or reranking.
    StagePool,
    /// The upstream is a customer's own service. Some of its requests must not be repeated.
    PlainService,
}

/// Configuration of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRules {
    /// Unique name of the upstream.
    pub name: String,
    /// Identifier that the process of the upstream expects in requests. Equal to `name` unless the
    /// platform publishes another one.
    pub process: String,
    /// Name of the VM that runs the upstream.
    pub vm: String,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Labels that selectors are matched against.
    pub labels: LabelSet,
    /// Maximum number of concurrent calls.
    pub concurrency: u32,
    /// Version of the upstream's software. `None` if it is not known.
    pub software_version: Option<SoftwareVersion>,
}

/// Configuration of one workspace, which holds the requests of one customer.
#[derive(Clone, Debug)]
pub struct WorkspaceRules {
    /// Labels that selectors are matched against.
    pub labels: LabelSet,
    /// Maximum number of concurrent requests of the workspace in each daemon.
    pub concurrency: u32,
    /// Priority level of forwarded requests, which overrides the level of the pipeline. `None` if
    /// the level of the pipeline applies.
    pub level: Option<u8>,
    /// Regions in which forwarded requests may be processed.
    pub allowed_regions: AllowedRegions,
}

/// Configuration of one pipeline.
#[derive(Clone, Debug)]
pub struct PipelineRules {
    /// Unique name of the pipeline.
    pub name: String,
    /// Condition on the labels of the requests that the pipeline serves.
    pub when: LabelSelector,
    /// Steps of the pipeline and their dependencies.
    pub plan: StagePlan,
    /// Whether requests may run more than once.
    pub repeatable: bool,
    /// Configuration of the last step if it forwards the request of the caller. `None` for
    /// pipelines of JSON calls.
    pub forward: Option<ForwardRules>,
}

/// Configuration of one stage.
#[derive(Clone, Debug)]
pub struct StageRules {
    /// Upstreams that serve the stage, as positions in [`Declarations::upstreams`].
    pub pool: Vec<usize>,
    /// URL path of the calls to the upstreams.
    pub path: String,
    /// Whether the upstreams answer with a stream.
    pub stream: bool,
    /// Maximum time for which an attempt may wait for data from the upstream.
    pub silence: Duration,
    /// Cost of one second of processing at an upstream, in any unit that all stages share.
    pub cost: f64,
    /// Kind of calls that the upstreams accept.
    pub kind: PoolKind,
    /// Maximum number of connections that one upstream accepts from all daemons together. `None`
    /// for no limit.
    pub connections: Option<u32>,
    /// Cold start of the upstreams. `None` if they accept the full load at once.
    pub cold: Option<ColdRules>,
}

impl StageRules {
    /// Creates a stage whose upstreams are published by the platform instead of declared, and which
    /// is not a JSON call.
    #[must_use]
    pub fn published(kind: PoolKind, connections: Option<u32>) -> Self {
        Self {
            pool: Vec::new(),
            path: String::new(),
            stream: false,
            // A forwarded request has no idle timeout of its own. Its deadline ends it.
            silence: Duration::MAX,
            cost: 0.0,
            kind,
            connections,
            cold: None,
        }
    }

    /// Sets the cold start of the upstreams.
    #[must_use]
    pub fn cold(mut self, rules: Option<ColdRules>) -> Self {
        self.cold = rules;
        self
    }
}

/// Priority level for requests with matching labels.
#[derive(Clone, Debug)]
pub struct PriorityRules {
    /// Condition on the labels of the requests.
    pub when: LabelSelector,
    /// Priority level, where 0 is the most urgent.
    pub level: u8,
}

/// Limits for requests with matching labels.
#[derive(Clone, Debug)]
pub struct RequestRule {
    /// Unique name of the rule.
    pub name: String,
    /// Condition on the labels of the requests that the rule applies to.
    pub when: LabelSelector,
    /// Maximum deadline, as a time from the arrival of the request. `None` for no limit.
    pub deadline: Option<Duration>,
    /// Maximum number of concurrent matching requests in each daemon. `None` for no limit.
    pub concurrency: Option<u32>,
}

/// Model that matching engines must load.
#[derive(Clone, Debug)]
pub struct PlacementRules {
    /// Condition on the labels of the engines.
    pub upstreams: LabelSelector,
    /// Order for the engines. Its fencing token is replaced by the configuration revision in force.
    pub order: EngineOrder,
}

impl Declarations {
    /// Parses and validates `text` completely. The result depends on the text alone, so that all
    /// daemons accept or reject the same texts. `file` names the source in errors.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with the file, the section, the key and the accepted values.
    pub fn check(file: &str, text: &str) -> Result<Self, Vec<ConfigurationError>> {
        let mut errors = ErrorCollector::new(file);
        let sections = read_sections(DECLARATIONS, text, &mut errors);
        let deployment = read_deployment(&sections, &mut errors);
        let upstreams = read_upstreams(&sections, &mut errors);
        let stages = read_stages(&sections, &upstreams, &mut errors);
        let pipelines = read_pipelines(&sections, &stages, &mut errors);
        let sections_of =
            |kind: &'static str| sections.iter().filter(move |section| section.spec.name == kind);
        errors.finish(Self {
            deployment,
            upstreams,
            workspaces: sections_of("workspace").map(read_workspace).collect(),
            pipelines,
            stages,
            priorities: sections_of("priority").map(read_priority).collect(),
            rules: sections_of("rule").map(read_rule).collect(),
            placements: sections_of("placement").map(read_placement).collect(),
            routes: RouteTable::default(),
            access: HashMap::new(),
            needs_access: false,
            caller_limits: None,
        })
    }

    /// Configuration of the whole deployment.
    #[must_use]
    pub fn deployment(&self) -> &DeploymentRules {
        &self.deployment
    }

    /// All upstreams, in the order of their declaration.
    #[must_use]
    pub fn upstreams(&self) -> &[UpstreamRules] {
        &self.upstreams
    }

    /// Configuration of the workspace `name`, or `None` if it is not declared.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&WorkspaceRules> {
        self.workspaces.get(name)
    }

    /// Pipeline that serves `path` on `host`, or `None` if no route matches.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&PipelineRules> {
        self.routes.find(host, path).map(|position| &self.pipelines[position])
    }

    /// Whether callers of forwarded requests need an access key.
    #[must_use]
    pub fn needs_access(&self) -> bool {
        self.needs_access
    }

    /// Declared limits for callers, or `None` if the process settings apply.
    #[must_use]
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.caller_limits
    }

    /// Name of the workspace that the access key `key` belongs to, or `None` if the key is unknown.
    #[must_use]
    pub fn workspace_for_access_key(&self, key: &str) -> Option<&str> {
        self.access.get(key).map(String::as_str)
    }

    /// Number of declared workspaces.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    /// Configuration of the stage `name`, or `None` if it is not declared.
    #[must_use]
    pub fn stage(&self, name: &str) -> Option<&StageRules> {
        self.stages.get(name)
    }

    /// Names and configurations of all stages, in no particular order.
    pub fn stages(&self) -> impl Iterator<Item = (&str, &StageRules)> {
        self.stages.iter().map(|(name, stage)| (name.as_str(), stage))
    }

    /// All pipelines, in the order of their declaration.
    #[must_use]
    pub fn pipelines(&self) -> &[PipelineRules] {
        &self.pipelines
    }

    /// First declared pipeline that serves requests with `labels`, or `None` if there is none.
    #[must_use]
    pub fn pipeline_for(&self, labels: &LabelSet) -> Option<&PipelineRules> {
        self.pipelines.iter().find(|pipeline| pipeline.when.matches(labels))
    }

    /// Most urgent priority level that matches requests with `labels`, or the default level.
    #[must_use]
    pub fn level_for(&self, labels: &LabelSet) -> u8 {
        let matching = self.priorities.iter().filter(|priority| priority.when.matches(labels));
        matching.map(|priority| priority.level).min().unwrap_or(DEFAULT_LEVEL)
    }

    /// First declared placement that applies to engines with `labels`, or `None` if there is none.
    #[must_use]
    pub fn placement_for(&self, labels: &LabelSet) -> Option<&PlacementRules> {
        self.placements.iter().find(|placement| placement.upstreams.matches(labels))
    }

    /// All rules that apply to requests with `labels`.
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
        address_cache_time: section.duration("address_hold_ms").unwrap_or_default(),
        longest_deadline: section.duration("longest_deadline_ms").unwrap_or_default(),
        attainment_weight: section.get("attainment_weight").unwrap_or_default(),
        policy: section.get("policy").unwrap_or_default(),
    };
    // Guards against a duplicate run: if a register expired while its request could still be
    // dispatched, a second daemon could run the same key. No request is dispatched after its
    // deadline, so a key lifetime above the maximum deadline is enough.
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
            software_version: Some(SoftwareVersion::default()),
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
        allowed_regions: AllowedRegions::default(),
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
