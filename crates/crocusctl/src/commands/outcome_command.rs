use std::net::SocketAddr;

use anyhow::{Context as _, Result};
use pico_args::Arguments;

use super::{CommandEnd, finish};
use crate::http_caller::HttpCaller;
use crate::output::out_line;

pub(crate) const HELP: &str = "\
Usage: crocusctl outcome --workspace NAME --key KEY [--age-ms N] CALLER_ADDRESS

Asks any daemon what became of a request that must not be repeated, and prints the final answer
as JSON. If it never ran, it never will after this question.

Options:
  --workspace NAME  workspace of the request
  --key KEY         its key
  --age-ms N        time since the key was first sent; without it a refusal can't be proved

Exit codes: 0 it was answered, 1 it was refused, failed or is unknown, 2 no answer came or the
arguments are bad
";

pub(crate) async fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let workspace: String = arguments.value_from_str("--workspace")?;
    let key: String = arguments.value_from_str("--key")?;
    let age: Option<u64> = arguments.opt_value_from_str("--age-ms")?;
    let address: SocketAddr = arguments.free_from_str().context("CALLER_ADDRESS")?;
    finish(arguments)?;
    let mut path = format!("/v1/outcomes?workspace={workspace}&key={key}");
    if let Some(age) = age {
        path = format!("{path}&age_ms={age}");
    }
    let (status, body) = HttpCaller::new()?.ask(address, &path).await?;
    out_line!("{body}");
    Ok(if status.is_success() { CommandEnd::AsAsked } else { CommandEnd::NotAsAsked })
}
