//! Which workspaces are over their share while capacity is scarce.

use std::time::Duration;

use crocusdale_core::admission::WorkspaceShares;
use crocusdale_core::identity::MonotonicTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Upstream time of a request in the tests.
const REQUEST_WORK: Duration = Duration::from_millis(100);
/// Simulated time step, in milliseconds.
const STEP_MS: u64 = 10;

/// Coordinators that admit a request as on time if the work before it takes at most 300 ms and its
/// workspace is not over its share. Each has the same part of the capacity and of the requests.
struct AdmissionBench {
    parts: Vec<(WorkspaceShares, f64)>,
    upstreams: f64,
    now_ms: u64,
    random: SmallRng,
}

impl AdmissionBench {
    fn new(parts: usize, upstreams: f64) -> Self {
        let parts = (0..parts).map(|_| (WorkspaceShares::default(), 0.0)).collect();
        Self { parts, upstreams, now_ms: 0, random: SmallRng::seed_from_u64(7) }
    }

    /// Runs for `seconds` with random arrivals. `rates` holds the requests a second of each
    /// workspace. Returns the requests a second of each that were on time.
    fn run(&mut self, seconds: u64, rates: &[f64]) -> Vec<f64> {
        let mut on_time = vec![0.0; rates.len()];
        let capacity = self.upstreams / self.parts.len() as f64;
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now_ms += STEP_MS;
            for (_, backlog) in &mut self.parts {
                *backlog = (*backlog - capacity * STEP_MS as f64 / 1_000.0).max(0.0);
            }
            let offset = self.random.random_range(0..rates.len());
            for index in 0..rates.len() {
                let workspace = (index + offset) % rates.len();
                let mut expected = rates[workspace] * STEP_MS as f64 / 1_000.0;
                while self.random.random::<f64>() < expected {
                    expected -= 1.0;
                    let admitted = self.offer(workspace, capacity);
                    on_time[workspace] += f64::from(u8::from(admitted)) / seconds as f64;
                }
            }
        }
        on_time
    }

    fn offer(&mut self, workspace: usize, capacity: f64) -> bool {
        let part = self.random.random_range(0..self.parts.len());
        let (shares, backlog) = &mut self.parts[part];
        let (name, now) = (format!("w{workspace}"), MonotonicTime::from_millis(self.now_ms));
        shares.record(&name, REQUEST_WORK, now);
        if *backlog > capacity * 0.3 {
            shares.record_scarcity(now);
            return false;
        }
        if shares.is_over_share(&name, now) {
            return false;
        }
        shares.record_admitted(&name, REQUEST_WORK, now);
        *backlog += REQUEST_WORK.as_secs_f64();
        true
    }
}

/// 40 workspaces with one request a second each, and one with `rate`.
fn many_and_one(rate: f64) -> Vec<f64> {
    let mut rates = vec![1.0; 40];
    rates.push(rate);
    rates
}

fn sum_of_small(on_time: &[f64]) -> f64 {
    on_time[..40].iter().sum()
}

/// Guards against a flood of one workspace that makes the requests of all others late. 40
/// workspaces send 40 requests a second, and capacity is for 60. One that sends 5 then sends 50,
/// with one coordinator and with a fleet partitioned in two. The test also checks that the flood
/// gets what the others leave, and its usual rate again afterwards.
#[test]
fn flood_of_one_workspace_does_not_displace_the_others() {
    for parts in [1, 2] {
        let mut bench = AdmissionBench::new(parts, 6.0);
        bench.run(30, &many_and_one(5.0));
        bench.run(2, &many_and_one(50.0));
        let flood = bench.run(20, &many_and_one(50.0));
        assert!(sum_of_small(&flood) > 36.0, "{parts} parts: {flood:?}");
        assert!(flood[40] > 12.0, "{parts} parts: {flood:?}");
        let after = bench.run(10, &many_and_one(5.0));
        assert!(after[40] > 4.0 && sum_of_small(&after) > 36.0, "{parts} parts: {after:?}");
    }
}

/// Guards against a new coordinator that refuses because it knows no usual share, and against one
/// that never learns them. It takes over during a flood, and a second flood comes later.
#[test]
fn new_coordinator_has_nobody_over_their_share() {
    let mut bench = AdmissionBench::new(1, 6.0);
    bench.run(1, &many_and_one(50.0));
    let now = MonotonicTime::from_millis(bench.now_ms);
    let (shares, _) = &mut bench.parts[0];
    assert!((0..=40).all(|workspace| !shares.is_over_share(&format!("w{workspace}"), now)));
    bench.run(60, &many_and_one(5.0));
    bench.run(2, &many_and_one(50.0));
    let flood = bench.run(10, &many_and_one(50.0));
    assert!(sum_of_small(&flood) > 36.0, "{flood:?}");
}

/// Guards against a large workspace that is served worse than small ones because it is large. It
/// sends half of all requests, and all workspaces send twice of what there is capacity for.
#[test]
fn large_steady_workspace_keeps_its_share() {
    let mut bench = AdmissionBench::new(1, 4.0);
    bench.run(30, &many_and_one(40.0));
    let on_time = bench.run(20, &many_and_one(40.0));
    let ratio = on_time[40] / sum_of_small(&on_time);
    assert!((0.85..1.15).contains(&ratio), "{ratio}");
}

/// Guards against workspaces without a usual share that get nothing when they return during a
/// flood. Ten of them send 0.4 requests a second each, which is below half of an equal share.
#[test]
fn silent_workspaces_are_served_when_they_return() {
    let mut bench = AdmissionBench::new(1, 4.0);
    let mut rates = many_and_one(5.0);
    rates[..10].fill(0.0);
    bench.run(60, &rates);
    rates[40] = 50.0;
    bench.run(4, &rates);
    rates[..10].fill(0.4);
    let on_time = bench.run(30, &rates);
    let returned: f64 = on_time[..10].iter().sum();
    assert!(returned > 0.8 * 4.0, "{on_time:?}");
}

/// Records requests for `seconds` while capacity is scarce. Each row has a workspace, its requests
/// in 100 ms, and how many of them are admitted. Returns the workspaces that are over their share.
fn workspaces_over_share<'a>(
    shares: &mut WorkspaceShares,
    now_ms: &mut u64,
    seconds: u64,
    rows: &[(&'a str, u32, u32)],
) -> Vec<&'a str> {
    for _ in 0..seconds * 10 {
        *now_ms += 100;
        let now = MonotonicTime::from_millis(*now_ms);
        shares.record_scarcity(now);
        for (workspace, sent, admitted) in rows {
            (0..*sent).for_each(|_| shares.record(workspace, REQUEST_WORK, now));
            (0..*admitted).for_each(|_| shares.record_admitted(workspace, REQUEST_WORK, now));
        }
    }
    let now = MonotonicTime::from_millis(*now_ms + 100);
    let over = rows.iter().filter(|(workspace, _, _)| shares.is_over_share(workspace, now));
    over.map(|(workspace, _, _)| *workspace).collect()
}

/// Guards against a workspace whose requests are more urgent than those of others, and that counts
/// as over its share although it sends what it always sends. Also guards against a flood that is
/// refused while everyone else is served, and against a returned workspace that counts as a flood
/// with less than half of an equal share.
#[test]
fn only_a_flood_at_the_cost_of_others_is_over_its_share() {
    let (mut shares, mut now) = (WorkspaceShares::default(), 0);
    let mut run = |seconds, rows: &_| workspaces_over_share(&mut shares, &mut now, seconds, rows);
    let nobody: [&str; 0] = [];
    assert_eq!(run(30, &[("urgent", 10, 10), ("desk", 10, 2), ("mail", 10, 2)]), nobody);
    assert_eq!(run(30, &[("urgent", 10, 10), ("desk", 10, 10), ("mail", 10, 10)]), nobody);
    assert_eq!(run(2, &[("urgent", 10, 10), ("desk", 10, 10), ("mail", 60, 20)]), nobody);
    let returned = [("urgent", 10, 8), ("desk", 10, 8), ("mail", 60, 20), ("silent", 3, 3)];
    assert_eq!(run(2, &returned), ["mail"]);
}

/// Guards against a state that grows with the number of names that callers send.
#[test]
fn number_of_workspaces_is_bounded() {
    let mut shares = WorkspaceShares::default();
    for workspace in 0..2_000 {
        let now = MonotonicTime::from_millis(workspace / 10);
        shares.record(&format!("w{workspace}"), REQUEST_WORK, now);
    }
    assert_eq!(shares.len(), 1_024);
    let report =
        |shares: &mut WorkspaceShares| shares.take_dropped(MonotonicTime::from_millis(200));
    assert_eq!((report(&mut shares), report(&mut shares)), (Some(976), None));
}
