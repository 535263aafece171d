use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use crocusdale_core::memory::{ConnectionPhase, HoldClass};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::memory::{CallerConnection, CallerMemory, HeldBytes};

/// Size of a request head, in bytes, that every connection has memory for.
const USUAL_HEAD_BYTES: usize = 8 << 10;
/// Number of buffers with a request head: that of the request that is served, and of the next one.
const HEAD_BUFFERS: usize = 2;

/// Stream of a caller's connection that records the progress of the connection, and holds memory for
/// large request heads.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    heads: Option<HeadMemory>,
}

/// Memory for the heads of one connection.
#[derive(Debug)]
pub(super) struct HeadMemory {
    memory: Arc<CallerMemory>,
    max_head_bytes: usize,
    /// Bytes of the current head that have arrived.
    arrived: usize,
    held: Option<HeldBytes>,
}

impl MeteredStream {
    pub(super) fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
        heads: Option<HeadMemory>,
    ) -> Self {
        Self { stream, connection, heads }
    }
}

impl HeadMemory {
    pub(super) fn new(memory: Arc<CallerMemory>, max_head_bytes: usize) -> Self {
        Self { memory, max_head_bytes, arrived: 0, held: None }
    }

    /// Records `bytes` that arrived in `phase`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for the head.
    fn record(
        &mut self,
        bytes: usize,
        phase: ConnectionPhase,
        connection: &Arc<CallerConnection>,
    ) -> Result<()> {
        match phase {
            // The first bytes fit into the read buffer that the connection has in any case.
            ConnectionPhase::Idle => {
                self.arrived = bytes;
                self.held = None;
                return Ok(());
            }
            ConnectionPhase::Head => self.arrived += bytes,
            ConnectionPhase::Body | ConnectionPhase::Serving | ConnectionPhase::Discarding => {
                return Ok(());
            }
        }
        if self.arrived > USUAL_HEAD_BYTES && self.held.is_none() {
            let surplus = self.max_head_bytes.saturating_sub(USUAL_HEAD_BYTES) * HEAD_BUFFERS;
            let held = self.memory.hold(surplus, HoldClass::Medium, Some(connection));
            self.held = Some(held.map_err(|_| Error::other("no room for the request head"))?);
        }
        Ok(())
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - filled;
        if bytes > 0 {
            let this = &mut *self;
            let phase = this.connection.record_received(bytes);
            if let Some(heads) = &mut this.heads {
                heads.record(bytes, phase, &this.connection)?;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.connection.record_sent(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.connection.record_sent(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
