use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::DECLARATIONS_LIMIT;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::membership::VmList;
use serde::Deserialize;
use volo_http::client::{Client, ClientBuilder};

use crate::engine::DaemonEngine;
use crate::http::read_body;

/// How long the configuration service may hold a watch.
const WATCH_HOLD: Duration = Duration::from_secs(10);
/// Time after the hold for which the answer of a watch may take.
const ANSWER_PATIENCE: Duration = Duration::from_secs(2);
/// Bytes that JSON adds to a text of the largest size, at most.
const JSON_FACTOR: usize = 2;
/// Largest VM list, in bytes.
const ROSTER_LIMIT: usize = 4 << 20;

/// Reads what a configuration service and a VM list publish.
pub struct ServiceReader {
    configuration: SocketAddr,
    vm_list: SocketAddr,
    client: Client,
}

/// Answer of the configuration service.
#[derive(Debug, Deserialize)]
struct PublishedConfiguration {
    revision: u64,
    text: String,
}

impl ServiceReader {
    /// Reads from `configuration` and `vm_list`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(configuration: SocketAddr, vm_list: SocketAddr) -> anyhow::Result<Self> {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(ANSWER_PATIENCE).set_max_idle_per_host(0);
        Ok(Self { configuration, vm_list, client: builder.build()? })
    }

    /// Waits at the configuration service for a revision other than `known`.
    pub fn watch_configuration(&self, engine: &Arc<DaemonEngine>, known: u64) {
        let (client, address) = (self.client.clone(), self.configuration);
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            // A daemon without any configuration can't wait for a change.
            let wait = if known == 0 { Duration::ZERO } else { WATCH_HOLD };
            let path = format!("/configuration?known={known}&wait_ms={}", wait.as_millis());
            let limit = DECLARATIONS_LIMIT * JSON_FACTOR;
            let read = get(&client, address, &path, limit);
            let event = match tokio::time::timeout(wait + ANSWER_PATIENCE, read).await {
                Ok(Ok(None)) => DaemonEvent::ConfigurationWatched(None),
                Ok(Ok(Some(body))) => match serde_json::from_slice::<PublishedConfiguration>(&body)
                {
                    Ok(read) => DaemonEvent::ConfigurationWatched(Some((read.revision, read.text))),
                    Err(_) => DaemonEvent::ConfigurationWatchFailed,
                },
                Ok(Err(_)) | Err(_) => DaemonEvent::ConfigurationWatchFailed,
            };
            engine.feed(event);
        });
    }

    /// Reads the VM list, if it is newer than `known`.
    pub fn read_roster(&self, engine: &Arc<DaemonEngine>, known: u64) {
        let (client, address) = (self.client.clone(), self.vm_list);
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let path = format!("/vms?known={known}");
            let read = get(&client, address, &path, ROSTER_LIMIT);
            let event = match tokio::time::timeout(ANSWER_PATIENCE, read).await {
                Ok(Ok(None)) => DaemonEvent::VmListRead(None),
                Ok(Ok(Some(body))) => match serde_json::from_slice::<VmList>(&body) {
                    Ok(roster) => DaemonEvent::VmListRead(Some(roster)),
                    Err(_) => DaemonEvent::VmListReadFailed,
                },
                Ok(Err(_)) | Err(_) => DaemonEvent::VmListReadFailed,
            };
            engine.feed(event);
        });
    }
}

impl fmt::Debug for ServiceReader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = formatter.debug_struct("ServiceReader");
        parts.field("configuration", &self.configuration).field("vm_list", &self.vm_list).finish()
    }
}

/// Reads `path`; `None` means that there is nothing new.
async fn get(
    client: &Client,
    address: SocketAddr,
    path: &str,
    limit: usize,
) -> anyhow::Result<Option<bytes::Bytes>> {
    let response = client.get(path.to_owned()).address(address).send().await?;
    match response.status() {
        http::StatusCode::OK => Ok(Some(read_body(response.into_body(), limit).await?)),
        http::StatusCode::NO_CONTENT => Ok(None),
        status => anyhow::bail!("status {status}"),
    }
}
