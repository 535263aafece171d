//! Core logic of crocusdale as a deterministic state machine: it uses no sockets, no clock and no
//! unseeded randomness.
//!
//! [`DaemonCore`] takes events and the current time, and returns commands that its caller executes.
//! The daemon process executes them over the network. Tests execute them in virtual time.
//!
//! * [`identity`]: identifiers of processes, requests and attempts; hashes; monotonic time.
//! * [`configuration`]: validated settings and declarations, and the revision in force.
//! * [`memory`]: memory and descriptors that callers may take.
//! * [`membership`]: the VM list, heartbeats and gossip, addresses for callers, and the witnesses
//!   of a request key.
//! * [`claims`]: at-most-once execution of requests by idempotency key, and proof of whether a key
//!   ran.
//! * [`tickets`]: proof of the age of an idempotency key by the clock of a single process.
//! * [`admission`]: limits on concurrent requests, and load shedding.
//! * [`batching`]: calls to upstreams that pieces of many requests share.
//! * [`routing`]: choice of the upstream for each attempt.
//! * [`placement`]: choice of model engines for all daemons by one coordinator.
//! * [`orders`]: desired state of model engines, and the daemon that sends it.
//! * [`quarantine`]: quarantine of requests that crash the upstreams which run them.
//! * [`rate_limiting`]: rate limits for upstreams that announce how many requests per second they
//!   accept.
//! * [`reachability`]: pools that this daemon can't connect to over its own links.
//! * [`retry`]: retry budgets.
//! * [`pipeline`]: execution of a single request through its stages.
//! * [`streams`]: streams that go on where they began, whichever daemon takes them up.
//! * [`sync`]: locking that tolerates poisoned mutexes.
//! * [`wire`]: conversions between core types and the messages that daemons exchange.
//! * [`daemon`]: the state machine that combines all other modules.
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
pub mod memory;
pub mod orders;
pub mod pipeline;
pub mod placement;
pub mod quarantine;
pub mod rate_limiting;
pub mod reachability;
pub mod retry;
pub mod routing;
pub mod streams;
pub mod sync;
pub mod tickets;
pub mod wire;

pub use daemon::{DaemonCore, DaemonCoreBuilder, DiscoverySettings};
