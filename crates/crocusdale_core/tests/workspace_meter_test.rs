//! Detection of workspaces whose requests count as a flood.

use crocusdale_core::admission::WorkspaceMeter;
use crocusdale_core::identity::MonotonicTime;

/// Records requests of all workspaces for `millis` milliseconds. `rates` holds the number of
/// requests in 100 ms of each workspace. Returns the number of requests of each that count as a
/// flood.
fn record_requests(
    meter: &mut WorkspaceMeter,
    now: &mut u64,
    millis: u64,
    rates: &[usize],
) -> Vec<usize> {
    let mut floods = vec![0; rates.len()];
    for _ in 0..millis / 100 {
        *now += 100;
        for (workspace, rate) in rates.iter().enumerate() {
            let name = format!("w{workspace}");
            let at = MonotonicTime::from_millis(*now);
            floods[workspace] += (0..*rate).filter(|_| meter.record_request(&name, at)).count();
        }
    }
    floods
}

/// Guards against a flood of one workspace that goes unnoticed or is held against it for good. A
/// small workspace suddenly sends twelve times as many requests. Within a second they count as a
/// flood, those of the others never do, and a few seconds after the flood its requests are ordinary
/// again.
#[test]
fn flood_of_one_workspace_is_detected_and_its_end_too() {
    let (mut meter, mut now) = (WorkspaceMeter::default(), 0);
    assert_eq!(record_requests(&mut meter, &mut now, 10_000, &[4, 2, 1]), [0, 0, 0]);
    record_requests(&mut meter, &mut now, 1_000, &[4, 2, 12]);
    assert_eq!(record_requests(&mut meter, &mut now, 7_000, &[4, 2, 12]), [0, 0, 12 * 70]);
    record_requests(&mut meter, &mut now, 5_000, &[4, 2, 1]);
    assert_eq!(record_requests(&mut meter, &mut now, 5_000, &[4, 2, 1]), [0, 0, 0]);
}

/// Guards against a general rise that counts as a flood. All workspaces, one of them large, send
/// three times as many requests in the morning.
#[test]
fn burst_of_all_workspaces_is_no_flood() {
    let (mut meter, mut now) = (WorkspaceMeter::default(), 0);
    record_requests(&mut meter, &mut now, 10_000, &[8, 2, 1]);
    assert_eq!(record_requests(&mut meter, &mut now, 6_000, &[24, 6, 3]), [0, 0, 0]);
}

/// Guards against the first requests after a process start that count as a flood, since no usual
/// rate is known yet.
#[test]
fn first_requests_are_no_flood() {
    let (mut meter, mut now) = (WorkspaceMeter::default(), 0);
    assert_eq!(record_requests(&mut meter, &mut now, 1_900, &[9]), [0]);
}
