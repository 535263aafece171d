use std::collections::HashMap;

use crate::configuration::{Declarations, LabelSet};
use crate::pipeline::RefusalReason;

/// Counts what runs, by workspace, by rule and in all.
#[derive(Debug)]
pub struct AdmissionGate {
    limit: usize,
    running: usize,
    workspaces: HashMap<String, u32>,
    rules: HashMap<String, u32>,
}

/// The right of one request to run; given back with [`AdmissionGate::release`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionPermit {
    workspace: String,
    rules: Vec<String>,
}

impl AdmissionGate {
    /// Lets `limit` requests run at one time.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, running: 0, workspaces: HashMap::new(), rules: HashMap::new() }
    }

    /// Number of requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Admits a request of `workspace`.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached.
    pub fn admit(
        &mut self,
        declarations: &Declarations,
        workspace: &str,
        labels: &LabelSet,
    ) -> Result<AdmissionPermit, RefusalReason> {
        if self.running >= self.limit {
            return Err(RefusalReason::RequestLimit);
        }
        // A forwarded request of a public route belongs to no workspace.
        let no_workspace = if workspace.is_empty() { u32::MAX } else { 0 };
        let rules = declarations.workspace(workspace);
        let bound = rules.map_or(no_workspace, |rules| rules.concurrency);
        if count(&self.workspaces, workspace) >= bound {
            return Err(RefusalReason::WorkspaceLimit);
        }
        let limited =
            declarations.rules_for(labels).filter_map(|rule| Some((rule, rule.concurrency?)));
        let mut rules = Vec::new();
        for (rule, bound) in limited {
            if count(&self.rules, &rule.name) >= bound {
                return Err(RefusalReason::RuleLimit);
            }
            rules.push(rule.name.clone());
        }
        self.running += 1;
        *self.workspaces.entry(workspace.to_owned()).or_default() += 1;
        for rule in &rules {
            *self.rules.entry(rule.clone()).or_default() += 1;
        }
        Ok(AdmissionPermit { workspace: workspace.to_owned(), rules })
    }

    /// Takes back a permit.
    pub fn release(&mut self, permit: &AdmissionPermit) {
        debug_assert!(self.running > 0, "a permit is given back once");
        self.running = self.running.saturating_sub(1);
        lower(&mut self.workspaces, &permit.workspace);
        for rule in &permit.rules {
            lower(&mut self.rules, rule);
        }
    }
}

fn count(counts: &HashMap<String, u32>, name: &str) -> u32 {
    counts.get(name).copied().unwrap_or_default()
}

fn lower(counts: &mut HashMap<String, u32>, name: &str) {
    if let Some(count) = counts.get_mut(name) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(name);
        }
    }
}
