use std::collections::HashMap;
use std::time::Duration;

use super::return_slots::CALLER_WAIT_DIVISOR;
use super::{
    AdmissionDecision, AdmissionInputs, AdmissionLimits, AdmissionRequest, AdmissionStep,
    AdmissionVerdict, ExpiredAdmissions, PoolLedger, RefusedRequest, ReturnSlots, SlotClaim,
    SlotOutcome, StepDemand, WorkspaceShares,
};
use crate::batching::PoolStatus;
use crate::configuration::{BatchRules, SchedulingSettings};
use crate::identity::MonotonicTime;

/// Fraction of the time to the deadline by which a late request must be expected to end. The rest
/// is a margin for the error of the forecast.
const DEADLINE_FRACTION: f64 = 0.85;
/// Smallest `Retry-After` of a refusal: the pools are overloaded at least for a call.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Decides for each request of one admission section whether it starts now, starts later, or is
/// refused, by the work that is waiting and promised at every pool that the request needs.
#[derive(Debug)]
pub struct AdmissionCoordinator {
    limits: AdmissionLimits,
    /// Ledgers of the batched pools, by name of the pool.
    ledgers: HashMap<String, PoolLedger>,
    /// `None` if workspaces keep no share.
    shares: Option<WorkspaceShares>,
    /// `None` if no capacity is reserved for refused callers.
    slots: Option<ReturnSlots>,
}

/// When a request reaches each of its steps, and how long it is delayed there.
#[derive(Debug, Default)]
struct ChainForecast {
    /// Time from the start of the request to its arrival at each step.
    arrivals: Vec<Duration>,
    delays: Vec<Duration>,
    /// Time from the start of the request to the end of its last step.
    end: Duration,
}

impl AdmissionCoordinator {
    /// Creates a coordinator with empty ledgers that applies the rules which `settings` turn on.
    #[must_use]
    pub fn new(limits: AdmissionLimits, settings: SchedulingSettings) -> Self {
        let shares = settings.workspace_shares.then(WorkspaceShares::default);
        let slots = settings.return_slots.then(ReturnSlots::default);
        Self { limits, ledgers: HashMap::new(), shares, slots }
    }

    /// Records the status of a section of `pool`.
    pub fn record_status(
        &mut self,
        pool: &str,
        rules: BatchRules,
        status: PoolStatus,
        now: MonotonicTime,
    ) {
        self.ledger(pool, rules).record_status(status, now);
    }

    /// Decides on `request` and enters what the decision promises. `rules_of` returns the declared
    /// call of a batched pool, and `None` for other pools. A request of a workspace over its share
    /// is served behind those that can be on time.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest,
        rules_of: &impl Fn(&str) -> Option<BatchRules>,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        self.record_demand(request, rules_of, now);
        // Claimed first, so that the request does not wait behind its own slot.
        let claim = self.slots.as_mut().and_then(|slots| slots.claim(request.digest, now));
        let forecast = self.on_time_forecast(request, now);
        let latest_end = request.objective_in.mul_f64(self.limits.objective_fraction);
        let is_late = forecast.end > latest_end;
        let is_over_share = self.record_usage(request, is_late, latest_end, now);
        let inputs = AdmissionInputs {
            forecast: forecast.end,
            late_wait: self.late_wait(request, now),
            status_age: self.status_age(request, now),
            is_over_share,
            return_slot: claim.map(SlotOutcome::from),
        };
        if let Some(SlotClaim::Early { remaining }) = claim {
            let verdict = AdmissionVerdict::Refuse(remaining);
            return AdmissionDecision { verdict, step_delays: forecast.delays, inputs };
        }
        if is_late || (is_over_share && claim.is_none()) {
            return self.decide_late(request, claim.is_some(), inputs, now);
        }
        let work = self.request_work(request);
        if let Some(shares) = &mut self.shares {
            shares.record_admitted(&request.workspace, work, now);
        }
        self.promise(request, &forecast, now, PoolLedger::promise_on_time, now);
        let (verdict, step_delays) = (AdmissionVerdict::Start, forecast.delays);
        AdmissionDecision { verdict, step_delays, inputs }
    }

    /// Decides on a request that is served behind those that can be on time. One that came back to
    /// its slot starts at once, unless it would end after its deadline.
    fn decide_late(
        &mut self,
        request: &AdmissionRequest,
        is_claimed: bool,
        mut inputs: AdmissionInputs,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let late_step_wait = |ledger: &PoolLedger, step: &AdmissionStep, _| {
            ledger.late_step_wait(ledger.work(step.pieces), now)
        };
        let forecast = self.forecast(request, late_step_wait, now);
        // A slot was reserved with the margin for the forecast, and is not refused again for it.
        let deadline_fraction = if is_claimed { 1.0 } else { DEADLINE_FRACTION };
        let longest_wait = request.deadline_in.mul_f64(deadline_fraction).checked_sub(forecast.end);
        // A promised start can't be taken back for a more urgent request that comes later. So the
        // end of the late queue is kept for the urgent levels.
        let queue_share = 1.0 / (1.0 + f64::from(request.level));
        let late_wait = if is_claimed { Duration::ZERO } else { inputs.late_wait };
        let verdict = match longest_wait {
            Some(longest_wait) if late_wait <= longest_wait.mul_f64(queue_share) => {
                let start = now + late_wait;
                self.promise(request, &forecast, start, PoolLedger::promise_late, now);
                AdmissionVerdict::StartAfter(late_wait)
            }
            _ => {
                let latest_return = request.deadline_in / CALLER_WAIT_DIVISOR;
                let can_return = longest_wait.is_some_and(|wait| wait >= latest_return);
                let slot_wait =
                    can_return.then(|| self.reserve_slot(request, &forecast, now)).flatten();
                if self.slots.is_some() {
                    let reserved = slot_wait.map(|_| SlotOutcome::Reserved);
                    inputs.return_slot = Some(reserved.unwrap_or(SlotOutcome::Missing));
                }
                let retry_after = slot_wait.unwrap_or_else(|| self.refusal_wait(request, now));
                AdmissionVerdict::Refuse(retry_after)
            }
        };
        AdmissionDecision { verdict, step_delays: forecast.delays, inputs }
    }

    fn on_time_forecast(&self, request: &AdmissionRequest, now: MonotonicTime) -> ChainForecast {
        let wait = |ledger: &PoolLedger, _: &AdmissionStep, arrival| {
            ledger.on_time_wait(request.level, now + arrival, now)
        };
        self.forecast(request, wait, now)
    }

    /// Reserves capacity for the return of a refused request, and returns the time until then.
    ///
    /// Most callers come back when their objective has passed, and are served as late. So the slots
    /// are part of the capacity of late requests; in a larger part they would expire at the pools.
    fn reserve_slot(
        &mut self,
        request: &AdmissionRequest,
        forecast: &ChainForecast,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let slots = self.slots.as_mut()?;
        let steps = request.steps.iter().zip(&forecast.arrivals);
        let steps = steps.filter(|(step, _)| step.pieces > 0).filter_map(|(step, arrival)| {
            let ledger = self.ledgers.get(&step.pool)?;
            Some(StepDemand {
                pool: &step.pool,
                work: Duration::from_secs_f64(ledger.work(step.pieces)),
                delay: *arrival,
                capacity: ledger.spare_capacity(now)?,
            })
        });
        let steps: Vec<StepDemand<'_>> = steps.collect();
        let refused = RefusedRequest {
            digest: request.digest,
            level: request.level,
            time_left: request.deadline_in,
            not_before: MIN_RETRY_AFTER,
            steps: &steps,
        };
        slots.reserve(&refused, now)
    }

    /// Releases the slots of callers that did not come back, and adds to `expired` what was dropped
    /// since the last call.
    pub fn expire(&mut self, expired: &mut ExpiredAdmissions, now: MonotonicTime) {
        if let Some(shares) = &mut self.shares {
            expired.dropped_workspaces += shares.take_dropped(now).unwrap_or_default();
        }
        if let Some(slots) = &mut self.slots {
            expired.expired_slots += slots.take_expired(now);
            expired.dropped_refusals += slots.take_dropped(now).unwrap_or_default();
        }
    }

    fn record_demand(
        &mut self,
        request: &AdmissionRequest,
        rules_of: &impl Fn(&str) -> Option<BatchRules>,
        now: MonotonicTime,
    ) {
        for step in request.steps.iter().filter(|step| step.pieces > 0) {
            if let Some(rules) = rules_of(&step.pool) {
                let ledger = self.ledger(&step.pool, rules);
                ledger.record_demand(request.level, ledger.work(step.pieces), now);
            }
        }
    }

    /// Records the request for the share of its workspace, and returns whether the workspace is over
    /// it. A request that would be late without any queue says nothing about the capacity.
    fn record_usage(
        &mut self,
        request: &AdmissionRequest,
        is_late: bool,
        latest_end: Duration,
        now: MonotonicTime,
    ) -> bool {
        let work = self.request_work(request);
        let is_queued = is_late && chain_forecast(request, |_, _| Duration::ZERO).end <= latest_end;
        let Some(shares) = &mut self.shares else { return false };
        shares.record(&request.workspace, work, now);
        if is_queued {
            shares.record_scarcity(now);
        }
        shares.is_over_share(&request.workspace, now)
    }

    /// Upstream time of all pieces of a request.
    fn request_work(&self, request: &AdmissionRequest) -> Duration {
        let steps = request.steps.iter().filter(|step| step.pieces > 0);
        let work = steps.filter_map(|step| Some(self.ledgers.get(&step.pool)?.work(step.pieces)));
        Duration::from_secs_f64(work.sum())
    }

    /// `Retry-After` of a refused request: the time until the late queue of the slowest pool that
    /// it needs is worked off. It holds for requests without a slot.
    fn refusal_wait(&self, request: &AdmissionRequest, now: MonotonicTime) -> Duration {
        self.late_wait(request, now).max(MIN_RETRY_AFTER)
    }

    /// Forecast of a request that starts now. `wait_of` returns the wait at a pool, given the step
    /// and the time until the request reaches it.
    fn forecast(
        &self,
        request: &AdmissionRequest,
        wait_of: impl Fn(&PoolLedger, &AdmissionStep, Duration) -> Duration,
        now: MonotonicTime,
    ) -> ChainForecast {
        chain_forecast(request, |step, arrival| {
            let ledger = self.ledgers.get(&step.pool).filter(|_| step.pieces > 0);
            ledger.map_or(Duration::ZERO, |ledger| {
                let wait = wait_of(ledger, step, arrival);
                wait + ledger.call_delay(step.step_time, wait, now)
            })
        })
    }

    /// Enters the work of a request that starts at `start` in the ledgers of its pools.
    fn promise(
        &mut self,
        request: &AdmissionRequest,
        forecast: &ChainForecast,
        start: MonotonicTime,
        enter: impl Fn(&mut PoolLedger, u8, f64, MonotonicTime, MonotonicTime),
        now: MonotonicTime,
    ) {
        for (step, arrival) in request.steps.iter().zip(&forecast.arrivals) {
            if let Some(ledger) = self.ledgers.get_mut(&step.pool).filter(|_| step.pieces > 0) {
                let work = ledger.work(step.pieces);
                enter(ledger, request.level, work, start + *arrival, now);
            }
        }
    }

    fn late_wait(&self, request: &AdmissionRequest, now: MonotonicTime) -> Duration {
        let waits = self.needed_ledgers(request).map(|(pool, ledger)| {
            let wait = ledger.late_wait(now);
            wait + self.return_wait(pool, ledger, request.level, now + wait, now)
        });
        waits.max().unwrap_or_default()
    }

    /// Wait of a late request behind the callers that are expected back before `end`.
    fn return_wait(
        &self,
        pool: &str,
        ledger: &PoolLedger,
        level: u8,
        end: MonotonicTime,
        now: MonotonicTime,
    ) -> Duration {
        let (Some(slots), Some(capacity)) = (&self.slots, ledger.spare_capacity(now)) else {
            return Duration::ZERO;
        };
        slots.expected_work(pool, level, now, end).div_f64(capacity)
    }

    fn status_age(&self, request: &AdmissionRequest, now: MonotonicTime) -> Option<Duration> {
        let mut ages = self.needed_ledgers(request).map(|(_, ledger)| ledger.status_age(now));
        ages.try_fold(Duration::ZERO, |oldest, age| age.map(|age| oldest.max(age)))
    }

    /// Batched pools that the request needs, with their ledgers.
    fn needed_ledgers<'a>(
        &'a self,
        request: &'a AdmissionRequest,
    ) -> impl Iterator<Item = (&'a str, &'a PoolLedger)> {
        let steps = request.steps.iter().filter(|step| step.pieces > 0);
        steps.filter_map(|step| Some((step.pool.as_str(), self.ledgers.get(&step.pool)?)))
    }

    fn ledger(&mut self, pool: &str, rules: BatchRules) -> &mut PoolLedger {
        let limits = self.limits;
        let ledger = self.ledgers.entry(pool.to_owned());
        let ledger = ledger.or_insert_with(|| PoolLedger::new(rules, limits));
        ledger.set_rules(rules);
        ledger
    }
}

/// Forecast of a request that starts now. `delay_of` returns the delay of a step, given the time
/// until the request reaches it.
fn chain_forecast(
    request: &AdmissionRequest,
    delay_of: impl Fn(&AdmissionStep, Duration) -> Duration,
) -> ChainForecast {
    let mut forecast = ChainForecast::default();
    let mut ends: Vec<Duration> = Vec::with_capacity(request.steps.len());
    for step in &request.steps {
        let needed = step.after.iter().filter_map(|position| ends.get(*position));
        let arrival = needed.max().copied().unwrap_or_default();
        let delay = delay_of(step, arrival);
        let end = arrival.saturating_add(delay).saturating_add(step.step_time);
        forecast.arrivals.push(arrival);
        forecast.delays.push(delay);
        forecast.end = forecast.end.max(end);
        ends.push(end);
    }
    forecast
}
