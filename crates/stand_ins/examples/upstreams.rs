//! Upstreams as a process: `upstreams NAME=ADDRESS@SERVICE_MS[/PIECE_MS] ...`.

use anyhow::{Context as _, Result};
use stand_ins::{UpstreamPlan, UpstreamStandIn};

fn main() -> Result<()> {
    let started: Result<Vec<UpstreamStandIn>> =
        std::env::args().skip(1).map(|spec| start(&spec)).collect();
    let _upstreams = started?;
    loop {
        std::thread::park();
    }
}

fn start(spec: &str) -> Result<UpstreamStandIn> {
    let fault = || format!("{spec}: accepted: NAME=ADDRESS@SERVICE_MS[/PIECE_MS]");
    let (name, rest) = spec.split_once('=').with_context(fault)?;
    let (address, times) = rest.split_once('@').with_context(fault)?;
    let (service, piece) = times.split_once('/').unwrap_or((times, "0"));
    let upstream = UpstreamStandIn::start(name, address.parse().with_context(fault)?)?;
    upstream.set_plan(UpstreamPlan {
        service_ms: service.parse().with_context(fault)?,
        piece_ms: piece.parse().with_context(fault)?,
        pieces: 16,
        ..UpstreamPlan::default()
    });
    Ok(upstream)
}
