//! Decisions of crocusdale, without sockets, clocks or unseeded randomness.
//!
//! Events and the current time go in, commands come out; whoever embeds [`DaemonCore`] carries the
//! commands out. The daemon does so over the network, tests do so in virtual time.
//!
//! * [`identity`]: names, incarnations, request keys, time.
//! * [`configuration`]: settings and declarations, checked wholly; which revision is in force.
//! * [`membership`]: the VM list, heartbeats, addresses for callers, witnesses of a key.
//! * [`claims`]: at most one run per key, and honest answers about it.
//! * [`tickets`]: proof of a request's age by the clock of one process.
//! * [`admission`]: limits on what runs at one time.
//! * [`batching`]: calls that pieces of many requests share.
//! * [`routing`]: which upstream gets an attempt.
//! * [`orders`]: what model engines must hold, and who tells them.
//! * [`quarantine`]: requests that crash their upstreams.
//! * [`rate_limiting`]: upstreams that name how many requests a second they take.
//! * [`retry`]: when an attempt may be repeated.
//! * [`pipeline`]: the life of one request through its stages.
//! * [`sync`]: the one way of taking a lock.
//! * [`wire`]: conversions from and to messages between daemons.
//! * [`daemon`]: all of it behind one pair of events and commands.
//!
//! # Examples
//!
//! ```
//! use crocusdale_core::configuration::Declarations;
//!
//! let text = "[deployment]\nname = small\n";
//! let declarations = Declarations::check("small.ini", text).expect("accepted");
//! assert_eq!(declarations.deployment().name, "small");
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod batching;
pub mod claims;
pub mod configuration;
pub mod daemon;
pub mod identity;
pub mod membership;
pub mod orders;
pub mod pipeline;
pub mod quarantine;
pub mod rate_limiting;
pub mod retry;
pub mod routing;
pub mod sync;
pub mod tickets;
pub mod wire;

pub use daemon::{DaemonCore, DaemonCoreBuilder, DiscoverySettings};
