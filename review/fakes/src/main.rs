//! Stand-ins of the second review, and its scripted cases.
//!
//! `fakes CASE FOLDER` runs one case. It needs the environment variable `DAEMON`, the path of the
//! daemon's program, and writes `record.txt` into FOLDER. It exits with 0 if the rule held, 1 if it
//! was broken, and 2 if the case could not run.

mod daemons;
mod http;
mod json;
mod omitted_stage;
mod readers;
mod record;
mod stages;
mod store;
mod unframed_exit;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: fakes CASE FOLDER");
        return ExitCode::from(2);
    };
    if case == "reader-process" {
        return match unframed_exit::serve_reader(folder) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let program = PathBuf::from(std::env::var("DAEMON").unwrap_or_default());
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let outcome = start(case, Path::new(folder), &program, &temporary, trouble);
    let _ = std::fs::remove_dir_all(&temporary);
    match outcome {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::FAILURE
        }
        Err(cause) => {
            println!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

fn start(
    case: &str,
    folder: &Path,
    program: &Path,
    temporary: &Path,
    trouble: bool,
) -> Result<bool, String> {
    let record = Record::create(&folder.join("record.txt")).map_err(|error| error.to_string())?;
    std::fs::create_dir_all(temporary).map_err(|error| error.to_string())?;
    record.line(format_args!("case {case}, trouble: {trouble}"));
    match case {
        "omitted-stage" => omitted_stage::run(program, temporary, &record, trouble),
        "unframed-exit" => unframed_exit::run(program, temporary, &record, trouble),
        "unframed-frozen" => unframed_exit::run_frozen(program, temporary, &record, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}
