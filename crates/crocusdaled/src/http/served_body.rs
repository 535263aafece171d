use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use volo_http::body::Body;
use volo_http::error::BoxError;

use crate::memory::CallerConnection;

/// Body of an answer. The request counts as served until the body is dropped, which is at its end or
/// with the connection.
#[derive(Debug)]
pub(super) struct ServedBody {
    body: Body,
    connection: Arc<CallerConnection>,
}

impl ServedBody {
    pub(super) fn new(body: Body, connection: Arc<CallerConnection>) -> Self {
        Self { body, connection }
    }
}

impl http_body::Body for ServedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}
