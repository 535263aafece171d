//! Whose requests count as a flood.

use crocusdale_core::admission::WorkspaceMeter;
use crocusdale_core::identity::MonotonicTime;

/// Sends the requests of each workspace for `millis`, in turn, each with its number in 100 ms;
/// returns how many of each count as a flood.
fn send(meter: &mut WorkspaceMeter, now: &mut u64, millis: u64, rates: &[usize]) -> Vec<usize> {
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

/// A small workspace suddenly sends twelve times as much. Within a second its requests count as a
/// flood, those of the others never do, and a few seconds later it is forgiven.
#[test]
fn sudden_flood_of_one_workspace_is_noticed_and_forgiven() {
    let (mut meter, mut now) = (WorkspaceMeter::default(), 0);
    assert_eq!(send(&mut meter, &mut now, 10_000, &[4, 2, 1]), [0, 0, 0]);
    send(&mut meter, &mut now, 1_000, &[4, 2, 12]);
    assert_eq!(send(&mut meter, &mut now, 7_000, &[4, 2, 12]), [0, 0, 12 * 70]);
    send(&mut meter, &mut now, 5_000, &[4, 2, 1]);
    assert_eq!(send(&mut meter, &mut now, 5_000, &[4, 2, 1]), [0, 0, 0]);
}

/// All workspaces send three times as much in the morning, and one of them is large. Nobody floods.
#[test]
fn burst_of_all_is_no_flood() {
    let (mut meter, mut now) = (WorkspaceMeter::default(), 0);
    send(&mut meter, &mut now, 10_000, &[8, 2, 1]);
    assert_eq!(send(&mut meter, &mut now, 6_000, &[24, 6, 3]), [0, 0, 0]);
}

/// A process has just started, and nothing is usual yet. The first to come must not count as a flood.
#[test]
fn first_requests_are_no_flood() {
    let (mut meter, mut now) = (WorkspaceMeter::default(), 0);
    assert_eq!(send(&mut meter, &mut now, 1_900, &[9]), [0]);
}
