//! `crocusctl`: the operator's tool of crocusdale.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod commands;
mod http_caller;
mod output;
mod replay;

use std::process::ExitCode;

use anyhow::Context as _;
use commands::{CommandEnd, CommandName};
use pico_args::Arguments;
use strum::VariantNames as _;

const HELP: &str = "\
crocusctl: the operator's tool of crocusdale

Usage: crocusctl COMMAND [OPTIONS]

Commands:
  check    check declarations or settings
  status   show all daemons in one table
  state    show the state of one daemon
  address  ask which addresses to use
  send     send one request
  outcome  ask what became of a request
  drain    ask one daemon to drain
  replay   replay a recorded trace against its stated outcomes

  crocusctl COMMAND --help tells more. Results go to standard output, errors to standard error.

Exit codes: 0 done as asked, 1 the answer is not what was asked for, 2 bad arguments or input
";

/// Exit code for bad arguments or input.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(CommandEnd::AsAsked) => ExitCode::SUCCESS,
        Ok(CommandEnd::NotAsAsked) => ExitCode::FAILURE,
        Ok(CommandEnd::BadInput) => ExitCode::from(BAD_INPUT),
        Err(error) => {
            eprintln!("crocusctl: {error:#}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn run() -> anyhow::Result<CommandEnd> {
    let mut arguments = Arguments::from_env();
    let Some(word) = arguments.subcommand()? else {
        if arguments.contains("--version") {
            println!("crocusctl {}", env!("CARGO_PKG_VERSION"));
        } else {
            print!("{HELP}");
        }
        return Ok(CommandEnd::AsAsked);
    };
    let known = CommandName::VARIANTS.join(", ");
    let command: CommandName =
        word.parse().with_context(|| format!("unknown command {word:?}; one of {known}"))?;
    if arguments.contains("--help") {
        print!("{}", command.help());
        return Ok(CommandEnd::AsAsked);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(command.run(arguments))
}
