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

/// Time for which the configuration service may hold a watch before it answers without a change
/// (long polling).
const WATCH_HOLD_TIME: Duration = Duration::from_secs(10);
/// Time beyond the hold time of a watch within which an answer has to arrive. Connecting and
/// reading the VM list have the same timeout.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest factor by which JSON escaping may enlarge the configuration text.
const JSON_ESCAPE_FACTOR: usize = 2;
/// Largest VM list that is read, in bytes.
const MAX_VM_LIST_BYTES: usize = 4 << 20;

/// HTTP client that reads from a configuration service and a VM list service.
pub struct ServiceReader {
    configuration: SocketAddr,
    vm_list: SocketAddr,
    client: Client,
}

/// JSON body of an answer of the configuration service.
#[derive(Debug, Deserialize)]
struct PublishedConfiguration {
    revision: u64,
    text: String,
}

impl ServiceReader {
    /// Creates a reader of the services at the addresses `configuration` and `vm_list`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(configuration: SocketAddr, vm_list: SocketAddr) -> anyhow::Result<Self> {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(ANSWER_TIMEOUT).set_max_idle_per_host(0);
        Ok(Self { configuration, vm_list, client: builder.build()? })
    }

    /// Waits until the configuration service has another revision than `known`, and passes it to
    /// the core.
    pub fn watch_configuration(&self, engine: &Arc<DaemonEngine>, known: u64) {
        let (client, address) = (self.client.clone(), self.configuration);
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            // Without any configuration the daemon can't serve, so the current one is read at once.
            let hold_time = if known == 0 { Duration::ZERO } else { WATCH_HOLD_TIME };
            let path = format!("/configuration?known={known}&wait_ms={}", hold_time.as_millis());
            let max_bytes = DECLARATIONS_LIMIT * JSON_ESCAPE_FACTOR;
            let read = get(&client, address, &path, max_bytes);
            let event = match tokio::time::timeout(hold_time + ANSWER_TIMEOUT, read).await {
                Ok(Ok(None)) => DaemonEvent::ConfigurationWatched(None),
                Ok(Ok(Some(body))) => match serde_json::from_slice::<PublishedConfiguration>(&body)
                {
                    Ok(read) => DaemonEvent::ConfigurationWatched(Some((read.revision, read.text))),
                    Err(_) => DaemonEvent::ConfigurationWatchFailed,
                },
                Ok(Err(_)) | Err(_) => DaemonEvent::ConfigurationWatchFailed,
            };
            engine.handle_event(event);
        });
    }

    /// Reads the VM list if its revision is newer than `known`, and passes it to the core.
    pub fn read_vm_list(&self, engine: &Arc<DaemonEngine>, known: u64) {
        let (client, address) = (self.client.clone(), self.vm_list);
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let path = format!("/vms?known={known}");
            let read = get(&client, address, &path, MAX_VM_LIST_BYTES);
            let event = match tokio::time::timeout(ANSWER_TIMEOUT, read).await {
                Ok(Ok(None)) => DaemonEvent::VmListRead(None),
                Ok(Ok(Some(body))) => match serde_json::from_slice::<VmList>(&body) {
                    Ok(roster) => DaemonEvent::VmListRead(Some(roster)),
                    Err(_) => DaemonEvent::VmListReadFailed,
                },
                Ok(Err(_)) | Err(_) => DaemonEvent::VmListReadFailed,
            };
            engine.handle_event(event);
        });
    }
}

impl fmt::Debug for ServiceReader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = formatter.debug_struct("ServiceReader");
        parts.field("configuration", &self.configuration).field("vm_list", &self.vm_list).finish()
    }
}

/// Reads `path` from the service at `address`. Returns `None` if nothing has changed.
async fn get(
    client: &Client,
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> anyhow::Result<Option<bytes::Bytes>> {
    let response = client.get(path.to_owned()).address(address).send().await?;
    match response.status() {
        http::StatusCode::OK => Ok(Some(read_body(response.into_body(), max_bytes).await?)),
        http::StatusCode::NO_CONTENT => Ok(None),
        status => anyhow::bail!("unexpected status {status}; accepted: 200 and 204"),
    }
}
