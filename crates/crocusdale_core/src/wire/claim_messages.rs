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
    fn from(message: peer::RequestKey) -> Self {
        Self { workspace: message.workspace, key: message.key }
    }
}

impl From<RegisterReply> for peer::RegisterReply {
    fn from(reply: RegisterReply) -> Self {
        let mut message = Self::default();
        match reply {
            RegisterReply::Abstains(wait) => {
                message.set_state(peer::RegisterState::Abstained);
                message.retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            }
            RegisterReply::Holds(RegisterState::Tombstone) => {
                message.set_state(peer::RegisterState::Buried)
            }
            RegisterReply::Holds(RegisterState::Claimed { holder, outcome }) => {
                message.set_state(peer::RegisterState::Claimed);
                message.holder = Some(holder.into());
                message.outcome = outcome.map(|body| peer::RecordedOutcome { body });
            }
        }
        message
    }
}

impl From<peer::RegisterReply> for RegisterReply {
    fn from(message: peer::RegisterReply) -> Self {
        let abstains = Self::Abstains(Duration::from_millis(message.retry_after_ms));
        match (message.state(), message.holder) {
            (peer::RegisterState::Buried, _) => Self::Holds(RegisterState::Tombstone),
            (peer::RegisterState::Claimed, Some(holder)) => {
                let outcome = message.outcome.map(|outcome| outcome.body);
                Self::Holds(RegisterState::Claimed { holder: holder.into(), outcome })
            }
            // A claim without a holder doesn't prove anything, so it counts as an abstention.
            (peer::RegisterState::Claimed, None) | (peer::RegisterState::Abstained, _) => abstains,
        }
    }
}

impl From<HolderReply> for peer::AskOutcomeReply {
    fn from(reply: HolderReply) -> Self {
        let mut message = Self::default();
        match reply {
            HolderReply::Gone => message.set_progress(peer::HolderProgress::Gone),
            HolderReply::Running => message.set_progress(peer::HolderProgress::Running),
            HolderReply::Finished(body) => {
                message.set_progress(peer::HolderProgress::Finished);
                message.outcome = Some(peer::RecordedOutcome { body });
            }
        }
        message
    }
}

impl From<peer::AskOutcomeReply> for HolderReply {
    fn from(message: peer::AskOutcomeReply) -> Self {
        match (message.progress(), message.outcome) {
            (peer::HolderProgress::Finished, Some(outcome)) => Self::Finished(outcome.body),
            (peer::HolderProgress::Running, _) => Self::Running,
            (peer::HolderProgress::Finished, None) | (peer::HolderProgress::Gone, _) => Self::Gone,
        }
    }
}
