//! An upstream that is leaving gets no new work after a few seconds.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Upstreams, deployment, fleet};
use crocusdale_core::membership::{VmEntry, VmRole, VmState};
use crocusdale_core::pipeline::OutcomeKind;
use stand_ins::{
    CallerClient, DaemonFleet, DeclarationText, PlatformMode, RequestBuilder, UpstreamStandIn,
    wait_for,
};

/// Time after which an upstream that is leaving must get no new work.
const FEW_SECONDS: Duration = Duration::from_secs(4);

/// Sends requests to all daemons, and tells how many calls `upstream` got from them.
async fn calls_from_all(
    fleet: &DaemonFleet,
    upstream: &UpstreamStandIn,
    name: &str,
) -> Result<u64> {
    let before = upstream.calls();
    let client = CallerClient::new();
    for (index, address) in fleet.callers().into_iter().enumerate() {
        for number in 0..6 {
            let request = RequestBuilder::new(&format!("{name}-{index}-{number}"), "read");
            let answer = client.submit(address, &request).await?;
            assert_eq!(answer.kind(), OutcomeKind::Answered, "{answer:?}");
        }
    }
    Ok(upstream.calls() - before)
}

/// Waits until all daemons know that `upstream` is leaving.
async fn wait_known(fleet: &DaemonFleet, upstream: &str) -> Result<()> {
    let client = CallerClient::new();
    wait_for(FEW_SECONDS, "all daemons know", async || {
        let mut known = true;
        for daemon in &fleet.daemons {
            let state = client.state(daemon.operator).await.unwrap_or_default();
            let all = state["upstreams"].as_array().cloned().unwrap_or_default();
            known &= all.iter().any(|each| each["name"] == upstream && each["leaving"] == true);
        }
        known
    })
    .await
}

// An upstream says that it is leaving, in an answer to one daemon only; the platform is down, so
// that no list ever says so. The other daemons hear of it from that one.
#[tokio::test]
async fn news_reaches_all_daemons_from_one() -> Result<()> {
    let (upstreams, fleet) = deployment(6).await?;
    fleet.platform.set_mode(PlatformMode::Down);
    let leaving = &upstreams.encode[0];
    leaving.leave();
    let client = CallerClient::new();
    let mut number = 0;
    wait_for(FEW_SECONDS, "one daemon called it", async || {
        number += 1;
        let request = RequestBuilder::new(&format!("first-{number}"), "read");
        let _ = client.submit(fleet.daemons[0].caller, &request).await;
        leaving.calls() > 0
    })
    .await?;
    wait_known(&fleet, "encode-0").await?;
    assert_eq!(calls_from_all(&fleet, leaving, "after").await?, 0);
    Ok(())
}

// The list says that the VM of an upstream is leaving; a daemon is frozen as the news comes. It
// must not give the upstream work for long after it wakes up.
#[tokio::test]
async fn list_says_so_while_a_daemon_is_frozen() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let fleet = fleet(3).configuration(text).start().await?;
    fleet.daemons[0].signal("STOP")?;
    fleet.platform.change_roster(|roster| {
        roster.vms.push(VmEntry {
            name: "encode-0".into(),
            zone: "a".into(),
            role: VmRole::Upstream,
            state: VmState::Leaving,
            peer: None,
            caller: None,
            operator: None,
        });
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.daemons[0].signal("CONT")?;
    wait_known(&fleet, "encode-0").await?;
    assert_eq!(calls_from_all(&fleet, &upstreams.encode[0], "after").await?, 0);
    Ok(())
}
