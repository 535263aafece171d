//! Requests that a daemon sends to upstreams on behalf of another one.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::time::Duration;

use crocusdale_core::daemon::{AttemptPath, Command, DaemonEvent, TimerKey};
use crocusdale_core::identity::StorePosition;
use crocusdale_core::pipeline::{
    AttemptEvent, BreakReason, ExecutionStatus, ForwardOrder, OutcomeKind, RefusalReason,
};
use crocusdale_core::rate_limiting::{RateNotice, RequestRate};
use crocusdale_core::reachability::{LinkResult, TransitGrant, TransitRefusal, TransitRequest};
use crocusdale_core::routing::UpstreamNotice;

use forward_daemon::{Daemon, HOST, KEY, WITHOUT_KEYS};

/// Request of another daemon for the upstream `n1`, which knows the list and the configuration of
/// `daemon`.
fn request(daemon: &Daemon) -> TransitRequest {
    TransitRequest {
        upstream: "n1".to_owned(),
        pool: "notify".to_owned(),
        process: "n1".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        directory: daemon.core.dump(daemon.now).directory_revision.into(),
        revision: daemon.core.revision(),
        host: HOST.to_owned(),
        path: "/ask/7".to_owned(),
        access: Some(KEY.to_owned()),
        workspace: "letters".to_owned(),
    }
}

fn admit(daemon: &Daemon, request: &TransitRequest) -> Result<TransitGrant, TransitRefusal> {
    daemon.core.admit_transit(request, daemon.now)
}

/// Lets the daemon fail to connect to each of `upstreams`.
fn fail_links(daemon: &mut Daemon, upstreams: &[&str]) {
    for upstream in upstreams {
        let (upstream, result) = ((*upstream).to_owned(), LinkResult::Failed);
        daemon.feed(DaemonEvent::LinkUsed { upstream, result });
    }
}

/// Guards against ejections and cold starts of upstreams that are well, and behind failed links.
#[test]
fn failures_of_lost_links_eject_no_upstream() {
    let mut daemon = Daemon::new();
    for _ in 0..8 {
        daemon.submit("/ask/7");
        while let Some(order) = daemon.relays.pop() {
            daemon.attempt(order.attempt, AttemptEvent::Broken(BreakReason::Cut));
        }
    }
    let ejected = |daemon: &Daemon| {
        let upstreams = daemon.core.dump(daemon.now).upstreams;
        upstreams.into_iter().filter(|upstream| upstream.ejected).count()
    };
    assert!(ejected(&daemon) > 0, "broken attempts alone eject an upstream");
    fail_links(&mut daemon, &["n1", "n2"]);
    assert_eq!(ejected(&daemon), 0);
    for _ in 0..8 {
        daemon.submit("/ask/7");
        while let Some(order) = daemon.relays.pop() {
            daemon.attempt(order.attempt, AttemptEvent::Broken(BreakReason::Cut));
        }
    }
    assert_eq!(ejected(&daemon), 0, "nothing is learned of upstreams behind failed links");
}

/// Guards against a request in transit that reaches an upstream which the sending daemon knows to be
/// leaving, cold, limited or gone, by an older list of the asking daemon.
#[test]
fn sending_daemon_judges_the_upstream() {
    let mut daemon = Daemon::new();
    let asked = request(&daemon);
    assert!(admit(&daemon, &asked).is_ok());
    let unknown = TransitRequest { upstream: "n9".to_owned(), ..asked.clone() };
    assert_eq!(admit(&daemon, &unknown), Err(TransitRefusal::UnknownUpstream));
    let other_pool = TransitRequest { pool: "reader".to_owned(), ..asked.clone() };
    assert_eq!(admit(&daemon, &other_pool), Err(TransitRefusal::UnknownUpstream));
    let newer = StorePosition { revision: asked.directory.revision + 1_000, ..asked.directory };
    let added = TransitRequest { directory: newer, ..unknown };
    assert_eq!(admit(&daemon, &added).map(|grant| grant.address), Ok(asked.address));

    let notice = UpstreamNotice { backoff: Some(Duration::from_secs(1)), ..Default::default() };
    let sent = daemon.now;
    daemon.feed(DaemonEvent::UpstreamNoticed { upstream: "n1".to_owned(), notice, sent });
    assert_eq!(admit(&daemon, &asked), Err(TransitRefusal::OverLimit));
    daemon.advance(1_100);
    daemon.publish(&["n1", "n2"], &[]);
    assert!(admit(&daemon, &asked).is_ok());

    let rate = RateNotice::Limited(RequestRate::from_per_second(0.1).expect("a rate"));
    let notice = UpstreamNotice { rate, ..Default::default() };
    let sent = daemon.now;
    daemon.feed(DaemonEvent::UpstreamNoticed { upstream: "n1".to_owned(), notice, sent });
    let admitted = (0..20).filter(|_| admit(&daemon, &asked).is_ok()).count();
    assert!(admitted <= 1, "{admitted} requests at 0.1 a second");

    daemon.publish(&["n1", "n2"], &["n1"]);
    assert!(matches!(
        admit(&daemon, &asked),
        Err(TransitRefusal::Leaving | TransitRefusal::UnknownUpstream)
    ));
}

/// Guards against a request in transit with a key that was taken away, or on a route that is gone,
/// by an older configuration of the asking daemon.
#[test]
fn sending_daemon_judges_by_its_newer_configuration() {
    let mut daemon = Daemon::new();
    let asked = request(&daemon);
    daemon.configuration = (9, WITHOUT_KEYS.to_owned());
    daemon.publish(&["n1", "n2"], &[]);
    assert_eq!(admit(&daemon, &asked), Err(TransitRefusal::NotAllowed));
    let public = TransitRequest { workspace: String::new(), access: None, ..asked.clone() };
    assert!(admit(&daemon, &public).is_ok(), "the route still leads to the pool");
    let gone = TransitRequest { path: "/elsewhere/7".to_owned(), ..public };
    assert_eq!(admit(&daemon, &gone), Err(TransitRefusal::NotAllowed));
    let current = TransitRequest { revision: 9, ..asked };
    assert!(admit(&daemon, &current).is_ok(), "the asking daemon knows the same configuration");
}

/// Guards against transits that overload the daemon which sends them, as all of a zone may ask.
#[test]
fn open_transits_are_limited() {
    let daemon = Daemon::new();
    let asked = request(&daemon);
    let admitted = (0..2_000).filter(|_| admit(&daemon, &asked).is_ok()).count();
    assert!((16..=512).contains(&admitted), "{admitted} open transits");
    assert_eq!(admit(&daemon, &asked), Err(TransitRefusal::Busy));
    daemon.core.end_transit();
    assert!(admit(&daemon, &asked).is_ok());
}

/// Guards against transits in a chain or a loop: a daemon whose links have failed too takes none.
#[test]
fn daemon_with_failed_links_takes_no_transits() {
    let mut daemon = Daemon::new();
    let asked = request(&daemon);
    fail_links(&mut daemon, &["n1", "n2"]);
    assert_eq!(admit(&daemon, &asked), Err(TransitRefusal::NoLink));
}

/// Guards against a process that ends while it still sends requests of other daemons.
#[test]
fn draining_daemon_ends_its_transits_first() {
    let mut daemon = Daemon::new();
    let asked = request(&daemon);
    assert!(admit(&daemon, &asked).is_ok());
    let exits = |daemon: &mut Daemon| {
        let mut exits = 0;
        for _ in 0..20 {
            let mut commands = Vec::new();
            daemon.now = daemon.now + Duration::from_millis(100);
            let event = DaemonEvent::Timer(TimerKey::Housekeeping);
            daemon.core.handle(event, daemon.now, &mut commands);
            exits += commands.iter().filter(|each| matches!(each, Command::Exit)).count();
        }
        exits
    };
    daemon.feed(DaemonEvent::DrainRequested);
    assert_eq!(admit(&daemon, &asked), Err(TransitRefusal::Draining));
    let event = DaemonEvent::Timer(TimerKey::DrainWindowEnd);
    daemon.feed(event);
    assert_eq!(exits(&mut daemon), 0, "a request in transit is open");
    daemon.core.end_transit();
    assert!(exits(&mut daemon) > 0);
}

/// Guards against attempts that wait or are repeated although no daemon reaches the pool.
#[test]
fn request_without_a_path_is_refused_with_a_retry_delay() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/shred/7");
    let order: ForwardOrder = daemon.last_relay();
    fail_links(&mut daemon, &["n1", "n2"]);
    let path = daemon.core.attempt_path(&order, &[], daemon.now);
    let AttemptPath::NoPath(retry_after) = path else { panic!("{path:?}") };
    daemon.attempt(order.attempt, AttemptEvent::NoPath(retry_after));
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoUpstream))));
    let next = daemon.submit("/shred/7");
    assert_eq!(daemon.answer(next), Some((OutcomeKind::Refused, Some(RefusalReason::NoUpstream))));
    for upstream in ["n1", "n2"] {
        let (upstream, result) = (upstream.to_owned(), LinkResult::Open);
        daemon.feed(DaemonEvent::LinkUsed { upstream, result });
    }
    let served = daemon.submit("/shred/7");
    let order = daemon.last_relay();
    assert_eq!(daemon.core.attempt_path(&order, &[], daemon.now), AttemptPath::Direct);
    daemon.receive_head(order.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(order.attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(served), Some((OutcomeKind::Answered, None)));
}

/// Guards against threads that wait for each other: tests of links, announcements, attempts and
/// housekeeping use the same parts of the state.
#[test]
fn links_change_while_other_threads_use_them() {
    let daemon = Daemon::new();
    let (core, now) = (&daemon.core, daemon.now);
    let asked = request(&daemon);
    let handle = |event: DaemonEvent, round: u64| {
        let mut commands = Vec::new();
        core.handle(event, now + Duration::from_millis(round), &mut commands);
    };
    std::thread::scope(|scope| {
        for thread in 0..4_u64 {
            let (handle, asked) = (&handle, &asked);
            scope.spawn(move || {
                for round in 0..1_500 {
                    let upstream = ["n1", "n2", "s1", "s2"][(round % 4) as usize].to_owned();
                    let result =
                        if (round / 8) % 2 == 0 { LinkResult::Failed } else { LinkResult::Open };
                    match thread {
                        0 => handle(DaemonEvent::LinkUsed { upstream, result }, round),
                        1 => handle(DaemonEvent::LinkTested { upstream, result }, round),
                        2 => handle(DaemonEvent::Timer(TimerKey::LinkTest), round),
                        _ => {
                            handle(DaemonEvent::Timer(TimerKey::Housekeeping), round);
                            if core.admit_transit(asked, now).is_ok() {
                                core.end_transit();
                            }
                            let _ = core.choose_probe_peer("n1", now);
                        }
                    }
                }
            });
        }
    });
}
