//! Upstreams as a process: `upstreams NAME=ADDRESS@SERVICE_MS/PIECE_MS/PIECES ...`.

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
    let fault = || format!("{spec}: accepted: NAME=ADDRESS@SERVICE_MS/PIECE_MS/PIECES");
    let (name, rest) = spec.split_once('=').with_context(fault)?;
    let (address, times) = rest.split_once('@').with_context(fault)?;
    let mut numbers = times.split('/').map(str::parse::<u64>);
    let mut next = || numbers.next().and_then(Result::ok).with_context(fault);
    let (service_ms, piece_ms, pieces) = (next()?, next()?, next()?);
    let upstream = UpstreamStandIn::start(name, address.parse().with_context(fault)?)?;
    upstream.set_plan(UpstreamPlan { service_ms, piece_ms, pieces, ..UpstreamPlan::default() });
    Ok(upstream)
}
