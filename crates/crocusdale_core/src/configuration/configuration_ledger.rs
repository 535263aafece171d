use std::sync::Arc;

use super::{ConfigurationError, Declarations};
use crate::identity::stable_hash;

/// Reads a text, whose source the first argument names, into declarations; the same text must give
/// the same verdict in every process.
pub type DeclarationReader = fn(&str, &str) -> Result<Declarations, Vec<ConfigurationError>>;

/// The configuration that a daemon acts on.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Revision that the configuration service gave it.
    pub revision: u64,
    /// Digest of the text.
    pub digest: u64,
    /// Whole text.
    pub text: Arc<str>,
    /// The text, read.
    pub declarations: Arc<Declarations>,
}

/// What became of an offered revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerVerdict {
    /// It is in force now.
    Accepted,
    /// It was in force already.
    AlreadyInForce,
    /// It is older than what is in force, and was ignored.
    Older,
    /// It is wrong; what was in force stays.
    Rejected(Vec<ConfigurationError>),
    /// It was judged before, and rejected.
    RejectedBefore,
    /// Another text has the same revision; the one with the higher digest is in force now.
    Conflict,
}

/// Keeps the highest accepted revision, and never goes back.
///
/// Guards against a stale or restarted configuration service, which shows as an older revision
/// after a newer one: only a higher revision replaces what is in force.
#[derive(Debug)]
pub struct ConfigurationLedger {
    reader: DeclarationReader,
    in_force: Option<InForce>,
    rejected: Option<RejectedRevision>,
    conflicts: u64,
}

#[derive(Debug)]
struct RejectedRevision {
    revision: u64,
    digest: u64,
    errors: Vec<ConfigurationError>,
}

impl Default for ConfigurationLedger {
    fn default() -> Self {
        Self::new(Declarations::check)
    }
}

impl ConfigurationLedger {
    /// A ledger of texts that `reader` can read.
    #[must_use]
    pub fn new(reader: DeclarationReader) -> Self {
        Self { reader, in_force: None, rejected: None, conflicts: 0 }
    }

    /// Returns what is in force, if anything was ever accepted.
    #[must_use]
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Returns the newest rejected revision with its errors, if it is newer than what is in force.
    #[must_use]
    pub fn rejected(&self) -> Option<(u64, &[ConfigurationError])> {
        self.rejected.as_ref().map(|rejected| (rejected.revision, rejected.errors.as_slice()))
    }

    /// Number of times that two texts had the same revision.
    #[must_use]
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Revision in force and its digest, zeros for none.
    #[must_use]
    pub fn position(&self) -> (u64, u64) {
        self.in_force.as_ref().map_or((0, 0), |in_force| (in_force.revision, in_force.digest))
    }

    /// Whether a peer at `revision` and `digest` has something that this ledger lacks.
    #[must_use]
    pub fn wants(&self, revision: u64, digest: u64) -> bool {
        let judged = self.rejected.as_ref().map(|rejected| (rejected.revision, rejected.digest));
        (revision, digest) > self.position() && judged != Some((revision, digest))
    }

    /// Takes `text` as `revision` if it is right and newer than what is in force.
    pub fn offer(&mut self, revision: u64, text: &str) -> LedgerVerdict {
        let digest = stable_hash(&[text]);
        let (current, current_digest) = self.position();
        if revision < current || revision == 0 {
            return LedgerVerdict::Older;
        }
        if (revision, digest) == (current, current_digest) {
            return LedgerVerdict::AlreadyInForce;
        }
        let conflict = revision == current;
        if conflict {
            self.conflicts += 1;
            // Two texts under one revision: every daemon must keep the same one without asking
            // anyone, or halves of the fleet would act on different declarations for good.
            if digest < current_digest {
                return LedgerVerdict::Conflict;
            }
        }
        if self
            .rejected
            .as_ref()
            .is_some_and(|each| (each.revision, each.digest) == (revision, digest))
        {
            return LedgerVerdict::RejectedBefore;
        }
        match (self.reader)(&format!("revision {revision}"), text) {
            Ok(declarations) => {
                self.take(InForce {
                    revision,
                    digest,
                    text: text.into(),
                    declarations: Arc::new(declarations),
                });
                if conflict { LedgerVerdict::Conflict } else { LedgerVerdict::Accepted }
            }
            Err(errors) => {
                self.rejected = Some(RejectedRevision { revision, digest, errors: errors.clone() });
                LedgerVerdict::Rejected(errors)
            }
        }
    }

    fn take(&mut self, in_force: InForce) {
        if self.rejected.as_ref().is_some_and(|rejected| rejected.revision <= in_force.revision) {
            self.rejected = None;
        }
        self.in_force = Some(in_force);
    }
}
