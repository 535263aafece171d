//! What upstreams say of themselves in their answers.

use std::sync::Arc;

use super::core_state::CoreState;
use super::{Command, StateChange};
use crate::configuration::Declarations;
use crate::identity::MonotonicTime;
use crate::membership::LeavingUpstream;
use crate::routing::{ColdUpstream, UpstreamNotice};
use crate::sync::lock;

impl CoreState {
    /// Takes what `upstream` said of itself in the answer to a request that was sent at `sent`.
    pub(super) fn take_notice(
        &self,
        upstream: &str,
        notice: UpstreamNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if notice.leaving {
            // Published upstreams have another name in each life.
            let news = LeavingUpstream { upstream: upstream.to_owned(), life: upstream.to_owned() };
            let mut fleet = lock(&self.fleet);
            if fleet.view.take_leaving_upstream(&news, now) {
                fleet.tell_at_once(now, out);
            }
            drop(fleet);
            self.take_leaving(&[news], now, out);
        }
        if let Some(time) = notice.stay_away {
            let mut away = lock(&self.away);
            away.retain(|_, until| *until > now);
            away.insert(upstream.to_owned(), now + time);
            drop(away);
            self.router().stay_away(upstream, now + time);
            lock(&self.dispatcher).stay_away(upstream, now + time);
            let stay_away_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            let upstream = upstream.to_owned();
            out.push(Command::LogStateChange(StateChange::UpstreamAway { upstream, stay_away_ms }));
        }
        if let Some(left) = notice.cold {
            let cold = ColdUpstream { name: upstream.to_owned(), left };
            let is_news = lock(&self.directory).hear_cold(cold, now, out);
            if let Some(declarations) = self.declarations_in_force().filter(|_| is_news) {
                self.reroute(&declarations, now, out);
            }
        }
        self.take_rate(upstream, notice.rate, sent, now, out);
    }

    /// Takes the news that upstreams leave, and lets the work that waits for them go elsewhere.
    pub(super) fn take_leaving(
        &self,
        news: &[LeavingUpstream],
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let (mut has_news, mut list_changed) = (false, false);
        for leaving in news {
            let is_routed = self.router().take_leaving(leaving);
            let is_listed = lock(&self.directory).directory.note_leaving(&leaving.upstream, now);
            if is_routed || is_listed {
                let upstream = leaving.upstream.clone();
                out.push(Command::LogStateChange(StateChange::UpstreamLeaving { upstream }));
            }
            has_news |= is_routed || is_listed;
            list_changed |= is_listed;
        }
        if !has_news {
            return;
        }
        if let Some(declarations) = self.declarations_in_force().filter(|_| list_changed) {
            self.reroute(&declarations, now, out);
        }
        let steps = self.run_grants(self.router().serve_all_waiting(now), now);
        self.run_steps(steps, now, out);
    }

    fn declarations_in_force(&self) -> Option<Arc<Declarations>> {
        let fleet = lock(&self.fleet);
        fleet.ledger.in_force().map(|in_force| Arc::clone(&in_force.declarations))
    }

    /// Takes pools and upstreams as they are now.
    pub(super) fn reroute(
        &self,
        declarations: &Declarations,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let directory = lock(&self.directory).directory.clone();
        let router = self.router().reconfigured(declarations, &directory, now);
        router.take_roster(self.basis().history.current());
        // What was known of an upstream goes with its entry, which may lapse and come back.
        let away = lock(&self.away).clone();
        for (upstream, until) in &away {
            router.stay_away(upstream, *until);
        }
        self.set_router(router);
        let (mut steps, mut dispatch_steps) = (Vec::new(), Vec::new());
        lock(&self.dispatcher).reconfigure(
            declarations,
            &directory,
            &away,
            now,
            &mut dispatch_steps,
        );
        self.run_dispatch(dispatch_steps, now, &mut steps, out);
        self.run_steps(steps, now, out);
    }
}
