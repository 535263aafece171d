//! Stand-ins of the platform, its workers and its clients for the cases of the review.
//!
//! `rig CASE FOLDER` plays a case and writes `record.txt` into its folder. It exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case couldn't run. With `TROUBLE=0` in the environment
//! it does the same without the disruption.

mod extra_answer;
mod fleet;
mod http;
mod odd_key;
mod slow_reader;
mod store;

use std::fs::File;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What was sent, answered and run, with the time since the start in seconds.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// What a case gets from its caller.
pub struct Setup {
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub trouble: bool,
    /// Temporary folder for settings and logs.
    pub directory: PathBuf,
}

/// Result of a case: whether the rule was broken, or why the case couldn't run.
pub type Verdict = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the temporary folder can be written");
    let file =
        File::create(Path::new(folder).join("record.txt")).expect("the folder can be written");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record { file: Mutex::new(file), started: Instant::now() };
    record
        .line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let setup = Setup { record: Arc::new(record), trouble, directory: directory.clone() };
    let verdict = match case.as_str() {
        "slow_reader" => slow_reader::play(&setup),
        "odd_key" => odd_key::play(&setup),
        "extra_answer" => extra_answer::play(&setup),
        _ => Err(format!("no case is called {case}")),
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&directory);
    }
    let (text, code) = match verdict {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(cause) => (format!("the case couldn't run: {cause}"), 2),
    };
    setup.record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
