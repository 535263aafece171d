use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crocusdale_core::routing::CONNECT_TIMEOUT;
use crocusdale_core::sync::lock;
use http::{HeaderMap, Request, Response, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::head_limit::{HeadLimit, LimitedStream};

/// Time for which an idle connection is kept if the server doesn't state its own idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin that is subtracted from the idle timeout that the server states, so that the server never
/// closes a connection first.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum number of idle connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time for which sent bytes may stay unacknowledged before a connection counts as lost
/// (`TCP_USER_TIMEOUT`). Keepalive probes give up by it too, whatever their number: at the first probe
/// that is due this long after the last segment of the peer. A sound upstream may be silent for a
/// second or more, after a pause of up to [`KEEPALIVE_INTERVAL`] in which it had nothing to send.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time of a connection before the first TCP keepalive probe, and the time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of unanswered TCP keepalive probes after which a connection counts as lost. Only reached
/// where the platform ignores [`UNACKNOWLEDGED_TIMEOUT`].
const MAX_KEEPALIVE_PROBES: u32 = 3;

/// Unread body of an upstream's answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// Error that ends the body of an answer early, with its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyError(String);

impl BodyError {
    pub(crate) fn new(cause: &impl ToString) -> Self {
        Self(cause.to_string())
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for BodyError {}

/// Pool of HTTP/1.1 connections, which are kept open between requests.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    sender: LimitedSender,
    expires: Instant,
}

/// A connection that is reserved for one request.
pub struct OpenConnection {
    address: SocketAddr,
    sender: LimitedSender,
    is_new: bool,
}

/// Sender of requests on a connection, with the limit of the bytes before their answers.
struct LimitedSender {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
}

/// Reason why a request got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendFault {
    /// Whether any byte of the request may have been written to the connection.
    pub may_be_written: bool,
    /// Description of the error for the log.
    pub cause: String,
}

impl SendFault {
    pub(crate) fn unwritten(cause: &impl ToString) -> Self {
        Self { may_be_written: false, cause: cause.to_string() }
    }

    pub(crate) fn broken(cause: &impl ToString) -> Self {
        Self { may_be_written: true, cause: cause.to_string() }
    }
}

impl ConnectionPool {
    /// Returns an idle connection to `address`, or opens one. With `needs_new` it always opens one.
    ///
    /// # Errors
    ///
    /// Returns why no connection could be opened. Nothing has been written in this case.
    pub async fn connect(
        &self,
        address: SocketAddr,
        needs_new: bool,
    ) -> Result<OpenConnection, SendFault> {
        if !needs_new && let Some(sender) = self.take_idle(address) {
            return Ok(OpenConnection { address, sender, is_new: false });
        }
        let sender = tokio::time::timeout(CONNECT_TIMEOUT, open(address)).await;
        match sender {
            Ok(Ok(sender)) => Ok(OpenConnection { address, sender, is_new: true }),
            Ok(Err(fault)) => Err(SendFault::unwritten(&fault)),
            Err(_) => Err(SendFault::unwritten(&"the connection did not open before the timeout")),
        }
    }

    /// Returns a connection to the pool after its last answer, with these `headers`, was read to
    /// its end. The connection is closed instead if `max_idle` idle ones are already kept to its
    /// address, or if the headers forbid to keep it.
    pub fn return_connection(
        &self,
        connection: OpenConnection,
        headers: &HeaderMap,
        max_idle: usize,
    ) {
        let Some(keep_time) = idle_timeout(headers) else { return };
        let mut idle = lock(&self.idle);
        let address_idle = idle.entry(connection.address).or_default();
        if address_idle.len() < max_idle.min(MAX_IDLE_CONNECTIONS) {
            let expires = Instant::now() + keep_time;
            address_idle.push(IdleConnection { sender: connection.sender, expires });
        }
    }

    /// Closes all idle connections to `address`.
    ///
    /// Guards against a network device that has lost its connection state. Established connections
    /// then stay silent while new ones work, and each idle one would make another request time out.
    pub fn close_idle(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Sends a request and reads the complete answer, which may have `max_bytes` bytes and take
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been written.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, SendFault> {
        let exchange = async {
            let connection = self.connect(address, false).await?;
            self.exchange(connection, request, max_bytes).await
        };
        self.within(address, timeout, exchange).await
    }

    /// Like [`ConnectionPool::call`], on a connection that is open already. The request is sent only
    /// if `may_write` returns true at that time.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been written.
    pub async fn call_on(
        &self,
        connection: OpenConnection,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        timeout: Duration,
        may_write: impl Fn() -> bool,
    ) -> Result<Response<Bytes>, SendFault> {
        if !may_write() {
            return Err(SendFault::unwritten(
                &"the upstream was chosen too long ago to send the request",
            ));
        }
        let address = connection.address;
        self.within(address, timeout, self.exchange(connection, request, max_bytes)).await
    }

    /// Sends a request on an open connection and reads the complete answer, which may have `max_bytes`
    /// bytes, however long that takes.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been written.
    pub async fn exchange(
        &self,
        mut connection: OpenConnection,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, SendFault> {
        let (parts, body) = connection.send(request).await?.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|fault| SendFault::broken(&fault))?.to_bytes();
        self.return_connection(connection, &parts.headers, MAX_IDLE_CONNECTIONS);
        Ok(Response::from_parts(parts, body))
    }

    async fn within(
        &self,
        address: SocketAddr,
        timeout: Duration,
        exchange: impl Future<Output = Result<Response<Bytes>, SendFault>>,
    ) -> Result<Response<Bytes>, SendFault> {
        match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => {
                self.close_idle(address);
                Err(SendFault::broken(&"the answer did not arrive before the timeout"))
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<LimitedSender> {
        let mut idle = lock(&self.idle);
        let address_idle = idle.get_mut(&address)?;
        let now = Instant::now();
        address_idle.retain(|entry| entry.expires > now && !entry.sender.sender.is_closed());
        // A connection that has not yet finished its last exchange would delay the request.
        let ready_index = address_idle.iter().rposition(|entry| entry.sender.sender.is_ready())?;
        Some(address_idle.swap_remove(ready_index).sender)
    }
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ConnectionPool").field("idle", &lock(&self.idle).len()).finish()
    }
}

impl OpenConnection {
    /// Whether the connection was opened for this request, rather than kept from an earlier one.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Sends a request and returns the answer once its head has arrived. The body is still unread.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, SendFault> {
        let LimitedSender { sender, head_limit } = &mut self.sender;
        head_limit.expect_head();
        match sender.try_send_request(request).await {
            Ok(response) => {
                head_limit.lift();
                Ok(response.map(box_body))
            }
            // Hyper returns the request in its error only if no byte of it was written.
            Err(mut fault) => match fault.take_message() {
                Some(_) => Err(SendFault::unwritten(&fault.error())),
                None => Err(SendFault::broken(&fault.error())),
            },
        }
    }
}

fn box_body(body: Incoming) -> AnswerBody {
    body.map_err(|error| BodyError::new(&error)).boxed_unsync()
}

/// Sets after which silence of its peer the connection `stream` counts as lost.
///
/// # Errors
///
/// Returns the error of the operating system if it doesn't know an option.
pub fn limit_silence(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(MAX_KEEPALIVE_PROBES))
}

async fn open(address: SocketAddr) -> Result<LimitedSender, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    limit_silence(&stream)?;
    let (stream, head_limit) = LimitedStream::new(stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // This task drives the connection. It ends once the sender and the answer are dropped.
    tokio::spawn(connection);
    Ok(LimitedSender { sender, head_limit })
}

/// Time for which a connection may be kept idle after an answer with `headers`. `None` means that
/// it must be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let is_closing = headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close")));
    if is_closing {
        return None;
    }
    let server_timeout = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let server_timeout = server_timeout.and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        timeout?.trim().parse().ok()
    });
    match server_timeout.map(Duration::from_secs) {
        Some(timeout) => timeout.checked_sub(IDLE_MARGIN).filter(|kept| !kept.is_zero()),
        None => Some(DEFAULT_IDLE_TIMEOUT),
    }
}
