use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Context as _, Result};
use crocusdale_core::configuration::Declarations;
use pico_args::Arguments;

use super::{CommandEnd, finish};
use crate::http_caller::HttpCaller;
use crate::output::out_line;
use crate::replay::{DirectCaller, ReplayReport, ReplayRun, ReplayTarget, TraceFile};

pub(crate) const HELP: &str = "\
Usage: crocusctl replay [OPTIONS] TRACE CALLER_ADDRESS...

Replays a trace in open loop: each request starts at its time, whether or not earlier ones have
ended, and its latency counts from that time. Callers ask the given daemons for addresses and keep
the answers for as long as they may. Each answer is held against what the trace states.

A line of a trace is a JSON object: at_ms, request (as sent by callers), expect (list of outcomes)
and contains (text that the answer must hold).

Options:
  --speed FACTOR         replay faster or slower; 1 unless given
  --repeat N             replay N times in a row, with fresh keys; 1 unless given
  --direct DECLARATIONS  then call the stages directly as well, and print what the system adds
  --callers N            number of distinct callers; 16 unless given

Exit codes: 0 every outcome was as stated, 1 not so, 2 bad arguments or input
";

/// Distinct callers unless given.
const CALLERS: usize = 16;

pub(crate) async fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let speed: f64 = arguments.opt_value_from_str("--speed")?.unwrap_or(1.0);
    let repeat: u32 = arguments.opt_value_from_str("--repeat")?.unwrap_or(1);
    let callers: usize = arguments.opt_value_from_str("--callers")?.unwrap_or(CALLERS);
    let direct: Option<PathBuf> = arguments.opt_value_from_str("--direct")?;
    let path: PathBuf = arguments.free_from_str().context("TRACE")?;
    let mut daemons: Vec<SocketAddr> = Vec::new();
    while let Some(address) = arguments.opt_free_from_str()? {
        daemons.push(address);
    }
    finish(arguments)?;
    anyhow::ensure!(speed > 0.0 && callers > 0, "--speed and --callers: accepted: more than 0");
    anyhow::ensure!(!daemons.is_empty(), "no CALLER_ADDRESS; see --help");
    let trace = TraceFile::read(&path)?.repeated(repeat).at_speed(speed);
    let caller = HttpCaller::new()?;
    let target = ReplayTarget::through_system(caller.clone(), daemons, callers);
    let report = ReplayRun::new(trace.clone(), target).run().await;
    out_line!("through the system");
    report.print();
    if let Some(path) = direct {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(&path).with_context(|| format!("reading {name}"))?;
        let declarations =
            Declarations::check(&name, &text).map_err(|errors| anyhow::anyhow!("{}", errors[0]))?;
        let target = ReplayTarget::Direct(Box::new(DirectCaller::new(caller, declarations)));
        let baseline = ReplayRun::new(trace, target).run().await;
        out_line!("\nstages called directly");
        baseline.print();
        print_added(&report, &baseline);
    }
    let wrong = report.wrong();
    for line in wrong.iter().take(20) {
        eprintln!("crocusctl: {line}");
    }
    Ok(if wrong.is_empty() { CommandEnd::AsAsked } else { CommandEnd::NotAsAsked })
}

fn print_added(report: &ReplayReport, baseline: &ReplayReport) {
    for quantile in [0.5, 0.99] {
        let added = report.latency_ms(quantile) - baseline.latency_ms(quantile);
        out_line!("added by the system at p{:.0}: {added:.2} ms", quantile * 100.0);
    }
}
