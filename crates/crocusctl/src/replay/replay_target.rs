use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result};
use crocusdale_core::pipeline::{FinalOutcome, SubmittedRequest};
use crocusdale_core::sync::lock;
use serde::Deserialize;

use super::DirectCaller;
use crate::http_caller::HttpCaller;

/// What a trace is replayed against.
pub(crate) enum ReplayTarget {
    /// The daemons.
    System(SystemCaller),
    /// The upstreams, without any daemon.
    Direct(Box<DirectCaller>),
}

/// Callers of the daemons, each with its own address answer.
pub(crate) struct SystemCaller {
    caller: HttpCaller,
    daemons: Vec<SocketAddr>,
    kept: Vec<Mutex<Option<KeptAddresses>>>,
}

#[derive(Clone)]
struct KeptAddresses {
    addresses: Arc<[SocketAddr]>,
    until: Instant,
}

#[derive(Deserialize)]
struct AddressAnswer {
    addresses: Vec<SocketAddr>,
    hold_ms: u64,
}

impl ReplayTarget {
    pub(crate) fn through_system(
        caller: HttpCaller,
        daemons: Vec<SocketAddr>,
        callers: usize,
    ) -> Self {
        let kept = (0..callers).map(|_| Mutex::new(None)).collect();
        Self::System(SystemCaller { caller, daemons, kept })
    }

    /// Sends `request` as caller number `number`.
    pub(crate) async fn send(
        &self,
        number: usize,
        request: &SubmittedRequest,
    ) -> Result<FinalOutcome> {
        match self {
            Self::System(system) => system.send(number, request).await,
            Self::Direct(direct) => direct.send(request).await,
        }
    }
}

impl SystemCaller {
    /// Sends `request` to the first address of the caller's answer that takes a connection. What
    /// has been written is not written again: that is for the caller's owner to decide.
    async fn send(&self, number: usize, request: &SubmittedRequest) -> Result<FinalOutcome> {
        let body = serde_json::to_string(request)?;
        let addresses = self.addresses(number).await?;
        let address = *addresses.first().context("no daemon may be used")?;
        let (_, body) = self.caller.post(address, "/v1/requests", body).await?;
        serde_json::from_str(&body).with_context(|| format!("not a final answer: {body}"))
    }

    async fn addresses(&self, number: usize) -> Result<Arc<[SocketAddr]>> {
        let slot = &self.kept[number % self.kept.len()];
        let kept = lock(slot).clone();
        if let Some(kept) = kept.filter(|kept| Instant::now() < kept.until) {
            return Ok(kept.addresses);
        }
        let mut last = None;
        for daemon in &self.daemons {
            let path = format!("/v1/addresses?caller=caller-{number}");
            match self.caller.get(*daemon, &path).await {
                Ok(body) => {
                    let answer: AddressAnswer = serde_json::from_str(&body)?;
                    let until = Instant::now() + Duration::from_millis(answer.hold_ms);
                    let kept = KeptAddresses { addresses: answer.addresses.into(), until };
                    *lock(slot) = Some(kept.clone());
                    return Ok(kept.addresses);
                }
                Err(error) => last = Some(error),
            }
        }
        Err(last.context("no daemon was given")?)
    }
}
