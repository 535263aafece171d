//! Reads a load from INI text.

use std::collections::HashMap;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context as _, Result, anyhow, ensure};
use crocusdale_core::configuration::{BatchRules, EngineRules, RepeatRule};
use ini::{Ini, Properties};

use super::model_load::{
    KindStep, ModelBurst, ModelEngines, ModelFault, ModelKind, ModelLoad, ModelPool, SizeSpread,
};

/// The built-in load.
const SMALL: &str = include_str!("../../loads/small.ini");
/// Time after which a result that nobody gave up is dropped, unless a load says otherwise.
const RESULT_LIFE_MS: f64 = 4_000.0;

/// One section with its name, for errors.
struct LoadSection<'a> {
    name: &'a str,
    values: &'a Properties,
}

impl LoadSection<'_> {
    fn optional<T: FromStr<Err: Display>>(&self, key: &str) -> Result<Option<T>> {
        let Some(text) = self.values.get(key) else { return Ok(None) };
        let value =
            text.parse().map_err(|error| anyhow!("[{}] {key} = {text}: {error}", self.name));
        value.map(Some)
    }

    fn get<T: FromStr<Err: Display>>(&self, key: &str) -> Result<T> {
        self.optional(key)?.with_context(|| format!("[{}] {key} is missing", self.name))
    }

    fn get_or<T: FromStr<Err: Display>>(&self, key: &str, other: T) -> Result<T> {
        Ok(self.optional(key)?.unwrap_or(other))
    }

    fn millis(&self, key: &str) -> Result<Duration> {
        Ok(Duration::from_secs_f64(self.get::<f64>(key)?.max(0.0) / 1e3))
    }

    fn size(&self, key: &str) -> Result<SizeSpread> {
        let mean = self.get(key)?;
        let spread = self.get_or(&format!("{key}_spread"), 0.0)?;
        Ok(SizeSpread { mean, spread, most: self.get_or(&format!("{key}_most"), f64::INFINITY)? })
    }
}

impl ModelLoad {
    /// The built-in load: three batched pools of a few upstreams, twelve engines and three kinds of
    /// request, before `daemons` daemons.
    ///
    /// # Panics
    ///
    /// Never: the text is part of the program, and its tests read it.
    #[must_use]
    pub fn small(daemons: usize) -> Self {
        let mut load = Self::parse(SMALL).expect("the built-in load is checked by tests");
        load.daemons = daemons;
        load
    }

    /// Reads a load from INI text, see `loads/small.ini`.
    ///
    /// # Errors
    ///
    /// Returns the section and key that is missing or can't be read.
    pub fn parse(text: &str) -> Result<Self> {
        read(text)
    }
}

fn read(text: &str) -> Result<ModelLoad> {
    let ini = Ini::load_from_str(text).context("not an INI text")?;
    let mut load = ModelLoad {
        text: text.to_owned(),
        pools: Vec::new(),
        engines: Vec::new(),
        kinds: Vec::new(),
        bursts: Vec::new(),
        faults: Vec::new(),
        daemons: 1,
        zones: 1,
        seconds: 0.0,
        workspaces: 1,
        clump: 1.0,
        policy: Default::default(),
    };
    for (name, values) in ini.iter() {
        let Some(name) = name else { continue };
        read_section(&mut load, &LoadSection { name, values })?;
    }
    ensure!(!load.engines.is_empty(), "no [engines NAME] section");
    ensure!(load.daemons > 0 && load.zones > 0 && load.workspaces > 0, "[callers] counts are 0");
    let known = |step: &KindStep| load.pools.iter().any(|pool| pool.name == step.pool);
    let unknown = load.kinds.iter().flat_map(|kind| &kind.steps).find(|step| !known(step));
    ensure!(
        unknown.is_none(),
        "a step names the unknown pool {:?}",
        unknown.map(|each| &each.pool)
    );
    Ok(load)
}

fn read_section(load: &mut ModelLoad, section: &LoadSection<'_>) -> Result<()> {
    let (what, name) = section.name.split_once(' ').unwrap_or((section.name, ""));
    match what {
        "callers" => {
            load.daemons = section.get("daemons")?;
            load.zones = section.get("zones")?;
            load.seconds = section.get("seconds")?;
            load.workspaces = section.get_or("workspaces", 1)?;
            load.clump = section.get_or("clump", 1.0)?;
        }
        "router" => load.policy = section.get("policy")?,
        "pool" => load.pools.push(read_pool(section, name)?),
        "engines" => load.engines.push(read_engines(section, name)?),
        "kind" => load.kinds.push(read_kind(section, name)?),
        "burst" => load.bursts.push(ModelBurst {
            from: section.get("from_s")?,
            to: section.get("to_s")?,
            factor: section.get("factor")?,
            kind: section.optional("kind")?,
            workspace: section.optional("workspace")?,
        }),
        "fault" => {
            let slow = section.optional("slow_pool")?.map(|pool: String| {
                Ok::<_, anyhow::Error>((pool, section.get("upstreams")?, section.get("factor")?))
            });
            load.faults.push(ModelFault {
                from: section.get("from_s")?,
                to: section.get("to_s")?,
                daemons: section.get_or("daemons", 0)?,
                slow: slow.transpose()?,
            });
        }
        other => return Err(anyhow!("[{other}] is unknown")),
    }
    Ok(())
}

fn read_pool(section: &LoadSection<'_>, name: &str) -> Result<ModelPool> {
    let life = section.get_or("result_life_ms", RESULT_LIFE_MS)?;
    let rules = BatchRules {
        slots: 1,
        pieces: section.get("pieces")?,
        call_time: section.millis("call_ms")?,
        piece_time: section.millis("piece_ms")?,
        result_bytes: (section.get::<f64>("memory_mb")? * 1e6) as u64,
        result_lifetime: Duration::from_secs_f64(life / 1e3),
    };
    Ok(ModelPool { name: name.to_owned(), upstreams: section.get("upstreams")?, rules })
}

fn read_engines(section: &LoadSection<'_>, name: &str) -> Result<ModelEngines> {
    let rules =
        EngineRules { slots: section.get("slots")?, token_memory: section.get("memory_tokens")? };
    Ok(ModelEngines {
        name: name.to_owned(),
        upstreams: section.get("upstreams")?,
        rules,
        step: section.millis("step_ms")?,
        step_each: section.millis("step_each_ms")?,
        prompt_speed: section.get("prompt_tokens_per_ms")?,
        chunk: section.get("chunk_tokens")?,
        event_tokens: section.get("event_tokens")?,
    })
}

fn read_kind(section: &LoadSection<'_>, name: &str) -> Result<ModelKind> {
    let mut steps = Vec::new();
    while let Some(text) = section.values.get(format!("step{}", steps.len() + 1)) {
        let step = read_step(text, steps.len());
        steps.push(step.with_context(|| format!("[{}] {text}", section.name))?);
    }
    let repeat = match section.get::<String>("repeat")?.as_str() {
        "stream" => RepeatRule::Stream,
        "resumable_stream" => RepeatRule::ResumableStream,
        other => return Err(anyhow!("[{}] repeat = {other} is unknown", section.name)),
    };
    Ok(ModelKind {
        name: name.to_owned(),
        rate: section.get("rate")?,
        objective: section.millis("objective_ms")?,
        deadline: section.millis("deadline_ms")?,
        level: section.get("level")?,
        repeat,
        events: section.size("events")?,
        prompt: section.size("prompt_tokens")?,
        roots: (section.get("roots")?, section.get("root_tokens")?),
        subjects: (section.get("subjects")?, section.get("subject_tokens")?),
        skew: section.get_or("skew", 0.0)?,
        steps,
    })
}

/// Reads `key=value` words, as `pool=encode pieces=2.5 spread=0.6 bytes=8000 after=1,2`.
fn read_step(text: &str, before: usize) -> Result<KindStep> {
    let words: HashMap<&str, &str> =
        text.split_whitespace().filter_map(|word| word.split_once('=')).collect();
    let number = |key: &str, other: f64| words.get(key).map_or(Ok(other), |each| each.parse());
    let after = words.get("after").map_or(Ok(Vec::new()), |text| {
        text.split(',').map(str::parse::<usize>).collect::<Result<Vec<_>, _>>()
    })?;
    ensure!(after.iter().all(|each| (1..=before).contains(each)), "after names a later step");
    Ok(KindStep {
        pool: (*words.get("pool").context("no pool")?).to_owned(),
        pieces: SizeSpread {
            mean: number("pieces", 1.0)?,
            spread: number("spread", 0.0)?,
            most: number("most", f64::INFINITY)?,
        },
        share: number("share", 1.0)?,
        bytes: number("bytes", 0.0)? as u64,
        work: number("work", 1.0)?,
        after: after.into_iter().map(|each| each - 1).collect(),
    })
}
