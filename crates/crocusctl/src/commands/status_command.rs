use std::net::SocketAddr;

use anyhow::{Context as _, Result};
use crocusdale_core::membership::VmList;
use pico_args::Arguments;
use serde_json::Value;

use super::{CommandEnd, finish};
use crate::http_caller::HttpCaller;
use crate::output::out_line;

/// Number of engines that are listed.
const MAX_PRINTED_ENGINES: usize = 10;

pub(crate) const HELP: &str = "\
Usage: crocusctl status --vm-list ADDRESS
       crocusctl status --operator ADDRESS...

Shows all daemons in one table: revision in force, peers that they see alive, whether they are
ready or leaving, their load, upstreams that they know to be cold, and availability zones that they
know to be evacuated. Below it, the slowest engines that placement coordinators know, by their time
as a multiple of the mean of their pool.

Options:
  --vm-list ADDRESS   take the daemons from the platform's VM list
  --operator ADDRESS  operator address of one daemon; may stand several times

Exit codes: 0 all daemons answered and have one revision in force, 1 not so, 2 bad arguments
";

pub(crate) async fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let list: Option<SocketAddr> = arguments.opt_value_from_str("--vm-list")?;
    let operators: Vec<SocketAddr> = arguments.values_from_str("--operator")?;
    finish(arguments)?;
    let caller = HttpCaller::new()?;
    let mut daemons: Vec<(String, SocketAddr)> =
        operators.into_iter().map(|address| (address.to_string(), address)).collect();
    if let Some(list) = list {
        let roster: VmList = serde_json::from_str(&caller.get(list, "/vms?known=0").await?)
            .context("reading the VM list")?;
        let entries = roster.entries().filter_map(|vm| Some((vm.name.clone(), vm.operator?)));
        daemons.extend(entries);
    }
    anyhow::ensure!(!daemons.is_empty(), "no daemon; see --help");
    out_line!(
        "{:<18} {:>8} {:<16} {:>5} {:>5} {:<8} {:>7} {:>7} {:>5} {}",
        "vm",
        "revision",
        "digest",
        "peers",
        "alive",
        "state",
        "running",
        "waiting",
        "cold",
        "evacuated"
    );
    let (mut positions, mut engines) = (Vec::new(), Vec::new());
    for (name, address) in &daemons {
        match caller.get(*address, "/state").await {
            Ok(body) => {
                let state: Value = serde_json::from_str(&body)?;
                positions.push(print_row(name, &state));
                engines.extend(state["engine_speeds"].as_array().cloned().unwrap_or_default());
            }
            Err(error) => {
                out_line!("{name:<18} unreachable");
                eprintln!("crocusctl: {error:#}");
            }
        }
    }
    print_slowest_engines(engines);
    let answered = positions.len() == daemons.len();
    let agreed = positions.windows(2).all(|pair| pair[0] == pair[1]);
    Ok(if answered && agreed { CommandEnd::AsAsked } else { CommandEnd::NotAsAsked })
}

/// Prints the slowest of the engines that placement coordinators know.
fn print_slowest_engines(mut engines: Vec<Value>) {
    let speed = |engine: &Value| engine["speed"].as_f64().unwrap_or_default();
    engines.sort_by(|left, right| speed(right).total_cmp(&speed(left)));
    if !engines.is_empty() {
        out_line!("\n{:<18} {:<24} {:>6} {:>5}", "section", "engine", "speed", "open");
    }
    for engine in engines.iter().take(MAX_PRINTED_ENGINES) {
        let name = |key: &str| engine[key].as_str().unwrap_or_default().to_owned();
        let (section, upstream) = (name("section"), name("engine"));
        out_line!("{section:<18} {upstream:<24} {:>6.2} {:>5}", speed(engine), engine["open"]);
    }
}

/// Prints the row of one daemon; gives what it has in force.
fn print_row(name: &str, state: &Value) -> (u64, String) {
    let members = state["members"].as_array().map(Vec::as_slice).unwrap_or_default();
    let alive = members.iter().filter(|member| member["status"] == "alive").count();
    let waiting = state["waiting"].as_array().map(Vec::as_slice).unwrap_or_default();
    let waiting: u64 = waiting.iter().filter_map(|pair| pair[1].as_u64()).sum();
    let upstreams = state["upstreams"].as_array().map(Vec::as_slice).unwrap_or_default();
    let cold = upstreams.iter().filter(|upstream| upstream["cold"] == true).count();
    let zones = state["evacuated_zones"].as_array().map(Vec::as_slice).unwrap_or_default();
    let evacuated = zones.iter().filter_map(Value::as_str).collect::<Vec<_>>().join(",");
    let word = match (state["leaving"].as_bool(), state["ready"].as_bool()) {
        (Some(true), _) => "leaving",
        (_, Some(true)) => "ready",
        _ => "starting",
    };
    let revision = state["revision"].as_u64().unwrap_or_default();
    let digest = state["digest"].as_str().unwrap_or_default().to_owned();
    out_line!(
        "{name:<18} {revision:>8} {digest:<16} {:>5} {alive:>5} {word:<8} {:>7} {waiting:>7} {cold:>5} \
         {evacuated}",
        state["peers"],
        state["running"],
    );
    (revision, digest)
}
