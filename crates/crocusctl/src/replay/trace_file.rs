use std::path::Path;

use anyhow::{Context as _, Result};
use crocusdale_core::pipeline::{OutcomeKind, SubmittedRequest};
use serde::Deserialize;

/// Pause between two repetitions of a trace, in milliseconds.
const PAUSE_MS: f64 = 10.0;

/// One request of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TraceLine {
    /// Time of its start, in milliseconds from the start of the trace.
    pub(crate) at_ms: f64,
    /// The request.
    pub(crate) request: SubmittedRequest,
    /// Outcomes that are right.
    pub(crate) expect: Vec<OutcomeKind>,
    /// Text that the answer must hold, if it is answered.
    #[serde(default)]
    pub(crate) contains: String,
}

/// A recorded trace.
#[derive(Clone, Debug)]
pub(crate) struct TraceFile {
    pub(crate) lines: Vec<TraceLine>,
}

impl TraceFile {
    pub(crate) fn read(path: &Path) -> Result<Self> {
        let name = path.display();
        let text = std::fs::read_to_string(path).with_context(|| format!("reading {name}"))?;
        let read = |(index, line): (usize, &str)| {
            serde_json::from_str(line).with_context(|| format!("{name}: line {}", index + 1))
        };
        let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        Ok(Self { lines: lines.map(read).collect::<Result<_>>()? })
    }

    /// The trace `times` times in a row, with keys that differ each time and in each replay.
    pub(crate) fn repeated(&self, times: u32) -> Self {
        let length = self.lines.iter().map(|line| line.at_ms).fold(0.0, f64::max) + PAUSE_MS;
        let replay: u32 = rand::random();
        let mut lines = Vec::new();
        for round in 0..times {
            for line in &self.lines {
                let mut line = line.clone();
                line.at_ms += length * f64::from(round);
                let key = format!("{}.{replay:x}.{round}", line.request.key);
                line.contains = line.contains.replace(&line.request.key, &key);
                line.request.key = key;
                lines.push(line);
            }
        }
        Self { lines }
    }

    /// The trace, `speed` times as fast.
    pub(crate) fn at_speed(mut self, speed: f64) -> Self {
        for line in &mut self.lines {
            line.at_ms /= speed;
        }
        self
    }
}
