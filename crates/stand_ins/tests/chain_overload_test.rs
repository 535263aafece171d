//! Requests that pass three pools, each a little more than busy. Every pool alone is in time, and the
//! request as a whole is late by a wait here and a fuller call there.

use stand_ins::{CallForming, ModelLoad, ModelReport};

/// Runs that are averaged: one burst differs from the next by more than what is looked for.
const SEEDS: [u64; 3] = [1, 2, 3];

fn runs() -> Vec<ModelReport> {
    let load = ModelLoad::parse(include_str!("../loads/chains.ini")).expect("a load");
    SEEDS.map(|seed| load.run(CallForming::OneDispatcher, seed)).into()
}

/// In a burst nearly all requests were answered 0.1 s to 0.2 s after their objective. Each pool let a
/// request wait until the last moment from which the pools after it would be in time with nothing
/// waiting there; but these were as busy. Where the load of the later pools is reserved, whoever can't
/// be in time stands behind, and most of the others are: the pools have room for nineteen in twenty,
/// and three in four of all must be in time.
#[test]
fn steps_leave_time_for_the_load_of_later_pools() {
    let runs = runs();
    let share: f64 = runs.iter().map(|run| run.share("chain")).sum::<f64>() / runs.len() as f64;
    assert!(share > 0.75, "{share}");
    assert!(runs.iter().all(|run| run.share("single") > 0.95), "who passes one pool must not pay");
}

/// In the same burst each upstream that came free took the requests with the least time left, whose
/// inputs then lay in another zone: links between zones were full of them, and operators pay for each
/// byte. About 10 GB are fetched; three quarters must stay in their zone.
#[test]
fn full_pools_keep_fetches_in_their_zone() {
    let runs = runs();
    let crossed: u64 = runs.iter().map(|run| run.crossed_bytes).sum::<u64>() / runs.len() as u64;
    assert!(crossed < 2_500_000_000, "{crossed} bytes");
}
