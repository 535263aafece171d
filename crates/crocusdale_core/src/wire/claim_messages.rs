use std::time::Duration;

use crocusdale_schema::peer;

use crate::claims::{RegisterReply, RegisterState};
use crate::identity::RequestKey;
use crate::pipeline::HolderReply;

impl From<RequestKey> for peer::RequestKey {
    fn from(key: RequestKey) -> Self {
        Self { workspace: key.workspace, key: key.key }
    }
}

impl From<peer::RequestKey> for RequestKey {
    fn from(wire: peer::RequestKey) -> Self {
        Self { workspace: wire.workspace, key: wire.key }
    }
}

impl From<RegisterReply> for peer::RegisterReply {
    fn from(reply: RegisterReply) -> Self {
        let mut wire = Self::default();
        match reply {
            RegisterReply::Abstains(wait) => {
                wire.set_state(peer::RegisterState::Abstained);
                wire.retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            }
            RegisterReply::Holds(RegisterState::Tombstone) => {
                wire.set_state(peer::RegisterState::Buried)
            }
            RegisterReply::Holds(RegisterState::Claimed { holder, outcome }) => {
                wire.set_state(peer::RegisterState::Claimed);
                wire.holder = Some(holder.into());
                wire.outcome = outcome.map(|body| peer::RecordedOutcome { body });
            }
        }
        wire
    }
}

impl From<peer::RegisterReply> for RegisterReply {
    fn from(wire: peer::RegisterReply) -> Self {
        let abstains = Self::Abstains(Duration::from_millis(wire.retry_after_ms));
        match (wire.state(), wire.holder) {
            (peer::RegisterState::Buried, _) => Self::Holds(RegisterState::Tombstone),
            (peer::RegisterState::Claimed, Some(holder)) => {
                let outcome = wire.outcome.map(|outcome| outcome.body);
                Self::Holds(RegisterState::Claimed { holder: holder.into(), outcome })
            }
            // A claim without a holder proves nothing, as an abstention.
            (peer::RegisterState::Claimed, None) | (peer::RegisterState::Abstained, _) => abstains,
        }
    }
}

impl From<HolderReply> for peer::AskOutcomeReply {
    fn from(reply: HolderReply) -> Self {
        let mut wire = Self::default();
        match reply {
            HolderReply::Gone => wire.set_progress(peer::HolderProgress::Gone),
            HolderReply::Running => wire.set_progress(peer::HolderProgress::Running),
            HolderReply::Finished(body) => {
                wire.set_progress(peer::HolderProgress::Finished);
                wire.outcome = Some(peer::RecordedOutcome { body });
            }
        }
        wire
    }
}

impl From<peer::AskOutcomeReply> for HolderReply {
    fn from(wire: peer::AskOutcomeReply) -> Self {
        match (wire.progress(), wire.outcome) {
            (peer::HolderProgress::Finished, Some(outcome)) => Self::Finished(outcome.body),
            (peer::HolderProgress::Running, _) => Self::Running,
            (peer::HolderProgress::Finished, None) | (peer::HolderProgress::Gone, _) => Self::Gone,
        }
    }
}
