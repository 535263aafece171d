//! The commands, one a file.

mod address_command;
mod check_command;
mod drain_command;
mod outcome_command;
mod replay_command;
mod send_command;
mod state_command;
mod status_command;

use anyhow::Result;
use pico_args::Arguments;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandEnd {
    /// It did what was asked.
    AsAsked,
    /// The answer is not what was asked for.
    NotAsAsked,
    /// The input is wrong.
    BadInput,
}

/// Names of the commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::VariantNames)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CommandName {
    Check,
    Status,
    State,
    Address,
    Send,
    Outcome,
    Drain,
    Replay,
}

impl CommandName {
    /// Text of `--help`.
    pub(crate) fn help(self) -> &'static str {
        match self {
            Self::Check => check_command::HELP,
            Self::Status => status_command::HELP,
            Self::State => state_command::HELP,
            Self::Address => address_command::HELP,
            Self::Send => send_command::HELP,
            Self::Outcome => outcome_command::HELP,
            Self::Drain => drain_command::HELP,
            Self::Replay => replay_command::HELP,
        }
    }

    /// Runs the command.
    pub(crate) async fn run(self, arguments: Arguments) -> Result<CommandEnd> {
        match self {
            Self::Check => check_command::run(arguments),
            Self::Status => status_command::run(arguments).await,
            Self::State => state_command::run(arguments).await,
            Self::Address => address_command::run(arguments).await,
            Self::Send => send_command::run(arguments).await,
            Self::Outcome => outcome_command::run(arguments).await,
            Self::Drain => drain_command::run(arguments).await,
            Self::Replay => replay_command::run(arguments).await,
        }
    }
}

/// Refuses arguments that nobody asked for.
pub(crate) fn finish(arguments: Arguments) -> Result<()> {
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}; see --help");
    Ok(())
}
