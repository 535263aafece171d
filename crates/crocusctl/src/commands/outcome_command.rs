use std::net::SocketAddr;

use anyhow::{Context as _, Result};
use pico_args::Arguments;

use super::{CommandEnd, finish};
use crate::http_caller::HttpCaller;

pub(crate) const HELP: &str = "\
Usage: crocusctl outcome --workspace NAME --key KEY CALLER_ADDRESS

Asks any daemon what became of a request that must not be repeated, and prints the final answer
as JSON. If it never ran, it never will after this question.

Exit codes: 0 it was answered, 1 it was refused, failed or is unknown, 2 no answer came or the
arguments are bad
";

pub(crate) async fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let workspace: String = arguments.value_from_str("--workspace")?;
    let key: String = arguments.value_from_str("--key")?;
    let address: SocketAddr = arguments.free_from_str().context("CALLER_ADDRESS")?;
    finish(arguments)?;
    let path = format!("/v1/outcomes?workspace={workspace}&key={key}");
    let (status, body) = HttpCaller::new()?.ask(address, &path).await?;
    println!("{body}");
    Ok(if status.is_success() { CommandEnd::AsAsked } else { CommandEnd::NotAsAsked })
}
