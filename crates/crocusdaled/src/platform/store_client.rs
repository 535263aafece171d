use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crocusdale_platform::store::{StoreError, read_restore_count};
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;

use super::store_fault::{FaultCause, StoreFault};
use crate::upstream::ConnectionPool;

/// Time within which an answer is expected, beyond the time for which the store may hold a watch.
/// Answers usually take a few milliseconds, and up to some tenths of a second while the store is
/// slow.
const ANSWER_TIME: Duration = Duration::from_millis(900);
/// Shortest and longest time by which the next try of a call is put off beyond [`ANSWER_TIME`].
const TRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Maximum number of tries of one call. Their start times span some 20 s, and so bound how late an
/// answer may come.
const MAX_TRIES: u32 = 12;
/// Largest answer of the store that is read, in bytes. A page has about one megabyte, which base64
/// enlarges.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Client for calls to a key-value store.
#[derive(Debug)]
pub(super) struct StoreClient {
    store: SocketAddr,
    connections: ConnectionPool,
}

/// Answer of the store to one call.
#[derive(Debug)]
pub(super) struct StoreAnswer {
    /// Era of the store at the answer.
    pub(super) era: u64,
    /// Path and query of the call.
    path: String,
    /// Time from the start of the call to its answer.
    time: Duration,
    body: Bytes,
}

impl StoreClient {
    /// Creates a client of the store at the address `store`.
    pub(super) fn new(store: SocketAddr) -> Self {
        Self { store, connections: ConnectionPool::default() }
    }

    /// Address of the store.
    pub(super) fn address(&self) -> SocketAddr {
        self.store
    }

    /// Reads `path`, which the store answers at once.
    ///
    /// A call without an answer is tried again over a new connection, while the tries before it go
    /// on. The first answer to any of them counts, so that a slow store is read as soon as it
    /// answers, and a connection that has gone silent costs one try. `on_delay` is called each time
    /// that a try gets no answer in time.
    ///
    /// # Errors
    ///
    /// Returns the last fault if every try has failed.
    pub(super) async fn get(
        &self,
        path: &str,
        on_delay: &impl Fn(&StoreFault),
    ) -> Result<StoreAnswer, StoreFault> {
        let start = Instant::now();
        let mut tries = FuturesUnordered::new();
        let mut last_fault = late_fault(path, start);
        for try_count in 0..MAX_TRIES {
            if try_count > 0 {
                self.connections.close_idle(self.store);
                on_delay(&last_fault);
            }
            tries.push(self.call(path, try_count > 0));
            let next_try = tokio::time::sleep(time_to_next_try(try_count));
            tokio::pin!(next_try);
            last_fault = late_fault(path, start);
            loop {
                let ended = tokio::select! {
                    Some(ended) = tries.next() => ended,
                    () = &mut next_try => break,
                };
                match ended {
                    // The other tries may still be answered.
                    Err(fault) if fault.cause.is_transient() && !tries.is_empty() => {
                        last_fault = fault;
                    }
                    ended => return ended,
                }
            }
        }
        Err(last_fault)
    }

    /// Reads `path`, which the store may hold for `hold_time` before it answers.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(super) async fn watch(
        &self,
        path: &str,
        hold_time: Duration,
    ) -> Result<StoreAnswer, StoreFault> {
        let start = Instant::now();
        let call = self.call(path, false);
        tokio::time::timeout(hold_time + ANSWER_TIME, call).await.unwrap_or_else(|_| {
            self.connections.close_idle(self.store);
            Err(late_fault(path, start))
        })
    }

    /// Sends one call, over a new connection if it `needs_new` one, and waits for its answer.
    async fn call(&self, path: &str, needs_new: bool) -> Result<StoreAnswer, StoreFault> {
        let start = Instant::now();
        let fault = |cause| StoreFault { path: path.to_owned(), time: start.elapsed(), cause };
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().map_err(|error| fault(FaultCause::InvalidPath(error)))?;
        if let Ok(host) = HeaderValue::from_str(&self.store.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let answer = async {
            let connection = self.connections.connect(self.store, needs_new).await?;
            self.connections.exchange(connection, request, MAX_ANSWER_BYTES).await
        };
        let answer = answer.await.map_err(|cause| fault(FaultCause::Unanswered(cause)))?;
        match answer.status() {
            StatusCode::OK => Ok(StoreAnswer {
                era: read_restore_count(answer.headers()),
                path: path.to_owned(),
                time: start.elapsed(),
                body: answer.into_body(),
            }),
            StatusCode::GONE => Err(fault(FaultCause::HistoryCompacted)),
            status => Err(fault(FaultCause::UnexpectedStatus(status))),
        }
    }
}

impl StoreAnswer {
    /// Parses the body with `parse`.
    pub(super) fn parse<T>(
        &self,
        parse: impl FnOnce(&[u8]) -> Result<T, StoreError>,
    ) -> Result<T, StoreFault> {
        parse(&self.body).map_err(|error| self.fault(FaultCause::Unparsable(error)))
    }

    /// Fault of the call that this answer belongs to.
    pub(super) fn fault(&self, cause: FaultCause) -> StoreFault {
        StoreFault { path: self.path.clone(), time: self.time, cause }
    }
}

/// Time from the start of a try, the first of which has the number 0, until the next one starts.
fn time_to_next_try(try_number: u32) -> Duration {
    match try_number {
        0 => ANSWER_TIME,
        _ => ANSWER_TIME + (TRY_BACKOFF.0 * 2_u32.pow(try_number)).min(TRY_BACKOFF.1),
    }
}

/// Fault of a call to `path` that began at `start` and has no answer yet.
fn late_fault(path: &str, start: Instant) -> StoreFault {
    StoreFault { path: path.to_owned(), time: start.elapsed(), cause: FaultCause::Late }
}
