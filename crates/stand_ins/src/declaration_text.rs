use std::fmt::Write as _;
use std::net::SocketAddr;

/// Builds the declarations of a small deployment for tests: one workspace `mail`, pipelines
/// `read` (encode, retrieve beside rerank, generate), `code` (encode) and `shred` (not repeatable).
#[derive(Clone, Debug)]
pub struct DeclarationText {
    key_life_ms: u64,
    longest_deadline_ms: u64,
    address_hold_ms: u64,
    silence_ms: u64,
    upstreams: Vec<(String, String, SocketAddr)>,
}

impl Default for DeclarationText {
    fn default() -> Self {
        Self {
            key_life_ms: 3_000,
            longest_deadline_ms: 2_500,
            address_hold_ms: 500,
            silence_ms: 1_000,
            upstreams: Vec::new(),
        }
    }
}

impl DeclarationText {
    /// Sets how long keys are remembered, in milliseconds.
    #[must_use]
    pub fn key_life_ms(mut self, key_life_ms: u64) -> Self {
        self.key_life_ms = key_life_ms;
        self
    }

    /// Sets the longest deadline, in milliseconds.
    #[must_use]
    pub fn longest_deadline_ms(mut self, longest_deadline_ms: u64) -> Self {
        self.longest_deadline_ms = longest_deadline_ms;
        self
    }

    /// Sets how long an attempt may be silent, in milliseconds.
    #[must_use]
    pub fn silence_ms(mut self, silence_ms: u64) -> Self {
        self.silence_ms = silence_ms;
        self
    }

    /// Adds the upstream `name` for `stage`.
    #[must_use]
    pub fn upstream(mut self, name: &str, stage: &str, address: SocketAddr) -> Self {
        self.upstreams.push((name.to_owned(), stage.to_owned(), address));
        self
    }

    /// The declarations.
    #[must_use]
    pub fn build(&self) -> String {
        let mut text = format!(
            "[deployment]\nname = test\nkey_life_ms = {}\nlongest_deadline_ms = {}\n\
             address_hold_ms = {}\n",
            self.key_life_ms, self.longest_deadline_ms, self.address_hold_ms,
        );
        for (name, stage, address) in &self.upstreams {
            let _ = write!(
                text,
                "[upstream {name}]\nvm = {name}\nzone = a\nkind = stage_pool\n\
                 address = {address}\nlabels = stage={stage}\nconcurrency = 64\n",
            );
        }
        let served = |stage: &str| self.upstreams.iter().any(|(_, each, _)| each == stage);
        for (stage, extra) in [
            ("encode", ""),
            ("retrieve", ""),
            ("rerank", ""),
            ("generate", "path = /stream\nstream = yes\n"),
            ("shred", ""),
        ] {
            if served(stage) {
                let silence = self.silence_ms;
                let _ = write!(
                    text,
                    "[stage {stage}]\npool = stage = {stage}\nsilence_ms = {silence}\n{extra}",
                );
            }
        }
        if served("generate") {
            text += "[pipeline read]\nwhen = job = read\nstages = encode, retrieve | rerank, generate\n";
        }
        if served("encode") {
            text += "[pipeline code]\nwhen = job = code\nstages = encode\n";
        }
        if served("shred") {
            text += "[pipeline shred]\nwhen = job = shred\nstages = shred\nrepeatable = no\n";
        }
        text += "[workspace mail]\nlabels = tier=large\n";
        text += "[priority quick]\nwhen = job = read\nlevel = 1\n";
        text
    }
}
