use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use http::StatusCode;
use volo_http::body::{Body, BodyConversion as _};
use volo_http::client::{Client, ClientBuilder};

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond a request's own deadline for its answer to arrive.
const ANSWER_PATIENCE: Duration = Duration::from_secs(12);

/// Calls daemons over HTTP.
#[derive(Clone)]
pub(crate) struct HttpCaller {
    client: Client,
}

impl HttpCaller {
    pub(crate) fn new() -> Result<Self> {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT).set_max_idle_per_host(256);
        Ok(Self { client: builder.build().context("building the HTTP client")? })
    }

    /// Reads `path`; anything but success is an error.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> Result<String> {
        let (status, body) = self.ask(address, path).await?;
        if !status.is_success() {
            bail!("{address}{path}: status {status}: {}", body.trim());
        }
        Ok(body)
    }

    /// Reads `path`, whatever the status.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(StatusCode, String)> {
        let request = self.client.get(path.to_owned()).address(address);
        let place = || format!("{address}{path}");
        let response = tokio::time::timeout(ANSWER_PATIENCE, request.send()).await;
        let response = response.with_context(place)?.with_context(place)?;
        Ok((response.status(), response.into_string().await.with_context(place)?))
    }

    /// Posts `body` to `path`, whatever the status.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<(StatusCode, String)> {
        let request = self.client.post(path.to_owned()).address(address);
        let request = request.header("content-type", "application/json").body(Body::from(body));
        let place = || format!("{address}{path}");
        let whole = async {
            let response = request.send().await.with_context(place)?;
            Ok((response.status(), response.into_string().await.with_context(place)?))
        };
        tokio::time::timeout(ANSWER_PATIENCE, whole).await.with_context(place)?
    }
}
