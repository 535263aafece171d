use std::net::SocketAddr;

use anyhow::{Context as _, Result};
use crocusdale_core::configuration::LabelSet;
use pico_args::Arguments;
use serde_json::{Value, json};

use super::{CommandEnd, finish};
use crate::http_caller::HttpCaller;
use crate::output::out_line;

pub(crate) const HELP: &str = "\
Usage: crocusctl send --workspace NAME --key KEY [OPTIONS] CALLER_ADDRESS

Sends one request and prints its final answer as JSON.

Options:
  --workspace NAME    workspace of the request
  --key KEY           key, chosen by the caller; the same key is the same request
  --labels A=B,C=D    labels
  --deadline-ms N     deadline, 4000 unless given
  --once              the request must not run more than once
  --payload JSON      what the stages work on, {} unless given

Exit codes: 0 answered, 1 refused, failed or unknown, 2 no answer came or the arguments are bad
";

/// Deadline unless given, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

pub(crate) async fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let workspace: String = arguments.value_from_str("--workspace")?;
    let key: String = arguments.value_from_str("--key")?;
    let labels: Option<String> = arguments.opt_value_from_str("--labels")?;
    let deadline: Option<u64> = arguments.opt_value_from_str("--deadline-ms")?;
    let payload: Option<String> = arguments.opt_value_from_str("--payload")?;
    let once = arguments.contains("--once");
    let address: SocketAddr = arguments.free_from_str().context("CALLER_ADDRESS")?;
    finish(arguments)?;
    let labels = LabelSet::parse(&labels.unwrap_or_default())
        .map_err(|fault| anyhow::anyhow!("--labels: {fault:?}; accepted: pairs A=B,C=D"))?;
    let payload: Value = serde_json::from_str(payload.as_deref().unwrap_or("{}"))
        .context("--payload: accepted: JSON")?;
    let request = json!({
        "workspace": workspace,
        "key": key,
        "labels": labels,
        "deadline_ms": deadline.unwrap_or(DEADLINE_MS),
        "repeatable": !once,
        "payload": payload,
    });
    let caller = HttpCaller::new()?;
    let (status, body) = caller.post(address, "/v1/requests", request.to_string()).await?;
    out_line!("{body}");
    Ok(if status.is_success() { CommandEnd::AsAsked } else { CommandEnd::NotAsAsked })
}
