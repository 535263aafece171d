//! An order that must not repeat, while daemons are killed, frozen and cut off.

mod common;

use std::net::TcpStream;
use std::time::Duration;

use anyhow::Result;
use common::{KEY_LIFE, SOON, Upstreams, deployment, fleet};
use crocusdale_core::identity::RequestKey;
use crocusdale_core::membership::WitnessSet;
use crocusdale_core::pipeline::OutcomeKind;
use stand_ins::{
    CallerClient, DaemonFleet, DeclarationText, RequestBuilder, UpstreamPlan, wait_for,
};

/// Time of a slow order, in milliseconds.
const SLOW_MS: u64 = 1_200;

fn order(key: &str) -> RequestBuilder {
    RequestBuilder::new(key, "shred").once()
}

/// A key of which the daemon `index` is a witness and the first one is none.
fn key_witnessed_by(fleet: &DaemonFleet, index: usize) -> String {
    let roster = fleet.platform.roster();
    let fits = |key: &String| {
        let witnesses = WitnessSet::choose(&RequestKey::new("mail", key), &roster);
        witnesses.contains(&fleet.daemons[index].name)
            && !witnesses.contains(&fleet.daemons[0].name)
    };
    let mut keys = (0..1_000).map(|number| format!("k-{number}"));
    keys.find(fits).expect("about a third of all keys fit")
}

fn slow_down(upstreams: &Upstreams, service_ms: u64) {
    for upstream in &upstreams.shred {
        upstream.set_plan(UpstreamPlan { service_ms, ..UpstreamPlan::default() });
    }
}

// A daemon is killed while the upstream works on an order. Its caller asks the other daemons and
// sends the order to them: it may have run, so nobody may run it again or say that it did not run.
#[tokio::test]
async fn daemon_killed_during_dispatch() -> Result<()> {
    let (upstreams, mut fleet) = deployment(6).await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    slow_down(&upstreams, SLOW_MS);
    let first = fleet.daemons[0].caller;
    let lost = tokio::spawn(async move { CallerClient::new().submit(first, &order("k")).await });
    wait_for(SOON, "the order runs", async || upstreams.shred_runs("k") == 1).await?;
    fleet.daemons[0].kill();
    assert!(lost.await?.is_err(), "no answer may come from a dead daemon");
    let client = CallerClient::new();
    for address in fleet.callers() {
        let asked = client.outcome(address, "k", 500).await?;
        let sent = client.submit(address, &order("k")).await?;
        assert_eq!((asked.kind(), sent.kind()), (OutcomeKind::Unknown, OutcomeKind::Unknown));
    }
    assert_eq!(upstreams.shred_runs("k"), 1);
    Ok(())
}

// A daemon answers an order and is killed. The same order, sent to any other daemon, gets the
// same answer from the witnesses and does not run again.
#[tokio::test]
async fn daemon_killed_after_answer() -> Result<()> {
    let (upstreams, mut fleet) = deployment(6).await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    let client = CallerClient::new();
    let answer = client.submit(fleet.daemons[0].caller, &order("k")).await?;
    assert_eq!(answer.kind(), OutcomeKind::Answered, "{answer:?}");
    // The answer goes out at once; the outcome is on its way to the three witnesses meanwhile.
    wait_for(SOON, "the witnesses have the outcome", async || {
        let mut outcomes = 0;
        for daemon in &fleet.daemons {
            let state = client.state(daemon.operator).await.unwrap_or_default();
            outcomes += state["outcomes"].as_u64().unwrap_or_default();
        }
        outcomes == 3
    })
    .await?;
    fleet.daemons[0].kill();
    for address in fleet.callers() {
        let again = client.submit(address, &order("k")).await?;
        assert_eq!((again.kind(), again.text()), (OutcomeKind::Answered, answer.text()));
    }
    assert_eq!(upstreams.shred_runs("k"), 1);
    Ok(())
}

// One witness of an order is cut off while the order is claimed, runs and is answered. After the
// cut is healed the answer reaches it too, so that it can be had when the others are lost.
#[tokio::test]
async fn witness_that_was_cut_off_gets_the_outcome() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let fleet = fleet(6).relays().configuration(text).start().await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    let last = fleet.daemons.len() - 1;
    let key = key_witnessed_by(&fleet, last);
    fleet.isolate(&[last], true);
    let client = CallerClient::new();
    let answer = client.submit(fleet.daemons[0].caller, &order(&key)).await?;
    assert_eq!(answer.kind(), OutcomeKind::Answered, "{answer:?}");
    fleet.isolate(&[last], false);
    wait_for(SOON, "the witness has the outcome", async || {
        let state = client.state(fleet.daemons[last].operator).await.unwrap_or_default();
        state["outcomes"].as_u64() == Some(1)
    })
    .await
}

// A daemon is frozen with an order in its socket. The caller gives up, is told "not run" by
// another daemon, and the frozen one wakes up: it must not run the order after all.
#[tokio::test]
async fn daemon_frozen_before_it_reads_an_order() -> Result<()> {
    let (upstreams, fleet) = deployment(6).await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    let first = fleet.daemons[0].caller;
    fleet.daemons[0].signal("STOP")?;
    let late = tokio::spawn(async move { CallerClient::new().submit(first, &order("k")).await });
    let client = CallerClient::new();
    // The frozen daemon may be a witness of the key, which is then found out without it.
    let asked = client.outcome(fleet.daemons[1].caller, "k", 1_000).await?;
    assert_eq!(asked.kind(), OutcomeKind::Refused, "{asked:?}");
    fleet.daemons[0].signal("CONT")?;
    let late = late.await??;
    assert!(matches!(late.kind(), OutcomeKind::Refused | OutcomeKind::Unknown), "{late:?}");
    assert_eq!(upstreams.shred_runs("k"), 0);
    Ok(())
}

// The same, but the daemon stays frozen for longer than keys live: everybody may have forgotten
// the key by then, and only the daemon itself can know that it slept.
#[tokio::test]
async fn daemon_frozen_for_longer_than_keys_live() -> Result<()> {
    let (upstreams, fleet) = deployment(3).await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    let first = fleet.daemons[0].caller;
    fleet.daemons[0].signal("STOP")?;
    let late = tokio::spawn(async move { CallerClient::new().submit(first, &order("k")).await });
    tokio::time::sleep(KEY_LIFE + Duration::from_millis(500)).await;
    fleet.daemons[0].signal("CONT")?;
    assert_eq!(late.await??.kind(), OutcomeKind::Unknown);
    assert_eq!(upstreams.shred_runs("k"), 0);
    Ok(())
}

// A daemon is frozen while the upstream works on an order, past the deadline. After it wakes up
// it gives its caller a true answer, and so does every other daemon.
#[tokio::test]
async fn daemon_frozen_during_dispatch() -> Result<()> {
    let (upstreams, fleet) = deployment(6).await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    slow_down(&upstreams, 300);
    let first = fleet.daemons[0].caller;
    let request = order("k").deadline_ms(600);
    let late = tokio::spawn(async move { CallerClient::new().submit(first, &request).await });
    wait_for(SOON, "the order runs", async || upstreams.shred_runs("k") == 1).await?;
    fleet.daemons[0].signal("STOP")?;
    let client = CallerClient::new();
    let asked = client.outcome(fleet.daemons[1].caller, "k", 500).await?;
    assert_eq!(asked.kind(), OutcomeKind::Unknown, "{asked:?}");
    fleet.daemons[0].signal("CONT")?;
    let late = late.await??;
    assert!(matches!(late.kind(), OutcomeKind::Answered | OutcomeKind::Unknown), "{late:?}");
    assert_eq!(upstreams.shred_runs("k"), 1);
    Ok(())
}

// No daemon reaches another. An order that can't be claimed is not dispatched, and since nobody
// can prove that it did not run elsewhere, its outcome is unknown. After the cut is healed orders
// run again.
#[tokio::test]
async fn witnesses_cut_off() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let fleet = fleet(6).relays().configuration(text).start().await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    fleet.isolate_all(true);
    let client = CallerClient::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let answer = client.submit(daemon.caller, &order(&format!("cut-{index}"))).await?;
        assert_eq!(answer.kind(), OutcomeKind::Unknown, "{answer:?}");
        assert_eq!(upstreams.shred_runs(&format!("cut-{index}")), 0);
    }
    fleet.isolate_all(false);
    let mut tries = 0;
    wait_for(SOON, "orders run again", async || {
        tries += 1;
        let request = order(&format!("healed-{tries}"));
        let answer = client.submit(fleet.daemons[0].caller, &request).await;
        answer.is_ok_and(|answer| answer.kind() == OutcomeKind::Answered)
    })
    .await
}

// Impatient callers send each order to all daemons at the same time. One runs it; the others give
// that outcome or say that they can't know.
#[tokio::test]
async fn callers_that_retry_everywhere() -> Result<()> {
    let (upstreams, fleet) = deployment(6).await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    slow_down(&upstreams, 20);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..30 {
        for address in fleet.callers() {
            let key = format!("k-{number}");
            calls.spawn(async move {
                let answer = CallerClient::new().submit(address, &order(&key)).await;
                (key, answer)
            });
        }
    }
    for (key, answer) in calls.join_all().await {
        let (answer, runs) = (answer?, upstreams.shred_runs(&key));
        match answer.kind() {
            OutcomeKind::Answered => assert_eq!(runs, 1, "{key}"),
            OutcomeKind::Unknown => assert!(runs <= 1, "{key}"),
            OutcomeKind::Refused => assert_eq!(runs, 0, "{key}"),
            OutcomeKind::Failed => panic!("{key}: {answer:?}"),
        }
    }
    Ok(())
}

// Three daemons are cut off from three, and impatient callers send each order to one daemon on
// either side at the same time, and again after the heal. However the claims fall, no order runs
// twice, and none that ran is said not to have run.
#[tokio::test]
async fn callers_on_both_sides_of_a_cut() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let fleet = fleet(6).relays().configuration(text).start().await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    fleet.isolate(&[0, 1, 2], true);
    let mut answers = Vec::new();
    for healed in [false, true] {
        if healed {
            fleet.isolate(&[0, 1, 2], false);
        }
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..24 {
            for side in [number % 3, 3 + number % 3] {
                let (key, address) = (format!("k-{number}"), fleet.daemons[side].caller);
                calls.spawn(async move {
                    let answer = CallerClient::new().submit(address, &order(&key)).await;
                    (key, answer)
                });
            }
        }
        answers.extend(calls.join_all().await);
    }
    let (mut known, all) = (0, answers.len());
    for (key, answer) in answers {
        let (answer, runs) = (answer?, upstreams.shred_runs(&key));
        assert!(runs <= 1, "{key} ran {runs} times");
        assert!(answer.kind() != OutcomeKind::Refused || runs == 0, "{key}: {answer:?}");
        assert!(answer.kind() != OutcomeKind::Answered || runs == 1, "{key}: {answer:?}");
        known += usize::from(answer.kind() != OutcomeKind::Unknown);
    }
    println!("{known} of {all} outcomes known");
    Ok(())
}

// One of two upstreams refuses connections. Nothing was written to it, so an order may go on to
// the other one, and every order is answered.
#[tokio::test]
async fn upstream_that_refuses_connections_costs_nothing() -> Result<()> {
    let (mut upstreams, fleet) = deployment(3).await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    let gone = upstreams.shred.remove(0);
    let address = gone.address();
    drop(gone);
    // A connection that the system still takes would break off, and the order be unknown.
    wait_for(SOON, "the port is closed", async || TcpStream::connect(address).is_err()).await?;
    let client = CallerClient::new();
    for number in 0..30 {
        let address = fleet.daemons[number % 3].caller;
        let answer = client.submit(address, &order(&format!("k-{number}"))).await?;
        assert_eq!(answer.kind(), OutcomeKind::Answered, "{answer:?}");
    }
    Ok(())
}
