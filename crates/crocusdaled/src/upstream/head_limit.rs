use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are received from the start of a request until the head of its answer,
/// interim answers included. The HTTP client limits a head only, not the interim answers before it.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// Number of bytes that may still be received on a connection before its next answer.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit {
    bytes_left: Arc<AtomicUsize>,
}

/// Connection on which the bytes before the head of an answer are limited.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimit {
    /// Sets the limit for the answer to a request that is about to be sent.
    pub(super) fn expect_head(&self) {
        self.bytes_left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit, as the head has arrived.
    pub(super) fn lift(&self) {
        self.bytes_left.store(usize::MAX, Ordering::Relaxed);
    }
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream) -> (Self, HeadLimit) {
        let limit = HeadLimit { bytes_left: Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)) };
        (Self { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes_left = self.limit.bytes_left.load(Ordering::Relaxed);
        if bytes_left == 0 {
            let cause = format!("no head of an answer within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - filled_before;
        // The limit may have been lifted meanwhile, in which case it must stay so.
        let _ = self.limit.bytes_left.compare_exchange(
            bytes_left,
            match bytes_left {
                usize::MAX => usize::MAX,
                _ => bytes_left.saturating_sub(received),
            },
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
