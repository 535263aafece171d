use std::path::PathBuf;

use anyhow::{Context as _, Result};
use crocusdale_core::configuration::{ConfigurationError, Declarations, ProcessSettings};
use pico_args::Arguments;

use super::{CommandEnd, finish};
use crate::output::out_line;

pub(crate) const HELP: &str = "\
Usage: crocusctl check [--settings] [--json] FILE...

Checks declarations wholly, as a daemon does before it takes them into force, and prints every
error with file, section, key, what was found and what is accepted.

Options:
  --settings  the files are process settings, not declarations
  --json      print the errors as JSON, one a line

Exit codes: 0 all files are right, 2 a file is wrong or can't be read
";

pub(crate) fn run(mut arguments: Arguments) -> Result<CommandEnd> {
    let (settings, json) = (arguments.contains("--settings"), arguments.contains("--json"));
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(file) = arguments.opt_free_from_str()? {
        files.push(file);
    }
    finish(arguments)?;
    anyhow::ensure!(!files.is_empty(), "no file; see --help");
    let mut wrong = false;
    for file in files {
        let name = file.display().to_string();
        let bytes = std::fs::read(&file).with_context(|| format!("reading {name}"))?;
        let text = String::from_utf8_lossy(&bytes);
        match check(&name, &text, settings) {
            Ok(summary) if json => eprintln!("{summary}"),
            Ok(summary) => out_line!("{summary}"),
            Err(errors) => {
                wrong = true;
                print_errors(&errors, json)?;
            }
        }
    }
    Ok(if wrong { CommandEnd::BadInput } else { CommandEnd::AsAsked })
}

fn check(name: &str, text: &str, settings: bool) -> Result<String, Vec<ConfigurationError>> {
    if settings {
        let settings = ProcessSettings::check(name, text)?;
        return Ok(format!("{name}: right: VM {} in zone {}", settings.vm, settings.zone));
    }
    let declarations = Declarations::check(name, text)?;
    Ok(format!(
        "{name}: right: {} with {} upstreams, {} workspaces, {} pipelines",
        declarations.deployment().name,
        declarations.upstreams().len(),
        declarations.workspace_count(),
        declarations.pipelines().len(),
    ))
}

fn print_errors(errors: &[ConfigurationError], json: bool) -> Result<()> {
    for error in errors {
        if json {
            out_line!("{}", serde_json::to_string(error)?);
        } else {
            eprintln!("{error}");
        }
    }
    Ok(())
}
