//! Small fakes of what stands around crocusdale: the platform, upstreams, a path that loses its
//! connections, and callers. They run inside a test or, as examples, as processes of their own. A
//! model of a whole fleet runs in virtual time instead, for comparing decisions ([`ModelLoad`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod caller_client;
mod child_process;
mod client_crowd;
mod daemon_fleet;
mod declaration_text;
mod fleet_model;
mod platform_stand_in;
mod process_watch;
mod relay_stand_in;
mod server_thread;
mod trace_replay;
mod upstream_answer;
mod upstream_stand_in;

pub use caller_client::{CallerAnswer, CallerClient, RequestBuilder};
pub use child_process::ChildProcess;
pub use client_crowd::{ClientCrowd, CrowdBody, send_raw};
pub use daemon_fleet::{DaemonFleet, DaemonFleetBuilder, DaemonProcess, free_address, wait_for};
pub use declaration_text::DeclarationText;
pub use fleet_model::{
    CallForming, KindStep, KindTally, ModelBurst, ModelEngines, ModelFault, ModelKind, ModelLoad,
    ModelPool, ModelReport, PoolTally, SizeSpread,
};
pub use platform_stand_in::{PlatformMode, PlatformStandIn};
pub use process_watch::{ProcessWatch, ResourcePeaks};
pub use relay_stand_in::RelayStandIn;
pub use server_thread::ServerThread;
pub use trace_replay::{
    EndedRequest, ReplayTally, TraceLine, judge_replay, read_trace, replay_trace,
};
pub use upstream_stand_in::{UpstreamFault, UpstreamPlan, UpstreamStandIn};
