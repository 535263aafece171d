use std::net::SocketAddr;

use anyhow::{Context as _, Result};
use pico_args::Arguments;

use super::{CommandEnd, finish};
use crate::http_caller::HttpCaller;
use crate::output::out_line;

pub(crate) const HELP: &str = "\
Usage: crocusctl address [--caller NAME] [--zone ZONE] CALLER_ADDRESS

Asks a daemon which addresses to use, best first, and prints them with the time in milliseconds
for which the answer may be kept, as JSON.

Options:
  --caller NAME  caller that asks; the order differs from caller to caller
  --zone ZONE    zone of the caller; without it, that of the daemon

Exit codes: 0 answered, 2 the daemon did not answer or the arguments are bad
";

pub(crate) async fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let name: Option<String> = arguments.opt_value_from_str("--caller")?;
    let zone: Option<String> = arguments.opt_value_from_str("--zone")?;
    let address: SocketAddr = arguments.free_from_str().context("CALLER_ADDRESS")?;
    finish(arguments)?;
    let mut path = format!("/v1/addresses?caller={}", name.unwrap_or_default());
    if let Some(zone) = zone {
        path = format!("{path}&zone={zone}");
    }
    out_line!("{}", HttpCaller::new()?.get(address, &path).await?);
    Ok(CommandEnd::AsAsked)
}
