use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::CallerLimits;
use crocusdale_core::memory::{ConnectionPhase, MemoryPlan};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use motore::service::Service;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::route::Router;

use super::metered_stream::{MeteredStream, StreamMemory};
use super::served_body::ServedBody;
use crate::memory::{CallerConnection, CallerMemory, ConnectionTable};

/// Delay before the next accept after the operating system failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which sent bytes may stay unacknowledged before a connection counts as lost
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes that a request head may have beyond the configured limit of its header fields. The limit
/// does not count the request line.
const REQUEST_LINE_MARGIN: usize = 8_192;
/// Factor by which a connection is kept longer than the idle time that callers are told, so that
/// the daemon never closes a connection that its caller is about to reuse.
const IDLE_TIMEOUT_FACTOR: f64 = 1.5;
/// Time after which another connection is closed if the one that had to make place is still open.
const PLACE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Default of the time that open connections have to finish once the listener stops.
const DEFAULT_FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP/1.1 listener that serves a router.
///
/// Unlike the server of volo-http it limits the number of open connections, and the size and
/// arrival time of a request head. If there is no place for a new connection, the one that is
/// longest without progress is closed, but never one whose request is served. The listener stops
/// when the daemon decides so.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
    limits: HttpListenerBuilder,
}

/// Builder of an [`HttpListener`], which holds its limits.
#[derive(Clone, Copy, Debug)]
pub struct HttpListenerBuilder {
    max_connections: usize,
    max_head_bytes: usize,
    receive_bytes: Option<usize>,
    head_timeout: Duration,
    finish_timeout: Duration,
}

impl Default for HttpListenerBuilder {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_head_bytes: 16_384,
            receive_bytes: None,
            head_timeout: Duration::from_secs(10),
            finish_timeout: DEFAULT_FINISH_TIMEOUT,
        }
    }
}

impl HttpListenerBuilder {
    /// Sets the maximum number of open connections. Further ones wait until a place is free.
    #[must_use]
    pub fn max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the maximum size of a request head, in bytes.
    #[must_use]
    pub fn max_head_bytes(mut self, max_head_bytes: usize) -> Self {
        self.max_head_bytes = max_head_bytes;
        self
    }

    /// Sets the number of received bytes of a connection that the operating system keeps until they
    /// are read. Without it, the operating system decides.
    #[must_use]
    pub fn receive_bytes(mut self, receive_bytes: usize) -> Self {
        self.receive_bytes = Some(receive_bytes);
        self
    }

    /// Sets the time within which a request head has to arrive.
    #[must_use]
    pub fn head_timeout(mut self, head_timeout: Duration) -> Self {
        self.head_timeout = head_timeout;
        self
    }

    /// Raises the limits to what the configuration allows callers, with margins for the request
    /// line and for idle time.
    #[must_use]
    fn raise_to(mut self, declared: CallerLimits) -> Self {
        let idle_timeout = declared.idle_timeout.mul_f64(IDLE_TIMEOUT_FACTOR);
        self.max_head_bytes = self.max_head_bytes.max(declared.head_bytes + REQUEST_LINE_MARGIN);
        self.head_timeout = self.head_timeout.max(declared.head_timeout).max(idle_timeout);
        self
    }

    /// Sets the time that open connections have to finish once the listener stops.
    #[must_use]
    pub fn finish_timeout(mut self, finish_timeout: Duration) -> Self {
        self.finish_timeout = finish_timeout;
        self
    }

    /// Binds a listener with these limits to `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn bind(self, address: SocketAddr) -> std::io::Result<HttpListener> {
        Ok(HttpListener { listener: self.listen(address)?, limits: self })
    }

    fn listen(&self, address: SocketAddr) -> std::io::Result<TcpListener> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        if let Some(receive_bytes) = self.receive_bytes {
            // Accepted connections inherit the size, and those that wait to be accepted have it too.
            socket.set_recv_buffer_size(u32::try_from(receive_bytes).unwrap_or(u32::MAX))?;
        }
        socket.bind(address)?;
        let backlog = MemoryPlan::backlog(self.max_connections);
        socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
    }
}

impl HttpListener {
    /// Serves `router` until `stop` changes, with the open connections in `table`. After that no
    /// connection is accepted, and open ones finish the requests that have begun.
    pub async fn serve(
        self,
        router: Router,
        table: Arc<ConnectionTable>,
        stop: watch::Receiver<bool>,
    ) {
        let connections = ServedConnections::new(router, table, None, stop);
        self.accept_connections(connections, || None).await;
    }

    /// Like [`HttpListener::serve`], but for callers whose requests are held in `memory`. The limits
    /// of each new connection are raised to what `declared` returns when it is accepted; `None`
    /// leaves them as they are.
    pub async fn serve_callers(
        self,
        router: Router,
        memory: Arc<CallerMemory>,
        stop: watch::Receiver<bool>,
        declared: impl Fn() -> Option<CallerLimits>,
    ) {
        let table = Arc::clone(memory.connections());
        let connections = ServedConnections::new(router, table, Some(memory), stop);
        self.accept_connections(connections, declared).await;
    }

    async fn accept_connections(
        self,
        served: ServedConnections,
        declared: impl Fn() -> Option<CallerLimits>,
    ) {
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let mut tasks = JoinSet::new();
        let mut stop = served.stop.clone();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.changed() => break,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // One connection at a time waits for a place. Further ones stay in the listen backlog of
            // the kernel, where they take no memory of this process.
            let permit = tokio::select! {
                permit = served.wait_for_place(&permits) => permit,
                _ = stop.changed() => break,
            };
            let limits = declared().map_or(self.limits, |limits| self.limits.raise_to(limits));
            let connection = served.serve(stream, peer, limits);
            tasks.spawn(async move {
                connection.await;
                drop(permit);
            });
            while tasks.try_join_next().is_some() {}
        }
        drop(self.listener);
        let _ = tokio::time::timeout(self.limits.finish_timeout, async {
            while tasks.join_next().await.is_some() {}
        })
        .await;
    }
}

/// What the connections of a listener share.
struct ServedConnections {
    router: Arc<Router>,
    table: Arc<ConnectionTable>,
    /// Memory for requests. `None` if the listener's requests have no bodies.
    memory: Option<Arc<CallerMemory>>,
    stop: watch::Receiver<bool>,
}

impl ServedConnections {
    fn new(
        router: Router,
        table: Arc<ConnectionTable>,
        memory: Option<Arc<CallerMemory>>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        Self { router: Arc::new(router), table, memory, stop }
    }

    /// Waits until a connection may be served. Closes connections without progress if there is no
    /// place.
    async fn wait_for_place(&self, permits: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        loop {
            if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
                return Some(permit);
            }
            let next_due = self.table.close_for_place();
            let delay = next_due.map_or(PLACE_RETRY_DELAY, |due| self.table.time_until(due));
            let delay = delay.min(PLACE_RETRY_DELAY);
            let permit = Arc::clone(permits).acquire_owned();
            if let Ok(permit) = tokio::time::timeout(delay, permit).await {
                return permit.ok();
            }
        }
    }

    /// Serves one connection until it ends.
    fn serve(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        limits: HttpListenerBuilder,
    ) -> impl Future<Output = ()> + use<> {
        let _ = stream.set_nodelay(true);
        // Without this timeout a caller whose host has gone silent would hold a connection forever.
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let entry = self.table.open(peer);
        let memory = self.memory.as_ref();
        let memory =
            memory.map(|memory| StreamMemory::new(Arc::clone(memory), limits.max_head_bytes));
        let stream = MeteredStream::new(stream, Arc::clone(&entry.connection), memory);
        let (router, mut stop) = (Arc::clone(&self.router), self.stop.clone());
        async move {
            let caller = Arc::clone(&entry.connection);
            let service = service_fn(move |request| {
                serve_request(Arc::clone(&router), Arc::clone(&caller), peer, request)
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(limits.head_timeout);
            builder.max_buf_size(limits.max_head_bytes).keep_alive(true);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let finished = async {
                tokio::select! {
                    _ = connection.as_mut() => {}
                    _ = stop.changed() => {
                        connection.as_mut().graceful_shutdown();
                        let _ = connection.await;
                    }
                }
            };
            tokio::select! {
                // No further request may begin on a connection that has to close.
                biased;
                () = entry.connection.closing() => {}
                () = finished => {}
            }
        }
    }
}

async fn serve_request(
    router: Arc<Router>,
    caller: Arc<CallerConnection>,
    peer: SocketAddr,
    request: http::Request<Incoming>,
) -> Result<http::Response<ServedBody>, Infallible> {
    let phase = match request.body().is_end_stream() {
        true => ConnectionPhase::Serving,
        false => ConnectionPhase::Body,
    };
    caller.begin(phase);
    let mut context = ServerContext::new(Address::from(peer));
    let mut request = request.map(Body::from_incoming);
    request.extensions_mut().insert(Arc::clone(&caller));
    let response: Response = match router.call(&mut context, request).await {
        Ok(response) => response,
        Err(never) => match never {},
    };
    // What is left of a refused body is still discarded.
    caller.begin_answer();
    Ok(response.map(|body| ServedBody::new(body, caller)))
}
