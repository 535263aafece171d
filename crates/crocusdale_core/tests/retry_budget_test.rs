//! The bound on retries, as all daemons together keep it.

use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::retry::RetryLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_202;
const WINDOW_MS: u64 = 10_000;

/// What happens at one daemon.
#[derive(Clone, Copy, Debug)]
enum Step {
    First,
    Failure,
    Pause(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::First),
        4 => Just(Step::Failure),
        1 => (1_u64..2_000).prop_map(Step::Pause),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Everything fails, at every daemon, and each tries to repeat whatever it can. In no window
    /// may they repeat more than the users' bound, whoever spends and when.
    #[test]
    fn retries_of_all_daemons_stay_below_the_bound(
        daemons in 1_usize..9,
        steps in proptest::collection::vec((0_usize..9, step()), 0..1_200),
    ) {
        let limits = RetryLimits {
            ratio: 0.2,
            reserve: 52.0,
            window: Duration::from_millis(WINDOW_MS),
        };
        let mut budgets: Vec<_> = (0..daemons).map(|_| limits.budget(daemons)).collect();
        let mut millis = 0;
        let (mut firsts, mut retries) = (Vec::new(), Vec::new());
        for (daemon, step) in steps {
            let budget = &mut budgets[daemon % daemons];
            let now = MonotonicTime::from_millis(millis);
            match step {
                Step::First => {
                    budget.record_first_attempt(now);
                    firsts.push(millis);
                }
                Step::Failure if budget.take_retry(now) => retries.push(millis),
                Step::Failure => {}
                Step::Pause(pause) => millis += pause,
            }
        }
        let within = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|at| (from..to).contains(*at)).count() as f64
        };
        for start in &retries {
            let spent = within(&retries, *start, start + WINDOW_MS);
            // What was earned before the window may be spent in it, up to what can be saved.
            let earned = within(&firsts, start.saturating_sub(WINDOW_MS), start + WINDOW_MS);
            prop_assert!(spent <= 0.2 * earned + 52.0, "{spent} with {earned} first attempts");
        }
    }
}

/// Daemons learn late that one more has joined. The part that each keeps back covers it: the sum of
/// what they may save up never exceeds the users' reserve.
#[test]
fn reserve_is_divided_among_the_daemons() {
    let limits =
        RetryLimits { ratio: 0.2, reserve: 52.0, window: Duration::from_millis(WINDOW_MS) };
    let mut budgets: Vec<_> = (0..6).map(|_| limits.budget(5)).collect();
    let now = MonotonicTime::from_millis(0);
    for budget in &mut budgets {
        for _ in 0..1_000 {
            budget.record_first_attempt(now);
        }
    }
    let spent: usize = budgets
        .iter_mut()
        .map(|budget| (0..1_000).filter(|_| budget.take_retry(now)).count())
        .sum();
    assert!(spent <= 26, "{spent} retries at one moment");
}
