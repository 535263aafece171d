//! Retry budgets of single daemons, whose sum must stay below the bound on retries of the fleet.

use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::retry::RetryLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed seed, so that each run of the property test draws the same cases.
const SEED: u64 = 20_261_202;
const WINDOW_MS: u64 = 10_000;

/// Event of the simulation. A pause, in milliseconds, passes at all daemons.
#[derive(Clone, Copy, Debug)]
enum BudgetEvent {
    FirstAttempt,
    Failure,
    Pause(u64),
}

fn budget_event() -> impl Strategy<Value = BudgetEvent> {
    prop_oneof![
        2 => Just(BudgetEvent::FirstAttempt),
        4 => Just(BudgetEvent::Failure),
        1 => (1_u64..2_000).prop_map(BudgetEvent::Pause),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against retry storms. Every attempt fails at every daemon, and each daemon retries as
    /// often as its budget allows. In no window may all daemons together exceed the bound that
    /// users state, whichever daemon spends and when.
    #[test]
    fn retries_of_all_daemons_stay_below_the_bound(
        daemons in 1_usize..9,
        events in proptest::collection::vec((0_usize..9, budget_event()), 0..1_200),
    ) {
        let limits = RetryLimits {
            ratio: 0.2,
            reserve: 52.0,
            window: Duration::from_millis(WINDOW_MS),
        };
        let mut budgets: Vec<_> = (0..daemons).map(|_| limits.budget(daemons)).collect();
        let mut millis = 0;
        let (mut firsts, mut retries) = (Vec::new(), Vec::new());
        for (daemon, budget_event) in events {
            let budget = &mut budgets[daemon % daemons];
            let now = MonotonicTime::from_millis(millis);
            match budget_event {
                BudgetEvent::FirstAttempt => {
                    budget.record_first_attempt(now);
                    firsts.push(millis);
                }
                BudgetEvent::Failure if budget.take_retry(now) => retries.push(millis),
                BudgetEvent::Failure => {}
                BudgetEvent::Pause(pause) => millis += pause,
            }
        }
        let count_within = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|at| (from..to).contains(*at)).count() as f64
        };
        for start in &retries {
            let spent = count_within(&retries, *start, start + WINDOW_MS);
            // Retries that were earned before the window may be spent count_within it, up to the
            // reserve.
            let earned = count_within(&firsts, start.saturating_sub(WINDOW_MS), start + WINDOW_MS);
            prop_assert!(
                spent <= 0.2 * earned + 52.0,
                "{spent} retries for {earned} first attempts exceed the bound"
            );
        }
    }
}

/// Guards against reserves that exceed the bound while daemons still learn that another one has
/// joined. Here each of six daemons counts only five. The part of the reserve that each holds back
/// must cover the difference.
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
    assert!(spent <= 26, "{spent} retries at one moment, at most 26 expected");
}

/// Guards against a fleet so large that a daemon's part of the reserve is less than one retry: no
/// request would ever be sent again. All daemons together must use a good part of the reserve, and
/// stay within the bound.
#[test]
fn daemons_with_a_part_below_one_retry_share_the_reserve() {
    const RESERVE: f64 = 640.0;
    let limits =
        RetryLimits { ratio: 0.0, reserve: RESERVE, window: Duration::from_millis(WINDOW_MS) };
    for daemons in [300, 585, 1_170, 3_000] {
        let seeded = |seed: usize| limits.budget(daemons).seed(seed as u64);
        let mut budgets: Vec<_> = (0..daemons).map(seeded).collect();
        let mut by_second = Vec::new();
        for second in 60..100 {
            let now = MonotonicTime::from_millis(second * 1_000);
            let taken =
                budgets.iter_mut().filter_map(|budget| budget.take_retry(now).then_some(()));
            by_second.push(taken.count());
        }
        let windows: Vec<usize> = by_second.windows(10).map(|window| window.iter().sum()).collect();
        let most = windows.iter().max().copied().unwrap_or_default() as f64;
        assert!(most <= RESERVE, "{daemons} daemons: {most} retries in one window");
        assert!(most >= RESERVE / 3.0, "{daemons} daemons: {most} retries in one window");
    }
}
