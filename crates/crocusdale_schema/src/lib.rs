//! Schema of everything that crosses a process boundary of crocusdale.
//!
//! The `.proto` files under `proto/` are the source; `src/generated/` is written from them by
//! `cargo run -p crocusdale_schema --example generate` and committed, so that a build needs no
//! generator. A test compares the two.
//!
//! * [`peer`]: messages between daemons, and with the feature `rpc` their tonic service.
//! * [`spec`]: the shape of the tables that describe settings and declarations.
//! * [`sections`]: those tables.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod spec;

#[allow(clippy::all, missing_docs, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/crocusdale.peer.v1.rs"]
pub mod peer;

#[rustfmt::skip]
#[path = "generated/sections.rs"]
pub mod sections;
