//! Process settings and operator declarations, which are validated completely before use, and the
//! configuration revision in force.

mod abandon_rules;
mod allowed_regions;
mod caller_limits;
mod configuration_error;
mod configuration_ledger;
mod declarations;
mod declarations_builder;
mod forward_rules;
mod label_selector;
mod label_set;
mod process_settings;
mod route_table;
mod scheduling_settings;
mod section_reader;
mod stage_plan;

pub use abandon_rules::AbandonRules;
pub use allowed_regions::{AllowedRegions, RegionMap};
pub use caller_limits::CallerLimits;
pub use configuration_error::{ConfigurationError, ConfigurationErrorKind};
pub use configuration_ledger::{
    ActiveConfiguration, ConfigurationLedger, DeclarationReader, LedgerVerdict,
};
pub use declarations::{
    Declarations, DeploymentRules, PipelineRules, PlacementRules, PriorityRules, RequestRule,
    RoutingPolicy, StageRules, UpstreamKind, UpstreamRules, WorkspaceRules,
};
pub use declarations_builder::DeclarationsBuilder;
pub use forward_rules::{
    BatchRules, ColdRules, EngineRules, ForwardRules, PoolKind, RepeatRule, WeightedPool,
};
pub use label_selector::LabelSelector;
pub use label_set::LabelSet;
pub use process_settings::{
    LimitSettings, LogFormat, MembershipSettings, PlatformSettings, ProcessSettings,
    PublishedSettings,
};
pub use route_table::RouteTable;
pub use scheduling_settings::SchedulingSettings;
pub use stage_plan::{PlanStep, StagePlan, StepWork};

/// Maximum size of the text of settings or declarations, in bytes.
pub const DECLARATIONS_LIMIT: usize = 1 << 20;
