//! Choice of engines by the placement coordinator of a pool, in virtual time.

#[path = "support/engine_fleet.rs"]
mod engine_fleet;

use engine_fleet::EngineFleet;

/// Guards against slow engines that get as many requests as fast ones, because no daemon sends
/// enough requests to an engine to learn its speed. The load is that of 75 daemons with 140 engines
/// of 16 slots, of which a third is 2.4 times slower and each is slow for moments.
#[test]
fn slow_engines_get_fewer_requests() {
    let mut fleet = EngineFleet::new(140, 1, 7);
    fleet.run(400.0, 20.0);
    for engine in &mut fleet.engines {
        engine.requests = 0;
    }
    fleet.first_event_ms.clear();
    fleet.run(400.0, 40.0);
    let share = fleet.slow_share();
    println!(
        "share {share} p50 {} p90 {} p99 {}",
        fleet.first_event_quantile(0.5),
        fleet.first_event_quantile(0.9),
        fleet.first_event_quantile(0.99)
    );
    assert!(share <= 0.6, "the slow third got {share} of the requests of the fast third");
}
