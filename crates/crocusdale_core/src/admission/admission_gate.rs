use std::collections::HashMap;

use crate::configuration::{Declarations, LabelSet};
use crate::pipeline::RefusalReason;

/// Limits how many requests run concurrently: in total, per workspace and per configured rule.
#[derive(Debug)]
pub struct AdmissionGate {
    max_running: usize,
    running: usize,
    running_by_workspace: HashMap<String, u32>,
    running_by_rule: HashMap<String, u32>,
}

/// Permission for one request to run. It counts against the limits until it is passed to
/// [`AdmissionGate::release`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionPermit {
    workspace: String,
    rules: Vec<String>,
}

impl AdmissionGate {
    /// Creates a gate that lets at most `max_running` requests run concurrently.
    #[must_use]
    pub fn new(max_running: usize) -> Self {
        Self {
            max_running,
            running: 0,
            running_by_workspace: HashMap::new(),
            running_by_rule: HashMap::new(),
        }
    }

    /// Number of requests that hold a permit.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Admits a request of `workspace` that carries `labels`. An empty `workspace` means that the
    /// request belongs to none.
    ///
    /// # Errors
    ///
    /// Returns the first limit that is exhausted: the total, the one of the workspace, or the one
    /// of a rule that matches the labels.
    pub fn admit(
        &mut self,
        declarations: &Declarations,
        workspace: &str,
        labels: &LabelSet,
    ) -> Result<AdmissionPermit, RefusalReason> {
        if self.running >= self.max_running {
            return Err(RefusalReason::RequestLimit);
        }
        // A forwarded request of a public route has no workspace, so it has no workspace limit. An
        // undeclared workspace may run nothing.
        let default_limit = if workspace.is_empty() { u32::MAX } else { 0 };
        let rules = declarations.workspace(workspace);
        let limit = rules.map_or(default_limit, |rules| rules.concurrency);
        if count_of(&self.running_by_workspace, workspace) >= limit {
            return Err(RefusalReason::WorkspaceLimit);
        }
        let limited_rules =
            declarations.rules_for(labels).filter_map(|rule| Some((rule, rule.concurrency?)));
        let mut rules = Vec::new();
        for (rule, limit) in limited_rules {
            if count_of(&self.running_by_rule, &rule.name) >= limit {
                return Err(RefusalReason::RuleLimit);
            }
            rules.push(rule.name.clone());
        }
        self.running += 1;
        *self.running_by_workspace.entry(workspace.to_owned()).or_default() += 1;
        for rule in &rules {
            *self.running_by_rule.entry(rule.clone()).or_default() += 1;
        }
        Ok(AdmissionPermit { workspace: workspace.to_owned(), rules })
    }

    /// Releases the permit of a request that has ended.
    pub fn release(&mut self, permit: &AdmissionPermit) {
        debug_assert!(
            self.running > 0,
            "released a permit while no request holds one; each permit is released exactly once"
        );
        self.running = self.running.saturating_sub(1);
        decrement(&mut self.running_by_workspace, &permit.workspace);
        for rule in &permit.rules {
            decrement(&mut self.running_by_rule, rule);
        }
    }
}

fn count_of(counts: &HashMap<String, u32>, name: &str) -> u32 {
    counts.get(name).copied().unwrap_or_default()
}

fn decrement(counts: &mut HashMap<String, u32>, name: &str) {
    if let Some(count) = counts.get_mut(name) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(name);
        }
    }
}
