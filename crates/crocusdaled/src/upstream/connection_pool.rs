use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crocusdale_core::routing::CONNECT_TIMEOUT;
use crocusdale_core::sync::lock;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time for which an idle connection is kept if the other side doesn't say how long it keeps it.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// What is taken off the time that the other side says, so that it never closes first.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle connections kept to one address.
const IDLE_CONNECTIONS: usize = 8;
/// Time for which written bytes may stay unacknowledged before a connection counts as lost.
const SEND_SILENCE: Duration = Duration::from_millis(2_000);
/// Pause of a connection after which the other side is asked for a sign of life, and between two
/// such questions.
const KEEPALIVE: Duration = Duration::from_millis(1_000);
/// Questions without an answer after which a connection counts as lost.
const KEEPALIVE_RETRIES: u32 = 2;

/// Connections to one kind of server, kept between requests.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    until: Instant,
}

/// A connection that one request has to itself.
pub struct OpenConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendFault {
    /// Whether a byte of it may have been written.
    pub written: bool,
    /// What went wrong, for the log.
    pub cause: String,
}

impl SendFault {
    fn unwritten(cause: &impl ToString) -> Self {
        Self { written: false, cause: cause.to_string() }
    }

    fn broken(cause: &impl ToString) -> Self {
        Self { written: true, cause: cause.to_string() }
    }
}

impl ConnectionPool {
    /// A connection to `address`; with `fresh`, none that was used before.
    ///
    /// # Errors
    ///
    /// Returns why none can be made; nothing was written then.
    pub async fn connect(
        &self,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<OpenConnection, SendFault> {
        if !fresh && let Some(sender) = self.take_idle(address) {
            return Ok(OpenConnection { address, sender });
        }
        let sender = tokio::time::timeout(CONNECT_TIMEOUT, open(address)).await;
        match sender {
            Ok(Ok(sender)) => Ok(OpenConnection { address, sender }),
            Ok(Err(fault)) => Err(SendFault::unwritten(&fault)),
            Err(_) => Err(SendFault::unwritten(&"no connection in time")),
        }
    }

    /// Keeps a connection whose last answer, with these `headers`, was read to its end, unless
    /// `most` are kept to its address.
    pub fn give_back(&self, connection: OpenConnection, headers: &HeaderMap, most: usize) {
        let Some(kept) = idle_time(headers) else { return };
        let mut idle = lock(&self.idle);
        let kept_there = idle.entry(connection.address).or_default();
        if kept_there.len() < most.min(IDLE_CONNECTIONS) {
            let until = Instant::now() + kept;
            kept_there.push(IdleConnection { sender: connection.sender, until });
        }
    }

    /// Closes all idle connections to `address`.
    ///
    /// Guards against a path that has lost track of its connections: they stay silent for good
    /// while new ones work, and each idle one would cost another request its time.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Sends a request and reads its whole answer, up to `limit` bytes, within `patience`.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been written.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: usize,
        patience: Duration,
    ) -> Result<Response<Bytes>, SendFault> {
        self.call_while(address, request, limit, patience, || true).await
    }

    /// Does what [`ConnectionPool::call`] does, if `may_write` holds once there is a connection.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been written.
    pub async fn call_while(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: usize,
        patience: Duration,
        may_write: impl Fn() -> bool,
    ) -> Result<Response<Bytes>, SendFault> {
        let exchange = async {
            let mut connection = self.connect(address, false).await?;
            if !may_write() {
                return Err(SendFault::unwritten(&"chosen too long ago"));
            }
            let (parts, body) = connection.send(request).await?.into_parts();
            let body = Limited::new(body, limit).collect().await;
            let body = body.map_err(|fault| SendFault::broken(&fault))?.to_bytes();
            self.give_back(connection, &parts.headers, IDLE_CONNECTIONS);
            Ok(Response::from_parts(parts, body))
        };
        match tokio::time::timeout(patience, exchange).await {
            Ok(answer) => answer,
            Err(_) => {
                self.forget(address);
                Err(SendFault::broken(&"no answer in time"))
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        kept.retain(|each| each.until > now && !each.sender.is_closed());
        // A connection whose last answer is not quite dealt with would make the request wait.
        let ready = kept.iter().rposition(|each| each.sender.is_ready())?;
        Some(kept.swap_remove(ready).sender)
    }
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ConnectionPool").field("idle", &lock(&self.idle).len()).finish()
    }
}

impl OpenConnection {
    /// Sends a request; returns the answer once its head has come.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFault> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            // The library gives the request back only if it has written nothing of it.
            Err(mut fault) => match fault.take_message() {
                Some(_) => Err(SendFault::unwritten(&fault.error())),
                None => Err(SendFault::broken(&fault.error())),
            },
        }
    }
}

async fn open(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(SEND_SILENCE))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_RETRIES))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The task ends with the connection, which ends once its sender and its answer are dropped.
    tokio::spawn(connection);
    Ok(sender)
}

/// Time for which a connection may be kept after an answer with `headers`; `None` if it may not.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close")));
    if closes {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let stated = stated.and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        timeout?.trim().parse().ok()
    });
    match stated.map(Duration::from_secs) {
        Some(stated) => stated.checked_sub(IDLE_MARGIN).filter(|kept| !kept.is_zero()),
        None => Some(IDLE_TIME),
    }
}
