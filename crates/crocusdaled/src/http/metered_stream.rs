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

/// Number of received bytes that the operating system may keep of a connection with large bodies
/// until they are read.
const LARGE_RECEIVE_BYTES: usize = 128 << 10;

/// Stream of a caller's connection that records the progress of the connection, and holds memory for
/// large request heads and receive buffers.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    memory: Option<StreamMemory>,
}

/// Memory that a connection takes beyond the usual.
#[derive(Debug)]
pub(super) struct StreamMemory {
    memory: Arc<CallerMemory>,
    max_head_bytes: usize,
    /// Bytes of the current head that have arrived.
    head_bytes: usize,
    /// Held for a large head, until the next head begins.
    head: Option<HeldBytes>,
    /// Held for a large receive buffer, until the connection ends.
    receive_buffer: Option<HeldBytes>,
}

impl MeteredStream {
    pub(super) fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
        memory: Option<StreamMemory>,
    ) -> Self {
        Self { stream, connection, memory }
    }
}

impl StreamMemory {
    pub(super) fn new(memory: Arc<CallerMemory>, max_head_bytes: usize) -> Self {
        Self { memory, max_head_bytes, head_bytes: 0, head: None, receive_buffer: None }
    }

    /// Gives `stream` a large receive buffer if there is room for one.
    fn enlarge_receive_buffer(&mut self, stream: &TcpStream, connection: &Arc<CallerConnection>) {
        let held = self.memory.hold(LARGE_RECEIVE_BYTES, HoldClass::Large, Some(connection));
        self.receive_buffer = held.ok();
        if self.receive_buffer.is_some() {
            // The usual size makes large bodies slower, and nothing else.
            let _ = socket2::SockRef::from(stream).set_recv_buffer_size(LARGE_RECEIVE_BYTES);
        }
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
                self.head_bytes = bytes;
                self.head = None;
                return Ok(());
            }
            ConnectionPhase::Head => self.head_bytes += bytes,
            ConnectionPhase::Body | ConnectionPhase::Serving | ConnectionPhase::Discarding => {
                return Ok(());
            }
        }
        if self.head_bytes > USUAL_HEAD_BYTES && self.head.is_none() {
            let surplus = self.max_head_bytes.saturating_sub(USUAL_HEAD_BYTES) * HEAD_BUFFERS;
            let held = self.memory.hold(surplus, HoldClass::Medium, Some(connection));
            self.head = Some(held.map_err(|_| Error::other("no room for the request head"))?);
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
        let this = &mut *self;
        if let Some(memory) = &mut this.memory
            && this.connection.take_large_body()
            && memory.receive_buffer.is_none()
        {
            memory.enlarge_receive_buffer(&this.stream, &this.connection);
        }
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - filled;
        if bytes > 0 {
            let this = &mut *self;
            let phase = this.connection.record_received(bytes);
            if let Some(memory) = &mut this.memory {
                memory.record(bytes, phase, &this.connection)?;
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
