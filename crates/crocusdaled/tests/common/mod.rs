//! A small deployment of real daemons and stand-ins.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use stand_ins::{DaemonFleet, DaemonFleetBuilder, DeclarationText, UpstreamStandIn, free_address};

/// Life of a key in the declarations of these tests.
pub const KEY_LIFE: Duration = Duration::from_millis(3_000);
/// Time within which something that is due at once must have happened on a busy machine.
pub const SOON: Duration = Duration::from_secs(10);

/// Upstreams of a small deployment, two for each stage.
pub struct Upstreams {
    pub encode: Vec<UpstreamStandIn>,
    pub retrieve: Vec<UpstreamStandIn>,
    pub rerank: Vec<UpstreamStandIn>,
    pub generate: Vec<UpstreamStandIn>,
    pub shred: Vec<UpstreamStandIn>,
}

impl Upstreams {
    pub fn start() -> Result<Self> {
        Ok(Self {
            encode: pair("encode")?,
            retrieve: pair("retrieve")?,
            rerank: pair("rerank")?,
            generate: pair("generate")?,
            shred: pair("shred")?,
        })
    }

    /// Declarations that name all of them.
    pub fn declare(&self, mut text: DeclarationText) -> DeclarationText {
        for (stage, upstreams) in self.stages() {
            for (index, upstream) in upstreams.iter().enumerate() {
                text = text.upstream(&format!("{stage}-{index}"), stage, upstream.address());
            }
        }
        text
    }

    pub fn stages(&self) -> [(&'static str, &[UpstreamStandIn]); 5] {
        [
            ("encode", &self.encode),
            ("retrieve", &self.retrieve),
            ("rerank", &self.rerank),
            ("generate", &self.generate),
            ("shred", &self.shred),
        ]
    }

    /// Times that the shred order `key` was run, in all.
    pub fn shred_runs(&self, key: &str) -> u64 {
        self.shred.iter().map(|upstream| upstream.runs("mail", key)).sum()
    }
}

/// Two upstreams at hosts of their own.
///
/// Guards against a port that another test's server takes once its upstream has ended, on the host that
/// all share: the daemons' requests reach that server, which breaks off, and an order is unknown where
/// its connection should have been refused.
fn pair(name: &str) -> Result<Vec<UpstreamStandIn>> {
    let start = |index| UpstreamStandIn::start(&format!("{name}-{index}"), free_address()?);
    (0..2).map(start).collect()
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A fleet of `size` daemons, not yet started.
pub fn fleet(size: usize) -> DaemonFleetBuilder {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    DaemonFleetBuilder::new(binary, env!("CARGO_TARGET_TMPDIR")).size(size)
}

/// Upstreams and a fleet of `size` daemons that knows them.
pub async fn deployment(size: usize) -> Result<(Upstreams, DaemonFleet)> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let fleet = fleet(size).configuration(text).start().await?;
    Ok((upstreams, fleet))
}
