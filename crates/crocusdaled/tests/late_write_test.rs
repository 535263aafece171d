//! A process that is held up between the choice of an upstream and the write.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use crocusdaled::upstream::ConnectionPool;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;

/// An upstream is chosen, and the process is held up while it connects. The upstream may have left
/// meanwhile: nothing may be written, and "not run" is true of the request.
#[tokio::test]
async fn nothing_is_written_long_after_the_choice() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let heard = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&heard);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = [0; 64];
        let read = stream.read(&mut bytes).await.unwrap_or_default();
        count.fetch_add(read, Ordering::SeqCst);
    });
    let request = Request::new(Full::new(Bytes::from_static(b"pieces")));
    let pool = ConnectionPool::default();
    let patience = Duration::from_secs(2);
    let connection = pool.connect(address, true).await.expect("a connection");
    let answer = pool.call_on(connection, request, 1_000, patience, || false).await;
    assert!(!answer.expect_err("not sent").may_be_written, "the refusal is true");
    drop(pool);
    server.await.expect("the upstream saw the connection close");
    assert_eq!(heard.load(Ordering::SeqCst), 0, "no byte came");
}
