//! A fleet in virtual time: the real core of every daemon before modelled upstreams.
//!
//! For comparing decisions. There are no sockets and no processes: messages take a fixed time,
//! batched upstreams and engines work as their published descriptions say, and callers come by a
//! seeded load. A run repeats exactly from its seed.

mod batch_model;
mod daemon_commands;
mod engine_model;
mod fleet_run;
mod load_reader;
mod model_callers;
mod model_load;
mod model_report;
mod upstream_turns;

pub use model_load::{
    CallForming, KindStep, ModelBurst, ModelEngines, ModelFault, ModelKind, ModelLoad, ModelPool,
    SizeSpread,
};
pub use model_report::{KindTally, ModelReport, PoolTally};
