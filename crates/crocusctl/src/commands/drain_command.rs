use std::net::SocketAddr;

use anyhow::{Context as _, Result};
use pico_args::Arguments;

use super::{CommandEnd, finish};
use crate::http_caller::HttpCaller;

pub(crate) const HELP: &str = "\
Usage: crocusctl drain OPERATOR_ADDRESS

Asks one daemon to drain, as SIGTERM does: it leaves the address answers, finishes every request
and exits.

Exit codes: 0 it drains, 2 the daemon did not answer or the arguments are bad
";

pub(crate) async fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let address: SocketAddr = arguments.free_from_str().context("OPERATOR_ADDRESS")?;
    finish(arguments)?;
    let (status, body) = HttpCaller::new()?.post(address, "/drain", String::new()).await?;
    print!("{body}");
    Ok(if status.is_success() { CommandEnd::AsAsked } else { CommandEnd::NotAsAsked })
}
