//! Tests of `BatchDispatcher`: how pieces of several requests share batch calls.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;

use std::collections::HashMap;
use std::time::Duration;

use crocusdale_core::batching::{BatchOutcome, ItemOutcome};
use crocusdale_core::pipeline::PieceFault;

use batch_bench::{Bench, CALL_MS, PIECE_MS, PIECES, RESULT_MEMORY_BYTES, successful_item};

/// Guards against late answers in a burst of small requests. A call of its own for each request
/// would take a fifth of a second, and all but the first few would miss their latency objectives.
/// Pieces that wait during a call share the next call, up to its maximum size.
#[test]
fn pieces_that_wait_during_a_call_share_the_next_call() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let first = bench.order(2, 900);
    bench.submit_pieces(first);
    assert_eq!(bench.calls[0].items.len(), 2, "a free upstream gets a call at once");
    for _ in 0..5 {
        let order = bench.order(3, 900);
        bench.submit_pieces(order);
    }
    assert_eq!(bench.calls.len(), 1, "the upstream runs only one call at a time");
    bench.advance(210);
    bench.end_call(successful_item);
    assert_eq!(bench.calls[0].items.len(), 15, "all waiting pieces fit into one call");
    assert_eq!(bench.outcomes.len(), 1);
}

/// Guards against a longer backlog because calls are not full. If a call contained only whole
/// requests, most calls would be smaller than the maximum size while pieces wait.
#[test]
fn calls_are_full_while_more_pieces_wait_than_fit() {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..9 {
        let order = bench.order(3, 900);
        bench.submit_pieces(order);
    }
    bench.advance(220);
    bench.end_call(successful_item);
    assert_eq!(bench.calls[0].items.len(), PIECES as usize);
}

/// Guards against an urgent request that misses its latency objective because a less urgent one
/// arrived first. Pieces are ordered by due time, not by arrival.
#[test]
fn pieces_with_the_earliest_due_time_go_first() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let busy = bench.order(1, 900);
    bench.submit_pieces(busy);
    let later = bench.order(PIECES, 3_000);
    let later = bench.submit_pieces(later);
    let sooner = bench.order(PIECES, 700);
    let sooner = bench.submit_pieces(sooner);
    bench.advance(200);
    bench.end_call(successful_item);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", sooner.call.0));
    bench.advance(300);
    bench.end_call(successful_item);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", later.call.0));
}

/// Guards against late answers long after a burst. Requests that missed their objectives in the
/// burst wait beside new ones that can still be on time. If the oldest went first, each late
/// request would make a new one late too.
#[test]
fn late_pieces_wait_for_pieces_that_can_be_on_time() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let busy = bench.order(1, 900);
    bench.submit_pieces(busy);
    let late = bench.order(PIECES, 100);
    bench.submit_pieces(late);
    bench.advance(200);
    let fresh = bench.order(PIECES, 700);
    let fresh = bench.submit_pieces(fresh);
    bench.end_call(successful_item);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", fresh.call.0));
}

/// Guards against pieces that wait until the deadlines of their requests because an upstream died
/// during a call without closing its connection. The call times out after a small multiple of its
/// expected duration, and the pieces go to another upstream.
#[test]
fn pieces_of_a_timed_out_call_go_to_another_upstream() {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "a")]);
    let order = bench.order(4, 2_000);
    let attempt = bench.submit_pieces(order);
    let timed_out_call = bench.calls.remove(0);
    bench.advance(1_500);
    assert_eq!(bench.cancelled, [timed_out_call.batch]);
    assert_ne!(bench.calls[0].upstream, timed_out_call.upstream);
    bench.end_call(successful_item);
    assert!(matches!(&bench.outcomes[..], [(settled, Ok(results))]
        if *settled == attempt && results.len() == 4));
}

/// Guards against calls to an upstream whose memory is full of results that have not been freed.
/// Such a call would take its full duration and return no result for any request in it.
#[test]
fn calls_fit_into_the_free_result_memory() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let mut order = bench.order(10, 900);
    order.result_bytes = 200_000;
    bench.submit_pieces(order);
    assert_eq!(
        bench.calls[0].items.len(),
        4,
        "four results of 200 kB fit into 0.9 of the result memory of 1 MB"
    );
    bench.advance(250);
    bench.end_call(successful_item);
    assert!(bench.calls.is_empty(), "the upstream still stores the results of the first call");
    bench.advance(4_100);
    assert_eq!(
        bench.calls[0].items.len(),
        4,
        "the results of the first call have expired after their lifetime of 4 s"
    );
}

/// Guards against a request that fails with a single piece, and against repeating its other pieces.
/// Some pieces in a thousand fail by chance.
#[test]
fn single_failed_piece_is_retried_alone() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(5, 2_000);
    bench.submit_pieces(order);
    bench.advance(250);
    bench.end_call(|index| if index == 3 { ItemOutcome::Failed } else { successful_item(index) });
    assert_eq!(bench.calls[0].items.len(), 1);
    assert_eq!(bench.calls[0].items[0].piece, 3);
    bench.advance(250);
    bench.end_call(|_| successful_item(30));
    assert!(matches!(&bench.outcomes[..], [(_, Ok(results))] if results.len() == 5));
}

/// Guards against repeated calls to an address that another process has taken over. That process
/// refuses the call without running its pieces, which must go to another address.
#[test]
fn address_of_another_process_gets_no_more_calls() {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "a")]);
    let order = bench.order(5, 2_000);
    bench.submit_pieces(order);
    let refused_call = bench.end_call_as(BatchOutcome::WrongProcess);
    assert_ne!(bench.calls[0].upstream, refused_call.upstream);
    bench.advance(250);
    bench.end_call(successful_item);
    let order = bench.order(5, 2_000);
    bench.submit_pieces(order);
    assert_ne!(bench.calls[0].upstream, refused_call.upstream);
}

/// Guards against needless traffic between availability zones. A step that fetches large results
/// must not run in another zone only because an upstream there is free.
#[test]
fn pieces_wait_for_their_preferred_zone_while_they_can_be_on_time() {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "b")]);
    let mut order = bench.order(1, 2_000);
    order.zone = Some("b".to_owned());
    bench.submit_pieces(order.clone());
    assert_eq!(bench.calls[0].upstream, "u2");
    let mut order = bench.order(1, 2_000);
    order.zone = Some("b".to_owned());
    bench.submit_pieces(order);
    assert_eq!(
        bench.calls.len(),
        1,
        "the pieces can wait for an upstream in zone b and still be on time"
    );
    let mut order = bench.order(1, 300);
    order.zone = Some("b".to_owned());
    bench.submit_pieces(order);
    assert_eq!(bench.calls[1].upstream, "u1", "the pieces would be late if they waited for zone b");
}

/// Guards against calls to a slow upstream that would end earlier at another one. The slow upstream
/// takes 755 ms for a call of one piece and the other one 205 ms, so a call that goes to the slow
/// one at once can end later than a call that waits for the other.
#[test]
fn slow_upstream_gets_no_call_that_would_end_earlier_elsewhere() {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "a")]);
    let slow_upstream = "u1";
    for _ in 0..2 {
        let (order, other) = (bench.order(1, 2_000), bench.order(1, 2_000));
        bench.submit_pieces(order);
        bench.submit_pieces(other);
        bench.calls.sort_by(|left, right| right.upstream.cmp(&left.upstream));
        bench.advance(205);
        bench.end_call(successful_item);
        bench.advance(550);
        bench.end_call(successful_item);
    }
    let order = bench.order(PIECES, 2_000);
    bench.submit_pieces(order);
    assert_ne!(bench.calls[0].upstream, slow_upstream);
    bench.advance(100);
    let order = bench.order(PIECES, 2_000);
    bench.submit_pieces(order);
    assert_eq!(
        bench.calls.len(),
        1,
        "waiting for the fast upstream ends sooner than a call to the slow one"
    );
}

/// Guards against a retry storm when every upstream fails every call. Without a retry budget each
/// piece would be retried repeatedly, and the pool would receive a multiple of its load during the
/// failure.
#[test]
fn pieces_fail_once_the_retry_budget_is_exhausted() {
    let mut bench = Bench::with_reserve(&[("u1", "a"), ("u2", "a"), ("u3", "a")], 10.0);
    let mut request_count = 0;
    let mut sends_by_request: HashMap<String, usize> = HashMap::new();
    for _ in 0..40 {
        let order = bench.order(1, 900);
        bench.submit_pieces(order);
        request_count += 1;
        bench.advance(250);
        while !bench.calls.is_empty() {
            let order = bench.end_call_as(BatchOutcome::Broken);
            for item in order.items {
                *sends_by_request.entry(item.request).or_default() += 1;
            }
        }
    }
    bench.advance(6_000);
    assert_eq!(bench.outcomes.len(), request_count, "every attempt has an outcome");
    let retried: usize = sends_by_request.values().map(|times| times - 1).sum();
    assert!(
        (1..=8 + 8).contains(&retried),
        "expected 1 to 16 retried pieces for {request_count} requests, got {retried}"
    );
}

/// Guards against calls for a request whose deadline has passed while its pieces waited. These
/// pieces would take capacity from requests that can still be answered.
#[test]
fn expired_pieces_fail_while_they_wait() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let busy = bench.order(1, 900);
    bench.submit_pieces(busy);
    let mut order = bench.order(1, 100);
    order.expires = bench.now + Duration::from_millis(250);
    let attempt = bench.submit_pieces(order);
    bench.advance(100);
    let late = (attempt, Err(PieceFault::Late));
    assert!(bench.outcomes.contains(&late));
}

/// Guards against oversized calls after a change of dispatcher. Results of the previous dispatcher
/// still fill most of an upstream's memory. If the new one assumed that it is empty, most pieces
/// would fail for lack of memory after the full duration of their call, and callers would wait
/// twice as long. So the new dispatcher queries the free memory first.
#[test]
fn new_dispatcher_queries_the_free_memory_of_its_upstreams() {
    let mut bench = Bench::new(&[("u1", "a")]);
    bench.free_memory = Some(RESULT_MEMORY_BYTES / 2);
    let mut order = bench.order(10, 900);
    order.result_bytes = RESULT_MEMORY_BYTES / 10;
    order.is_resubmission = true;
    bench.submit_pieces(order);
    assert_eq!(bench.memory_queries.last().map(String::as_str), Some("u1"));
    assert_eq!(
        bench.calls[0].items.len(),
        4,
        "half of the memory is free, and calls may use nine tenths of that"
    );
}

/// Guards against memory that stays reserved for expired results of the previous dispatcher.
#[test]
fn memory_of_results_of_the_previous_dispatcher_is_reused_after_expiry() {
    let mut bench = Bench::new(&[("u1", "a")]);
    bench.free_memory = Some(0);
    let mut order = bench.order(2, 9_000);
    order.result_bytes = RESULT_MEMORY_BYTES / 10;
    bench.submit_pieces(order);
    assert!(bench.calls.is_empty(), "the upstream has no free memory for results");
    bench.free_memory = None;
    bench.advance(4_050);
    assert_eq!(bench.calls.len(), 1, "the results have expired after their lifetime of 4 s");
}

/// Guards against an upstream that gets no calls because it answers the query for its free memory
/// late or not at all.
#[test]
fn upstream_that_answers_no_memory_query_gets_calls() {
    let mut bench = Bench::new(&[("u1", "a")]);
    bench.free_memory = None;
    let order = bench.order(2, 900);
    bench.submit_pieces(order);
    assert!(bench.calls.is_empty(), "the call waits for the answer to the memory query");
    bench.advance(50);
    assert_eq!(bench.calls.len(), 1);
    let order = bench.order(2, 900);
    bench.submit_pieces(order);
    bench.report_free_memory("u1", None);
    bench.advance(210);
    bench.end_call(successful_item);
    assert_eq!(bench.calls.len(), 1, "the next call is sent without another memory query");
}

/// Guards against needless memory queries, which cost the upstream and the platform resources.
/// A dispatcher that has been running knows which results its upstreams store.
#[test]
fn running_dispatcher_sends_no_memory_queries() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(2, 900);
    bench.submit_pieces(order);
    bench.memory_queries.clear();
    for _ in 0..30 {
        let order = bench.order(2, 900);
        bench.submit_pieces(order);
        bench.advance(210);
        bench.end_call(successful_item);
    }
    assert!(
        bench.memory_queries.is_empty(),
        "upstreams queried without need: {:?}",
        bench.memory_queries
    );
}

/// Guards against a workspace that floods the pool and delays all other workspaces. Its pieces
/// arrived first and are due first, but pieces of other workspaces must precede them.
#[test]
fn pieces_of_a_flooding_workspace_go_last() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let running = bench.order(1, 900);
    bench.submit_pieces(running);
    for _ in 0..PIECES {
        let mut order = bench.order(1, 900);
        order.is_flood = true;
        bench.submit_pieces(order);
    }
    let other = bench.order(1, 1_500);
    let name = other.request.clone();
    bench.submit_pieces(other);
    bench.advance(CALL_MS + PIECE_MS);
    bench.end_call(successful_item);
    assert_eq!(bench.calls[0].items[0].request, name);
    assert_eq!(
        bench.calls[0].items.len(),
        PIECES as usize,
        "pieces of the flood fill the rest of the call"
    );
}

/// Guards against two late requests in place of one. In a long burst all calls are full. A request
/// that would only be on time in a smaller call of its own is late in a full call even if it goes
/// first, and it would delay a request that can be on time in a full call.
#[test]
fn request_that_is_late_in_a_full_call_goes_last() {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..40 {
        let order = bench.order(PIECES, 5_000);
        bench.submit_pieces(order);
        while !bench.calls.is_empty() {
            bench.advance(CALL_MS + PIECE_MS * u64::from(PIECES));
            bench.end_call(successful_item);
        }
    }
    let busy = bench.order(1, 900);
    bench.submit_pieces(busy);
    let small_call = bench.order(PIECES, 200 + CALL_MS + PIECE_MS);
    let small_call = bench.submit_pieces(small_call);
    let on_time = bench.order(PIECES, 900);
    let on_time = bench.submit_pieces(on_time);
    bench.advance(200);
    bench.end_call(successful_item);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", on_time.call.0));
    bench.advance(CALL_MS + PIECE_MS * u64::from(PIECES));
    bench.end_call(successful_item);
    assert_eq!(bench.calls[0].items[0].request, format!("request-{}", small_call.call.0));
}

/// Guards against the quarantine of a harmless request that shares its calls with a request whose
/// pieces crash upstreams. After two failed calls each of the requests gets calls of its own.
#[test]
fn requests_of_failed_calls_get_separate_calls() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let busy = bench.order(1, 4_000);
    bench.submit_pieces(busy);
    let attempts: Vec<_> = (0..2).map(|_| bench.order(3, 4_000)).collect();
    let attempts: Vec<_> = attempts.into_iter().map(|order| bench.submit_pieces(order)).collect();
    bench.advance(210);
    bench.end_call(successful_item);
    for _ in 0..2 {
        assert_eq!(bench.calls[0].items.len(), 6, "both requests share the call");
        bench.end_call_as(BatchOutcome::Broken);
        bench.advance(1_000);
    }
    let mut call_sizes = Vec::new();
    for _ in 0..2 {
        call_sizes.push(bench.end_call(successful_item).items.len());
        bench.advance(50);
    }
    assert_eq!(call_sizes, [3, 3]);
    let successes = bench
        .outcomes
        .iter()
        .filter(|(attempt, outcome)| attempts.contains(attempt) && outcome.is_ok());
    assert_eq!(successes.count(), 2);
}
