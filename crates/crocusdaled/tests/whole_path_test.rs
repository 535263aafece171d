//! A request on its way through six daemons and all stages.

mod common;

use anyhow::Result;
use common::{KEY_LIFE, SOON, deployment};
use crocusdale_core::pipeline::OutcomeKind;
use stand_ins::{CallerClient, PlatformMode, RequestBuilder, wait_for};

#[tokio::test]
async fn request_passes_all_stages() -> Result<()> {
    let (upstreams, fleet) = deployment(6).await?;
    let client = CallerClient::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let key = format!("letter-{index}");
        let answer = client.submit(daemon.caller, &RequestBuilder::new(&key, "read")).await?;
        assert_eq!((answer.status, answer.kind()), (200, OutcomeKind::Answered), "{answer:?}");
        assert!(answer.text().contains(&format!("for {key} by generate-")), "{}", answer.text());
        let stages: Vec<&str> =
            answer.outcome.stages.iter().map(|cost| cost.stage.as_str()).collect();
        assert_eq!((stages.len(), stages[0], stages[3]), (4, "encode", "generate"));
    }
    let calls: u64 = upstreams.generate.iter().map(stand_ins::UpstreamStandIn::calls).sum();
    assert_eq!(calls, 6);
    Ok(())
}

#[tokio::test]
async fn stream_reaches_caller_piece_by_piece() -> Result<()> {
    let (_upstreams, fleet) = deployment(1).await?;
    let request = RequestBuilder::new("letter", "read").stream();
    let answer = CallerClient::new().submit(fleet.daemons[0].caller, &request).await?;
    assert_eq!(answer.kind(), OutcomeKind::Answered);
    let whole: String = serde_json::from_str(&answer.text())?;
    assert_eq!(answer.pieces.concat(), whole);
    Ok(())
}

#[tokio::test]
async fn order_that_must_not_repeat_runs_once() -> Result<()> {
    let (upstreams, fleet) = deployment(3).await?;
    fleet.wait_for_witnesses(KEY_LIFE).await;
    let client = CallerClient::new();
    let request = RequestBuilder::new("order", "shred").once();
    for daemon in &fleet.daemons {
        let answer = client.submit(daemon.caller, &request).await?;
        assert_eq!(answer.kind(), OutcomeKind::Answered, "{answer:?}");
    }
    assert_eq!(upstreams.shred_runs("order"), 1);
    Ok(())
}

// A daemon has just been replaced and can't read the VM list yet. It must not give its callers an
// empty list of addresses, which they would keep; they are told to ask again, and ask another one.
#[tokio::test]
async fn daemon_that_is_not_ready_gives_no_addresses() -> Result<()> {
    let (_upstreams, mut fleet) = deployment(2).await?;
    fleet.platform.set_mode(PlatformMode::Down);
    fleet.daemons[0].kill();
    fleet.launch(0)?;
    let (client, caller) = (CallerClient::new(), fleet.daemons[0].caller);
    wait_for(SOON, "the fresh daemon answers", async || {
        client.get(caller, "/v1/addresses").await.is_ok()
    })
    .await?;
    assert_eq!(client.get(caller, "/v1/addresses").await?.0, 503);
    assert_eq!(client.get(fleet.daemons[1].caller, "/v1/addresses").await?.0, 200);
    Ok(())
}
