//! Calls that pieces of many requests share.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;

use std::collections::HashMap;
use std::time::Duration;

use crocusdale_core::batching::{BatchOutcome, ItemOutcome};
use crocusdale_core::pipeline::PieceFault;

use batch_bench::{Bench, CALL_MS, PIECE_MS, PIECES, ROOM, made};

/// A burst: many requests of a few pieces each arrive while the one upstream works. Each in a call
/// of its own would take a fifth of a second; users would see all but the first few come late.
/// What waited shares the next call, up to what a call holds.
#[test]
fn what_waits_during_a_call_shares_the_next_one() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let first = bench.order(2, 900);
    bench.offer(first);
    assert_eq!(bench.calls[0].items.len(), 2, "a free upstream is not kept waiting");
    for _ in 0..5 {
        let order = bench.order(3, 900);
        bench.offer(order);
    }
    assert_eq!(bench.calls.len(), 1, "the upstream takes one call at a time");
    bench.advance(210);
    bench.end_call(made);
    assert_eq!(bench.calls[0].items.len(), 15, "all that waited fits into one call");
    assert_eq!(bench.settled.len(), 1);
}

/// A burst is larger than what all upstreams take at once. If each call held whole requests only,
/// every call would leave places empty, and the backlog of the burst would last that much longer.
#[test]
fn calls_are_full_while_more_waits_than_they_hold() {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..9 {
        let order = bench.order(3, 900);
        bench.offer(order);
    }
    bench.advance(220);
    bench.end_call(made);
    assert_eq!(bench.calls[0].items.len(), PIECES as usize);
}

/// Two users' requests wait for the same pool; the one that is needed later came first. In order of
/// arrival the urgent one would miss its objective for nothing.
#[test]
fn pieces_that_are_needed_first_go_first() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let busy = bench.order(1, 900);
    bench.offer(busy);
    let later = bench.order(PIECES, 3_000);
    let later = bench.offer(later);
    let sooner = bench.order(PIECES, 700);
    let sooner = bench.offer(sooner);
    bench.advance(200);
    bench.end_call(made);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", sooner.call.0));
    bench.advance(300);
    bench.end_call(made);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", later.call.0));
}

/// A burst is over, and requests wait that missed their objectives in it, beside fresh ones that
/// can still be in time. Served in order of age, each late one would make a fresh one late too, and
/// users would see nothing but late answers long after the burst.
#[test]
fn late_pieces_wait_for_those_that_can_be_in_time() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let busy = bench.order(1, 900);
    bench.offer(busy);
    let late = bench.order(PIECES, 100);
    bench.offer(late);
    bench.advance(200);
    let fresh = bench.order(PIECES, 700);
    let fresh = bench.offer(fresh);
    bench.end_call(made);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", fresh.call.0));
}

/// An upstream dies in the middle of a call, without a word. Its pieces would be waited for until
/// the users' deadlines. The call counts as lost after a few times its length, and the pieces go
/// to another upstream.
#[test]
fn pieces_of_a_lost_call_go_to_another_upstream() {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "a")]);
    let order = bench.order(4, 2_000);
    let attempt = bench.offer(order);
    let dead = bench.calls.remove(0);
    bench.advance(1_500);
    assert_eq!(bench.cancelled, [dead.batch]);
    assert_ne!(bench.calls[0].upstream, dead.upstream);
    bench.end_call(made);
    assert!(matches!(&bench.settled[..], [(settled, Ok(results))]
        if *settled == attempt && results.len() == 4));
}

/// An upstream is full of results that nobody gave up yet. A call that goes there all the same
/// would take its whole time and come back with nothing, for every request in it.
#[test]
fn calls_hold_no_more_than_the_room_for_results() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let mut order = bench.order(10, 900);
    order.result_bytes = 200_000;
    bench.offer(order);
    assert_eq!(bench.calls[0].items.len(), 4, "four results of 200 kB fit into 0.9 of a megabyte");
    bench.advance(250);
    bench.end_call(made);
    assert!(bench.calls.is_empty(), "the results lie there still");
    bench.advance(4_100);
    assert_eq!(bench.calls[0].items.len(), 4, "they have lapsed");
}

/// One piece of a call fails by chance, as some in a thousand do. The request must not fail with
/// it, and the other pieces must not be made twice.
#[test]
fn single_failed_piece_is_made_again_alone() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(5, 2_000);
    bench.offer(order);
    bench.advance(250);
    bench.end_call(|index| if index == 3 { ItemOutcome::Failed } else { made(index) });
    assert_eq!(bench.calls[0].items.len(), 1);
    assert_eq!(bench.calls[0].items[0].piece, 3);
    bench.advance(250);
    bench.end_call(|_| made(30));
    assert!(matches!(&bench.settled[..], [(_, Ok(results))] if results.len() == 5));
}

/// Another process has taken over an upstream's address. It refuses the call; the pieces have not
/// run, and whoever is called next must not be that address again.
#[test]
fn address_of_another_process_is_left_alone() {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "a")]);
    let order = bench.order(5, 2_000);
    bench.offer(order);
    let displaced = bench.end_call_as(BatchOutcome::WrongProcess);
    assert_ne!(bench.calls[0].upstream, displaced.upstream);
    bench.advance(250);
    bench.end_call(made);
    let order = bench.order(5, 2_000);
    bench.offer(order);
    assert_ne!(bench.calls[0].upstream, displaced.upstream);
}

/// The results of a step are large, and the step that fetches them is done in another zone because
/// an upstream there happened to be free. Users see no difference, but every byte crosses zones.
#[test]
fn pieces_go_to_the_zone_that_is_asked_for_while_that_is_in_time() {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "b")]);
    let mut order = bench.order(1, 2_000);
    order.zone = Some("b".to_owned());
    bench.offer(order.clone());
    assert_eq!(bench.calls[0].upstream, "u2");
    let mut order = bench.order(1, 2_000);
    order.zone = Some("b".to_owned());
    bench.offer(order);
    assert_eq!(bench.calls.len(), 1, "it can wait for its zone and still be in time");
    let mut order = bench.order(1, 300);
    order.zone = Some("b".to_owned());
    bench.offer(order);
    assert_eq!(bench.calls[1].upstream, "u1", "it would be late in its own zone");
}

/// An upstream turns five times slower, and is as free as the others. Calls that go there at once
/// end later than if they had waited for a sound one.
#[test]
fn slow_upstream_gets_calls_only_while_the_others_are_busy_for_long() {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "a")]);
    let slow = "u1";
    for _ in 0..2 {
        let (order, other) = (bench.order(1, 2_000), bench.order(1, 2_000));
        bench.offer(order);
        bench.offer(other);
        bench.calls.sort_by(|left, right| right.upstream.cmp(&left.upstream));
        bench.advance(205);
        bench.end_call(made);
        bench.advance(550);
        bench.end_call(made);
    }
    let order = bench.order(PIECES, 2_000);
    bench.offer(order);
    assert_ne!(bench.calls[0].upstream, slow);
    bench.advance(100);
    let order = bench.order(PIECES, 2_000);
    bench.offer(order);
    assert_eq!(
        bench.calls.len(),
        1,
        "the sound one is free sooner than the slow one would be done"
    );
}

/// Every upstream fails every call. Without a bound each piece would be sent again and again, and
/// the pool would get a multiple of its load just when it can't take any.
#[test]
fn pieces_fail_once_the_retry_budget_is_used_up() {
    let mut bench = Bench::with_reserve(&[("u1", "a"), ("u2", "a"), ("u3", "a")], 10.0);
    let mut first = 0;
    let mut sent: HashMap<String, usize> = HashMap::new();
    for _ in 0..40 {
        let order = bench.order(1, 900);
        bench.offer(order);
        first += 1;
        bench.advance(250);
        while !bench.calls.is_empty() {
            let order = bench.end_call_as(BatchOutcome::Broken);
            for item in order.items {
                *sent.entry(item.request).or_default() += 1;
            }
        }
    }
    bench.advance(6_000);
    assert_eq!(bench.settled.len(), first, "each caller hears of its end");
    let again: usize = sent.values().map(|times| times - 1).sum();
    assert!((1..=8 + 8).contains(&again), "{again} pieces of {first} requests were sent again");
}

/// The users' time for a request is over while its pieces wait. To make them all the same would
/// take a place from those who still wait for an answer.
#[test]
fn pieces_without_time_left_are_given_up_at_once() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let busy = bench.order(1, 900);
    bench.offer(busy);
    let mut order = bench.order(1, 100);
    order.expires = bench.now + Duration::from_millis(250);
    let attempt = bench.offer(order);
    bench.advance(100);
    let late = (attempt, Err(PieceFault::Late));
    assert!(bench.settled.contains(&late));
}

/// The dispatcher of a pool dies, and what it had had made still fills most of an upstream's memory.
/// The next one fills calls as if it were empty: most pieces come back unmade after the whole time
/// of their call, and users wait twice as long. It asks first, and sends what finds room.
#[test]
fn dispatcher_that_takes_over_asks_what_lies_at_its_upstreams() {
    let mut bench = Bench::new(&[("u1", "a")]);
    bench.free_room = Some(ROOM / 2);
    let mut order = bench.order(10, 900);
    order.result_bytes = ROOM / 10;
    order.is_resubmission = true;
    bench.offer(order);
    assert_eq!(bench.asked.last().map(String::as_str), Some("u1"));
    assert_eq!(bench.calls[0].items.len(), 4, "half of the memory is free, nine tenths are used");
}

/// The same, and the results of the dispatcher before lapse. Their room must be used again.
#[test]
fn results_of_the_dispatcher_before_lapse() {
    let mut bench = Bench::new(&[("u1", "a")]);
    bench.free_room = Some(0);
    let mut order = bench.order(2, 9_000);
    order.result_bytes = ROOM / 10;
    bench.offer(order);
    assert!(bench.calls.is_empty(), "nothing is free");
    bench.free_room = None;
    bench.advance(4_050);
    assert_eq!(bench.calls.len(), 1, "results live four seconds");
}

/// An upstream answers no questions, or only late. Its calls must not wait for that.
#[test]
fn upstream_that_tells_nothing_gets_its_calls() {
    let mut bench = Bench::new(&[("u1", "a")]);
    bench.free_room = None;
    let order = bench.order(2, 900);
    bench.offer(order);
    assert!(bench.calls.is_empty(), "the answer is under way");
    bench.advance(50);
    assert_eq!(bench.calls.len(), 1);
    let order = bench.order(2, 900);
    bench.offer(order);
    bench.tell_room("u1", None);
    bench.advance(210);
    bench.end_call(made);
    assert_eq!(bench.calls.len(), 1, "the next call goes out at once");
}

/// Questions cost the upstream and the platform something. A dispatcher that goes on working knows
/// what lies there and asks nothing.
#[test]
fn dispatcher_that_goes_on_asks_nothing() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(2, 900);
    bench.offer(order);
    bench.asked.clear();
    for _ in 0..30 {
        let order = bench.order(2, 900);
        bench.offer(order);
        bench.advance(210);
        bench.end_call(made);
    }
    assert!(bench.asked.is_empty(), "{:?}", bench.asked);
}

/// One workspace floods the pool. Its pieces came first and are needed first; in that order, those
/// of all other workspaces would be late with it. The others go first.
#[test]
fn pieces_of_a_flood_go_behind_those_of_others() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let running = bench.order(1, 900);
    bench.offer(running);
    for _ in 0..PIECES {
        let mut order = bench.order(1, 900);
        order.is_flood = true;
        bench.offer(order);
    }
    let other = bench.order(1, 1_500);
    let name = other.request.clone();
    bench.offer(other);
    bench.advance(CALL_MS + PIECE_MS);
    bench.end_call(made);
    assert_eq!(bench.calls[0].items[0].request, name);
    assert_eq!(bench.calls[0].items.len(), PIECES as usize, "what is left is the flood's");
}

/// A burst has filled the calls of the pool, and lasts. A request can be in time by a call that it
/// has to itself, not by one that is full, as calls are. Put first, it came late all the same, and
/// made one late that could have been in time: users of both waited for nothing.
#[test]
fn request_that_needs_a_call_of_its_own_waits_for_those_in_time() {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..40 {
        let order = bench.order(PIECES, 5_000);
        bench.offer(order);
        while !bench.calls.is_empty() {
            bench.advance(CALL_MS + PIECE_MS * u64::from(PIECES));
            bench.end_call(made);
        }
    }
    let busy = bench.order(1, 900);
    bench.offer(busy);
    let alone = bench.order(PIECES, 200 + CALL_MS + PIECE_MS);
    let alone = bench.offer(alone);
    let sure = bench.order(PIECES, 900);
    let sure = bench.offer(sure);
    bench.advance(200);
    bench.end_call(made);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", sure.call.0));
    bench.advance(CALL_MS + PIECE_MS * u64::from(PIECES));
    bench.end_call(made);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", alone.call.0));
}

/// Guards against a sound request that is quarantined with one whose pieces crash upstreams, because both are
/// in the same calls: after two that broke off each has calls of its own.
#[test]
fn requests_of_calls_that_broke_off_are_told_apart() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let busy = bench.order(1, 4_000);
    bench.offer(busy);
    let shared: Vec<_> = (0..2).map(|_| bench.order(3, 4_000)).collect();
    let shared: Vec<_> = shared.into_iter().map(|order| bench.offer(order)).collect();
    bench.advance(210);
    bench.end_call(made);
    for _ in 0..2 {
        assert_eq!(bench.calls[0].items.len(), 6, "both share a call");
        bench.end_call_as(BatchOutcome::Broken);
        bench.advance(1_000);
    }
    let mut alone = Vec::new();
    for _ in 0..2 {
        alone.push(bench.end_call(made).items.len());
        bench.advance(50);
    }
    assert_eq!(alone, [3, 3]);
    let made = bench
        .settled
        .iter()
        .filter(|(attempt, outcome)| shared.contains(attempt) && outcome.is_ok());
    assert_eq!(made.count(), 2);
}
