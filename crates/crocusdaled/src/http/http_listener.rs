use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::CallerLimits;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use motore::service::Service;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::route::Router;

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
/// Default of the time that open connections have to finish once the listener stops.
const DEFAULT_FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP/1.1 listener that serves a router.
///
/// Unlike the server of volo-http it limits the number of open connections, and the size and
/// arrival time of a request head. It stops when the daemon decides so.
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
    head_timeout: Duration,
    finish_timeout: Duration,
}

impl Default for HttpListenerBuilder {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_head_bytes: 16_384,
            head_timeout: Duration::from_secs(10),
            finish_timeout: DEFAULT_FINISH_TIMEOUT,
        }
    }
}

impl HttpListenerBuilder {
    /// Sets the maximum number of open connections. Further ones wait in the listen backlog.
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
        Ok(HttpListener { listener: TcpListener::bind(address).await?, limits: self })
    }
}

impl HttpListener {
    /// Serves `router` until `stop` changes. After that no connection is accepted, and open ones
    /// finish the requests that have begun.
    pub async fn serve(self, router: Router, stop: watch::Receiver<bool>) {
        self.serve_with_limits(router, stop, || None).await;
    }

    /// Like [`HttpListener::serve`], but raises the limits of each new connection to what
    /// `declared` returns when it is accepted. `None` leaves them as they are.
    pub async fn serve_with_limits(
        self,
        router: Router,
        mut stop: watch::Receiver<bool>,
        declared: impl Fn() -> Option<CallerLimits>,
    ) {
        let router = Arc::new(router);
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let mut connections = JoinSet::new();
        loop {
            // The permit is acquired before the accept. Excess connections then stay in the listen
            // backlog of the kernel, where they take no memory of this process.
            let permit = tokio::select! {
                permit = Arc::clone(&permits).acquire_owned() => permit,
                _ = stop.changed() => break,
            };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.changed() => break,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let limits = declared().map_or(self.limits, |limits| self.limits.raise_to(limits));
            let connection =
                serve_connection(stream, peer, Arc::clone(&router), limits, stop.clone());
            connections.spawn(async move {
                connection.await;
                drop(permit);
            });
            while connections.try_join_next().is_some() {}
        }
        drop(self.listener);
        let _ = tokio::time::timeout(self.limits.finish_timeout, async {
            while connections.join_next().await.is_some() {}
        })
        .await;
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    router: Arc<Router>,
    limits: HttpListenerBuilder,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    // Without this timeout a caller whose host has gone silent would hold a connection forever.
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let service = service_fn(move |request: http::Request<Incoming>| {
        let router = Arc::clone(&router);
        async move {
            let mut context = ServerContext::new(Address::from(peer));
            let request = request.map(Body::from_incoming);
            let response: Response = match router.call(&mut context, request).await {
                Ok(response) => response,
                Err(never) => match never {},
            };
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(limits.head_timeout);
    builder.max_buf_size(limits.max_head_bytes).keep_alive(true);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = stop.changed() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
