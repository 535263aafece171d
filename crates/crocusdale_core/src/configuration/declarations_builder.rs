use std::collections::HashMap;
use std::time::Duration;

use super::{
    CallerLimits, Declarations, DeploymentRules, PipelineRules, RouteTable, RoutingPolicy,
    StageRules, WorkspaceRules,
};

/// Builds [`Declarations`] from a configuration that is not written in INI sections.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use crocusdale_core::configuration::DeclarationsBuilder;
///
/// let declarations = DeclarationsBuilder::new("small", Duration::from_secs(1)).build();
/// assert!(!declarations.needs_access());
/// ```
#[derive(Debug)]
pub struct DeclarationsBuilder {
    declarations: Declarations,
}

impl DeclarationsBuilder {
    /// Starts declarations for the deployment `name`, whose callers may cache a list of daemon
    /// addresses for `address_cache_time`.
    #[must_use]
    pub fn new(name: &str, address_cache_time: Duration) -> Self {
        let deployment = DeploymentRules {
            name: name.to_owned(),
            key_life: Duration::ZERO,
            address_cache_time,
            longest_deadline: Duration::MAX,
            attainment_weight: 0.0,
            policy: RoutingPolicy::Adaptive,
        };
        Self {
            declarations: Declarations {
                deployment,
                upstreams: Vec::new(),
                workspaces: HashMap::new(),
                pipelines: Vec::new(),
                stages: HashMap::new(),
                priorities: Vec::new(),
                rules: Vec::new(),
                placements: Vec::new(),
                routes: RouteTable::default(),
                access: HashMap::new(),
                needs_access: false,
                caller_limits: None,
            },
        }
    }

    /// Adds a workspace and the access keys of its callers. From then on, callers need an access
    /// key, even if `keys` is empty.
    ///
    /// Guards against open access after the last access key has been removed: without any key, all
    /// callers must be refused.
    #[must_use]
    pub fn workspace(
        mut self,
        name: &str,
        rules: WorkspaceRules,
        keys: impl IntoIterator<Item = String>,
    ) -> Self {
        self.declarations.needs_access = true;
        for key in keys {
            self.declarations.access.insert(key, name.to_owned());
        }
        self.declarations.workspaces.insert(name.to_owned(), rules);
        self
    }

    /// Adds a stage. Its name is also the name of its pool.
    #[must_use]
    pub fn stage(mut self, name: &str, rules: StageRules) -> Self {
        self.declarations.stages.insert(name.to_owned(), rules);
        self
    }

    /// Adds a pipeline that serves the paths of `host` that start with `prefix`.
    #[must_use]
    pub fn route(mut self, host: &str, prefix: &str, pipeline: PipelineRules) -> Self {
        let position = self.declarations.pipelines.len();
        self.declarations.pipelines.push(pipeline);
        self.declarations.routes.insert(host, prefix, position);
        self
    }

    /// Sets the policy for load balancing and failure handling.
    #[must_use]
    pub fn policy(mut self, policy: RoutingPolicy) -> Self {
        self.declarations.deployment.policy = policy;
        self
    }

    /// Sets the limits for callers.
    #[must_use]
    pub fn caller_limits(mut self, limits: CallerLimits) -> Self {
        self.declarations.caller_limits = Some(limits);
        self
    }

    /// Returns the finished declarations.
    #[must_use]
    pub fn build(self) -> Declarations {
        self.declarations
    }
}
