use std::sync::Arc;

use super::{ConfigurationError, Declarations};
use crate::identity::stable_hash;

/// Function that parses the text of a configuration, its second argument, into declarations. The
/// first argument names the source of the text for error messages. The result must depend on the
/// text alone, so that all daemons accept or reject the same revisions.
pub type DeclarationReader = fn(&str, &str) -> Result<Declarations, Vec<ConfigurationError>>;

/// Configuration in force at a daemon.
#[derive(Clone, Debug)]
pub struct ActiveConfiguration {
    /// Revision number that the configuration service assigned. At least 1.
    pub revision: u64,
    /// Hash of the text, equal in all daemons.
    pub digest: u64,
    /// Complete text.
    pub text: Arc<str>,
    /// Declarations parsed from the text.
    pub declarations: Arc<Declarations>,
}

/// Result of [`ConfigurationLedger::offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerVerdict {
    /// The offered revision is now in force.
    Accepted,
    /// The offered revision was already in force.
    AlreadyInForce,
    /// The offered revision is older than the one in force, or is 0. It was ignored.
    Older,
    /// The offered text has these errors. The previous configuration stays in force.
    Rejected(Vec<ConfigurationError>),
    /// The same revision with the same text was rejected earlier.
    RejectedBefore,
    /// The revision in force has the same number but another text. The text with the higher digest
    /// is now in force.
    Conflict,
}

/// Keeps the highest accepted configuration revision in force.
///
/// Guards against a rollback by a stale or restarted configuration service, which may offer an
/// older revision after a newer one. Only a higher revision replaces the configuration in force.
#[derive(Debug)]
pub struct ConfigurationLedger {
    reader: DeclarationReader,
    in_force: Option<ActiveConfiguration>,
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
    /// Creates a ledger without a configuration in force, which parses texts with `reader`.
    #[must_use]
    pub fn new(reader: DeclarationReader) -> Self {
        Self { reader, in_force: None, rejected: None, conflicts: 0 }
    }

    /// Configuration in force, or `None` if no revision has been accepted yet.
    #[must_use]
    pub fn in_force(&self) -> Option<&ActiveConfiguration> {
        self.in_force.as_ref()
    }

    /// Latest rejected revision and its errors, or `None` if a revision at least as high has been
    /// accepted since.
    #[must_use]
    pub fn rejected(&self) -> Option<(u64, &[ConfigurationError])> {
        self.rejected.as_ref().map(|rejected| (rejected.revision, rejected.errors.as_slice()))
    }

    /// Number of offers whose text differed from the one in force under the same revision number.
    #[must_use]
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Revision in force and the digest of its text. Both are 0 if no configuration is in force.
    #[must_use]
    pub fn position(&self) -> (u64, u64) {
        self.in_force.as_ref().map_or((0, 0), |in_force| (in_force.revision, in_force.digest))
    }

    /// Whether to fetch the configuration of a peer, which has `revision` with the text digest
    /// `digest` in force: it would replace the configuration in force, and it isn't the latest
    /// rejected one.
    #[must_use]
    pub fn should_fetch(&self, revision: u64, digest: u64) -> bool {
        let last_rejected =
            self.rejected.as_ref().map(|rejected| (rejected.revision, rejected.digest));
        (revision, digest) > self.position() && last_rejected != Some((revision, digest))
    }

    /// Puts `text` in force as `revision` if it is valid and supersedes the configuration in force.
    pub fn offer(&mut self, revision: u64, text: &str) -> LedgerVerdict {
        let digest = stable_hash(&[text]);
        let (current, current_digest) = self.position();
        if revision < current || revision == 0 {
            return LedgerVerdict::Older;
        }
        if (revision, digest) == (current, current_digest) {
            return LedgerVerdict::AlreadyInForce;
        }
        let is_conflict = revision == current;
        if is_conflict {
            self.conflicts += 1;
            // Two texts have the same revision number. All daemons must choose the same one without
            // coordination. Otherwise parts of the fleet would keep different declarations until
            // the next revision.
            if digest < current_digest {
                return LedgerVerdict::Conflict;
            }
        }
        if self
            .rejected
            .as_ref()
            .is_some_and(|rejected| (rejected.revision, rejected.digest) == (revision, digest))
        {
            return LedgerVerdict::RejectedBefore;
        }
        match (self.reader)(&format!("revision {revision}"), text) {
            Ok(declarations) => {
                self.put_in_force(ActiveConfiguration {
                    revision,
                    digest,
                    text: text.into(),
                    declarations: Arc::new(declarations),
                });
                if is_conflict { LedgerVerdict::Conflict } else { LedgerVerdict::Accepted }
            }
            Err(errors) => {
                self.rejected = Some(RejectedRevision { revision, digest, errors: errors.clone() });
                LedgerVerdict::Rejected(errors)
            }
        }
    }

    fn put_in_force(&mut self, in_force: ActiveConfiguration) {
        if self.rejected.as_ref().is_some_and(|rejected| rejected.revision <= in_force.revision) {
            self.rejected = None;
        }
        self.in_force = Some(in_force);
    }
}
