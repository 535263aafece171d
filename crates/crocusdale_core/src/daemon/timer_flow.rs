//! Timers of the daemon: periodic work, and the steps of its drain.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::daemon_core::DaemonCore;
use super::{Command, StateChange, TimerKey};
use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::RefusalReason;
use crate::sync::lock;

/// Interval between two rounds of housekeeping, which serve queued work and check the drain.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the kill of a draining process at which it refuses all requests still open.
const FORCED_END_MARGIN: Duration = Duration::from_millis(900);
/// Time for the refusals of a draining process to reach their callers before it exits.
const REFUSAL_FLUSH_TIME: Duration = Duration::from_millis(250);
/// Fraction of the grace period in which a draining process still accepts new requests. It could
/// not finish later ones in time, whereas another daemon can serve them at once.
const ACCEPTING_FRACTION: f64 = 0.3;

impl DaemonCore {
    /// Dispatches a timer that has fired to its handler.
    pub(super) fn handle_timer(&self, timer: TimerKey, now: MonotonicTime, out: &mut Vec<Command>) {
        match timer {
            TimerKey::Deadline(call)
            | TimerKey::ClaimTimeout(call)
            | TimerKey::InquiryTimeout(call)
            | TimerKey::HolderQuery(call) => self.handle_request_timer(call, timer, now, out),
            TimerKey::IdleTimeout(attempt) => {
                self.handle_request_timer(attempt.call, timer, now, out)
            }
            TimerKey::DirectoryPoll => {
                self.poll_directory(now, out);
            }
            TimerKey::ResultRelease => {
                let mut actions = Vec::new();
                self.state.release_unneeded_results(now, &mut actions, out);
                self.state.run_actions(actions, now, out);
            }
            TimerKey::ScheduledStart => {
                let mut actions = Vec::new();
                self.state.start_scheduled_requests(now, &mut actions);
                self.state.run_actions(actions, now, out);
            }
            TimerKey::LinkTest => {
                let mut actions = Vec::new();
                self.state.test_links(now, &mut actions, out);
                self.state.run_actions(actions, now, out);
            }
            TimerKey::PoolStatus => self.state.report_pool_status(now, out),
            // Every event checks the age of the list of published upstreams. This timer only makes
            // sure that an event arrives in time.
            TimerKey::DirectoryReadDue => {}
            TimerKey::UpstreamRecords => self.state.send_new_upstream_records(now, out),
            TimerKey::SeedPing => lock(&self.state.fleet).ping_seed(now, out),
            TimerKey::EndRequests => self.end_requests(now, out),
            TimerKey::Exit => {
                out.push(Command::LogStateChange(StateChange::Drained));
                out.push(Command::Exit);
            }
            TimerKey::Heartbeat => self.send_heartbeats(now, out),
            TimerKey::Configuration => lock(&self.state.fleet).start_due_watch(now, out),
            TimerKey::Housekeeping => self.run_housekeeping(now, out),
            TimerKey::EngineCheck => lock(&self.state.fleet).query_engines(now, out),
            TimerKey::VmListRead => {
                out.push(Command::ReadVmList { known: self.vm_list_revision() })
            }
            TimerKey::DrainWindowEnd => {
                self.state.is_drain_window_over.store(true, Ordering::Relaxed)
            }
        }
    }

    /// Refuses every request that is still open, because the process is about to exit.
    fn end_requests(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let mut actions = Vec::new();
        self.state.submit_all_held(now, out);
        self.state.refuse_queued_requests(now, &mut actions);
        for shard in &self.state.request_shards {
            lock(shard).end_all(RefusalReason::Draining, now, &mut actions);
        }
        self.state.run_actions(actions, now, out);
    }

    /// Passes a timer of one request on to the shard that owns its call.
    fn handle_request_timer(
        &self,
        call: CallId,
        timer: TimerKey,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let mut actions = Vec::new();
        self.state.shard(call.0).handle_timer(timer, now, &mut actions);
        self.state.run_actions(actions, now, out);
    }

    /// Sends the heartbeats that are due, and updates this daemon's share of the upstreams' request
    /// rates.
    fn send_heartbeats(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let rate_share = {
            let mut fleet = lock(&self.state.fleet);
            fleet.heartbeat(now, out);
            fleet.update_rate_share(now)
        };
        if let Some(rate_share) = rate_share {
            self.state.limiter.set_share(rate_share);
        }
    }

    /// Serves queued work, expires old state, and exits the process once its drain is complete.
    fn run_housekeeping(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        *lock(&self.state.last_housekeeping) = now;
        self.check_ready(now, out);
        self.state.expire_crash_records(now);
        self.state.expire_part_records(now, out);
        self.state.expire_limits(now);
        self.state.expire_placements(now, out);
        self.state.expire_coordinated_admissions(now, out);
        let has_dropped_entries = lock(&self.state.directory).drop_missing(now, out);
        if has_dropped_entries {
            self.propagate_directory(true, now, out);
        }
        let grants = self.state.router().serve_all_waiting(now);
        let mut actions = self.state.assign_granted_slots(grants, now);
        self.state.shed_rate_limited(now, &mut actions);
        self.state.hand_over_pools(now, &mut actions, out);
        self.state.update_sole_dispatcher(now);
        self.state.advance_dispatcher(now, &mut actions, out);
        self.state.start_queued_requests(now, &mut actions);
        self.state.expire_admissions(now, &mut actions);
        self.state.expire_pending_streams(now, &mut actions);
        self.state.record_versions(now);
        self.state.refuse_gone_versions(now, &mut actions);
        self.state.run_actions(actions, now, out);
        let is_idle = self.open_call_count() == 0
            && self.state.open_transits.load(Ordering::Relaxed) == 0
            && lock(&self.state.dispatcher).is_idle();
        if self.state.is_drain_window_over.load(Ordering::Relaxed) && is_idle {
            out.push(Command::LogStateChange(StateChange::Drained));
            out.push(Command::Exit);
        }
        out.push(Command::SetTimer {
            timer: TimerKey::Housekeeping,
            at: now + HOUSEKEEPING_INTERVAL,
        });
    }

    /// Starts the drain of this daemon, unless it is draining already.
    pub(super) fn drain(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let mut fleet = lock(&self.state.fleet);
        if fleet.view.is_own_leaving() {
            return;
        }
        fleet.drain(now, out);
        let window = fleet.drain_window();
        out.push(Command::LogStateChange(StateChange::Draining));
        if let Some(grace_period) = self.state.grace_period {
            // Requests still open near the end of the grace period can't be finished. Their callers
            // are refused while there is time. The kill would reset their connections without an
            // answer.
            let forced_end = grace_period.saturating_sub(FORCED_END_MARGIN);
            out.push(Command::SetTimer { timer: TimerKey::EndRequests, at: now + forced_end });
            out.push(Command::SetTimer {
                timer: TimerKey::Exit,
                at: now + forced_end + REFUSAL_FLUSH_TIME,
            });
            let accepting_time = fleet.drain_window().min(grace_period.mul_f64(ACCEPTING_FRACTION));
            *lock(&self.state.refuse_requests_from) = Some(now + accepting_time);
        }
        out.push(Command::SetTimer { timer: TimerKey::DrainWindowEnd, at: now + window });
        drop(fleet);
        let mut actions = Vec::new();
        self.state.hand_over_pools(now, &mut actions, out);
        self.state.run_actions(actions, now, out);
    }
}
