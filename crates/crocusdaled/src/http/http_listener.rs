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

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for which written data may stay unacknowledged before a connection counts as silent.
const SILENCE: Duration = Duration::from_secs(15);
/// Bytes of a head beyond its declared limit: callers count fields, not the first line.
const HEAD_MARGIN: usize = 8_192;
/// Multiple of the declared idle time for which a connection is kept, so that this side never closes
/// one that its caller still counts on.
const IDLE_FACTOR: f64 = 1.5;
/// Time that connections have to finish once the listener stops, unless set.
const FINISH_TIME: Duration = Duration::from_secs(5);

/// Serves a router, within limits that the server of volo-http doesn't have: open connections,
/// time and size of a request head, and a stop that the daemon decides on.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
    limits: HttpListenerBuilder,
}

/// Limits of an [`HttpListener`].
#[derive(Clone, Copy, Debug)]
pub struct HttpListenerBuilder {
    connections: usize,
    head_bytes: usize,
    head_time: Duration,
    finish_time: Duration,
}

impl Default for HttpListenerBuilder {
    fn default() -> Self {
        Self {
            connections: 1_024,
            head_bytes: 16_384,
            head_time: Duration::from_secs(10),
            finish_time: FINISH_TIME,
        }
    }
}

impl HttpListenerBuilder {
    /// Sets how many connections may be open.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the largest request head, in bytes.
    #[must_use]
    pub fn head_bytes(mut self, head_bytes: usize) -> Self {
        self.head_bytes = head_bytes;
        self
    }

    /// Sets the time for a request head to arrive.
    #[must_use]
    pub fn head_time(mut self, head_time: Duration) -> Self {
        self.head_time = head_time;
        self
    }

    /// Takes at least what `declared` allows callers, with a margin for what they don't count.
    #[must_use]
    fn at_least(mut self, declared: CallerLimits) -> Self {
        let idle = declared.idle_timeout.mul_f64(IDLE_FACTOR);
        self.head_bytes = self.head_bytes.max(declared.head_bytes + HEAD_MARGIN);
        self.head_time = self.head_time.max(declared.head_timeout).max(idle);
        self
    }

    /// Sets the time that connections have to finish once the listener stops.
    #[must_use]
    pub fn finish_time(mut self, finish_time: Duration) -> Self {
        self.finish_time = finish_time;
        self
    }

    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the address can't be had.
    pub async fn bind(self, address: SocketAddr) -> std::io::Result<HttpListener> {
        Ok(HttpListener { listener: TcpListener::bind(address).await?, limits: self })
    }
}

impl HttpListener {
    /// Serves `router` until `stop` changes; then no connection is accepted, and open ones finish
    /// what they have begun.
    pub async fn serve(self, router: Router, stop: watch::Receiver<bool>) {
        self.serve_within(router, stop, || None).await;
    }

    /// The same, with what is declared for callers at the time at which one connects.
    pub async fn serve_within(
        self,
        router: Router,
        mut stop: watch::Receiver<bool>,
        declared: impl Fn() -> Option<CallerLimits>,
    ) {
        let router = Arc::new(router);
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        let mut connections = JoinSet::new();
        loop {
            // Waiting for a permit before accepting leaves excess connections in the backlog of
            // the system, where they take no memory of the process.
            let permit = tokio::select! {
                permit = Arc::clone(&permits).acquire_owned() => permit,
                _ = stop.changed() => break,
            };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.changed() => break,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let limits = declared().map_or(self.limits, |limits| self.limits.at_least(limits));
            let connection =
                serve_connection(stream, peer, Arc::clone(&router), limits, stop.clone());
            connections.spawn(async move {
                connection.await;
                drop(permit);
            });
            while connections.try_join_next().is_some() {}
        }
        drop(self.listener);
        let _ = tokio::time::timeout(self.limits.finish_time, async {
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
    // A caller whose end has gone silent would hold its place for good.
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE));
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
    builder.timer(TokioTimer::new()).header_read_timeout(limits.head_time);
    builder.max_buf_size(limits.head_bytes).keep_alive(true);
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
