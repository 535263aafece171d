//! Upstreams answer late, cut, doubled, out of order or in another's name; callers get whole
//! answers of their own or none.

mod common;

use std::time::{Duration, Instant};

use anyhow::Result;
use common::{Upstreams, any_port, deployment, fleet};
use crocusdale_core::pipeline::OutcomeKind;
use stand_ins::{
    CallerClient, DeclarationText, RelayStandIn, RequestBuilder, UpstreamFault, UpstreamPlan,
};

const FAULTS: [UpstreamFault; 8] = [
    UpstreamFault::Cut,
    UpstreamFault::ShortStream,
    UpstreamFault::ForeignId,
    UpstreamFault::FinishedId,
    UpstreamFault::WrongTail,
    UpstreamFault::Twice,
    UpstreamFault::OutOfOrder,
    UpstreamFault::Refuse,
];

/// The only right answer to `key`, whichever upstream generated it.
fn is_own(text: &str, key: &str) -> bool {
    let ends =
        [0, 1].map(|n| format!("\"for {key} by generate-{n}: after retrieve+rerank w2 w3\""));
    ends.iter().any(|whole| whole == text)
}

// One of two upstreams of a stage answers wrongly. Each request must still get its whole own
// answer, from the other one.
#[tokio::test]
async fn one_upstream_answers_wrongly() -> Result<()> {
    let (upstreams, fleet) = deployment(1).await?;
    let client = CallerClient::new();
    for fault in FAULTS {
        upstreams.generate[0].set_fault(fault);
        upstreams.encode[0].set_fault(fault);
        for number in 0..6 {
            let key = format!("{fault:?}-{number}");
            let request = RequestBuilder::new(&key, "read");
            let answer = client.submit(fleet.daemons[0].caller, &request).await?;
            assert_eq!(answer.kind(), OutcomeKind::Answered, "{fault:?}: {answer:?}");
            assert!(is_own(&answer.text(), &key), "{fault:?}: {}", answer.text());
            let request = RequestBuilder::new(&key, "code");
            let answer = client.submit(fleet.daemons[0].caller, &request).await?;
            let own = format!("\"for\":\"{key}\"");
            assert!(answer.text().contains(&own), "{fault:?}: {answer:?}");
        }
    }
    Ok(())
}

// All upstreams of the last stage answer wrongly. No caller gets anything of theirs as an answer,
// streamed or not.
#[tokio::test]
async fn all_upstreams_answer_wrongly() -> Result<()> {
    for fault in FAULTS {
        let (upstreams, fleet) = deployment(1).await?;
        for upstream in &upstreams.generate {
            upstream.set_fault(fault);
        }
        let client = CallerClient::new();
        for stream in [false, true] {
            let key = format!("{fault:?}-{stream}");
            let request = RequestBuilder::new(&key, "read");
            let request = if stream { request.stream() } else { request };
            let answer = client.submit(fleet.daemons[0].caller, &request).await?;
            assert_ne!(answer.kind(), OutcomeKind::Answered, "{fault:?}: {answer:?}");
            assert!(answer.outcome.answer.is_none(), "{fault:?}: {answer:?}");
            let foreign = answer.pieces.iter().any(|piece| piece.contains("of another"));
            assert!(!foreign, "{fault:?}: {:?}", answer.pieces);
        }
        // A stage that doesn't stream has no pieces to send twice or in the wrong order.
        if !matches!(fault, UpstreamFault::Twice | UpstreamFault::OutOfOrder) {
            for upstream in &upstreams.encode {
                upstream.set_fault(fault);
            }
            let request = RequestBuilder::new("whole", "code");
            let answer = client.submit(fleet.daemons[0].caller, &request).await?;
            assert_ne!(answer.kind(), OutcomeKind::Answered, "{fault:?}: {answer:?}");
        }
    }
    Ok(())
}

// Of two parallel branches the second answers long before the first. The next stage must get
// them in declared order.
#[tokio::test]
async fn branches_are_put_together_in_declared_order() -> Result<()> {
    let (upstreams, fleet) = deployment(1).await?;
    for upstream in &upstreams.retrieve {
        upstream.set_plan(UpstreamPlan { service_ms: 200, ..UpstreamPlan::default() });
    }
    let request = RequestBuilder::new("k", "read");
    let answer = CallerClient::new().submit(fleet.daemons[0].caller, &request).await?;
    assert!(is_own(&answer.text(), "k"), "{}", answer.text());
    Ok(())
}

// An upstream takes a call and never answers. The request goes on elsewhere within its deadline,
// and one that can't gets its final answer at its deadline, not later.
#[tokio::test]
async fn silent_upstream_costs_its_stage_only() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default().silence_ms(300)).build();
    let fleet = fleet(1).configuration(text).start().await?;
    upstreams.rerank[0].set_fault(UpstreamFault::Silent);
    // The other one is slow, so that the silent one is tried first.
    upstreams.rerank[1].set_plan(UpstreamPlan { service_ms: 50, ..UpstreamPlan::default() });
    let client = CallerClient::new();
    for number in 0..4 {
        let key = format!("k-{number}");
        let request = RequestBuilder::new(&key, "read");
        let answer = client.submit(fleet.daemons[0].caller, &request).await?;
        assert!(is_own(&answer.text(), &key), "{answer:?}");
    }
    assert!(upstreams.rerank[0].calls() > 0);
    for upstream in &upstreams.rerank {
        upstream.set_fault(UpstreamFault::Silent);
    }
    let start = Instant::now();
    let request = RequestBuilder::new("late", "read").deadline_ms(400);
    let answer = client.submit(fleet.daemons[0].caller, &request).await?;
    assert_eq!(answer.kind(), OutcomeKind::Failed, "{answer:?}");
    assert!(start.elapsed() < Duration::from_millis(1_500), "{:?}", start.elapsed());
    Ok(())
}

// Something between a daemon and an upstream loses track of their connections: open ones are
// silent for good, new ones work. Requests must flow again within the time that a stage may be
// silent, although every idle connection of the pool is dead.
#[tokio::test]
async fn connections_to_an_upstream_go_silent() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let relay = RelayStandIn::start(any_port(), upstreams.encode[0].address())?;
    let mut text =
        DeclarationText::default().silence_ms(300).upstream("encode-0", "encode", relay.address());
    for (stage, each) in &upstreams.stages()[1..] {
        text = text.upstream(&format!("{stage}-0"), stage, each[0].address());
    }
    let fleet = fleet(1).configuration(text.build()).start().await?;
    let address = fleet.daemons[0].caller;
    let burst = async |name: &str| {
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..8 {
            let request = RequestBuilder::new(&format!("{name}-{number}"), "read");
            calls.spawn(async move { CallerClient::new().submit(address, &request).await });
        }
        calls.join_all().await.into_iter().collect::<Result<Vec<_>>>()
    };
    let before = burst("before").await?;
    assert!(before.iter().all(|answer| answer.kind() == OutcomeKind::Answered), "{before:?}");
    relay.silence_open();
    // One request meets a silent connection; the others of the pool must be closed with it.
    let request = RequestBuilder::new("silent", "read");
    CallerClient::new().submit(address, &request).await?;
    let after = burst("after").await?;
    assert!(after.iter().all(|answer| answer.kind() == OutcomeKind::Answered), "{after:?}");
    Ok(())
}
