//! What upstreams say of themselves in their answers.

use super::core_state::CoreState;
use super::{Command, StateChange};
use crate::routing::UpstreamNotice;

impl CoreState {
    /// Takes what `upstream` said of itself.
    pub(super) fn take_notice(
        &self,
        upstream: &str,
        notice: UpstreamNotice,
        out: &mut Vec<Command>,
    ) {
        let stay_away = notice.stay_away.map(|time| time.as_millis());
        out.push(Command::Note(StateChange::UpstreamNoticed {
            upstream: upstream.to_owned(),
            leaving: notice.leaving,
            stay_away_ms: stay_away.map(|millis| u64::try_from(millis).unwrap_or(u64::MAX)),
        }));
    }
}
