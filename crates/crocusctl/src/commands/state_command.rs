use std::net::SocketAddr;

use anyhow::{Context as _, Result};
use pico_args::Arguments;
use serde_json::Value;

use super::{CommandEnd, finish};
use crate::http_caller::HttpCaller;
use crate::output::out_line;

pub(crate) const HELP: &str = "\
Usage: crocusctl state [--json] OPERATOR_ADDRESS

Shows the state of one daemon.

Options:
  --json  print it as the daemon gave it

Exit codes: 0 shown, 2 the daemon did not answer or the arguments are bad
";

pub(crate) async fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let json = arguments.contains("--json");
    let address: SocketAddr = arguments.free_from_str().context("OPERATOR_ADDRESS")?;
    finish(arguments)?;
    let body = HttpCaller::new()?.get(address, "/state").await?;
    if json {
        out_line!("{body}");
    } else {
        let state: Value = serde_json::from_str(&body).context("reading the state")?;
        print_value("", &state);
    }
    Ok(CommandEnd::AsAsked)
}

/// Prints each leaf as `path = value`, and lists of plain objects as one line each.
fn print_value(path: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                print_value(&path, field);
            }
        }
        Value::Array(items) if items.is_empty() => out_line!("{path} = (none)"),
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                out_line!("{path}[{index}] = {item}");
            }
        }
        leaf => out_line!("{path} = {leaf}"),
    }
}
