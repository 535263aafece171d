//! Callers send what they must not; each gets a typed refusal, and nobody else is disturbed.

mod common;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::Result;
use common::{Upstreams, deployment, fleet};
use crocusdale_core::pipeline::{OutcomeKind, RefusalReason};
use stand_ins::{CallerClient, DeclarationText, RequestBuilder};

/// Time within which a slow or endless caller must be let go.
const LET_GO: Duration = Duration::from_secs(20);

/// Connections that a daemon may have in the test of that limit.
const PLACES: usize = 64;

async fn reason_for(address: SocketAddr, body: String) -> Result<(u16, Option<RefusalReason>)> {
    let answer = CallerClient::new().post(address, body).await?;
    assert_eq!(answer.kind(), OutcomeKind::Refused, "{answer:?}");
    Ok((answer.status, answer.reason()))
}

// Malformed, oversized and impossible requests each get their own refusal.
#[tokio::test]
async fn wrong_requests_get_typed_refusals() -> Result<()> {
    let (upstreams, fleet) = deployment(1).await?;
    let address = fleet.daemons[0].caller;
    let right = RequestBuilder::new("k", "read");
    let body = right.build();
    let huge = body.replace("\"about\":\"k\"", &format!("\"about\":\"{}\"", "x".repeat(2 << 20)));
    let cases = [
        ("{".to_owned(), 400, RefusalReason::Malformed),
        (body.replace("\"key\":\"k\"", "\"key\":\"\""), 400, RefusalReason::Malformed),
        (body.replace("payload", "paylood"), 400, RefusalReason::Malformed),
        (huge, 413, RefusalReason::TooLarge),
        (right.clone().workspace("nobody").build(), 404, RefusalReason::UnknownWorkspace),
        (body.replace("\"read\"", "\"a b\""), 400, RefusalReason::BadLabels),
        (right.clone().deadline_ms(0).build(), 400, RefusalReason::BadDeadline),
        (right.clone().deadline_ms(99_000).build(), 400, RefusalReason::BadDeadline),
        (body.replace("\"read\"", "\"dance\""), 400, RefusalReason::NoPipeline),
    ];
    for (body, status, reason) in cases {
        let shown: String = body.chars().take(120).collect();
        assert_eq!(reason_for(address, body).await?, (status, Some(reason)), "{shown}");
    }
    let calls: u64 = upstreams.encode.iter().map(stand_ins::UpstreamStandIn::calls).sum();
    assert_eq!(calls, 0, "a refused request was given to an upstream");
    Ok(())
}

// A caller sends the head of a request and then its body drop by drop, another never finishes its
// head, a third sends a head without end. All are let go, and other callers are served meanwhile.
#[tokio::test]
async fn slow_and_endless_callers_are_let_go() -> Result<()> {
    let (_upstreams, fleet) = deployment(1).await?;
    let address = fleet.daemons[0].caller;
    let slow_body = tokio::task::spawn_blocking(move || {
        let head = "POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{";
        until_closed(address, head.as_bytes(), false)
    });
    let slow_head =
        tokio::task::spawn_blocking(move || until_closed(address, b"POST /v1/requests HT", false));
    let endless_head = tokio::task::spawn_blocking(move || {
        until_closed(address, b"POST /v1/requests HTTP/1.1\r\nx: ", true)
    });
    let answer = CallerClient::new().submit(address, &RequestBuilder::new("k", "read")).await?;
    assert_eq!(answer.kind(), OutcomeKind::Answered);
    assert!(slow_body.await??.contains("too_slow"));
    slow_head.await??;
    let refused = endless_head.await??;
    assert!(refused.is_empty() || refused.contains("431"), "{refused}");
    Ok(())
}

// A user uploads a scan that is too large. The daemon says so while the upload still goes on, and the
// user must read that answer: a daemon that closes with bytes unread resets the connection, the
// upload breaks with a broken pipe, and the answer is lost on its way.
#[tokio::test]
async fn refusal_of_a_large_body_reaches_a_caller_that_still_writes() -> Result<()> {
    let (_upstreams, fleet) = deployment(1).await?;
    let address = fleet.daemons[0].caller;
    tokio::task::spawn_blocking(move || {
        for round in 0..20 {
            let answer = answer_amid_upload(address)?;
            assert!(answer.starts_with("HTTP/1.1 413"), "round {round}: {answer}");
        }
        Ok(())
    })
    .await?
}

/// Sends a body above the limit, waits for the first bytes of the answer, sends the rest, and then
/// reads the answer.
fn answer_amid_upload(address: SocketAddr) -> Result<String> {
    let head =
        format!("POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n", 4 << 20);
    let piece = vec![b'x'; 1 << 20];
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(LET_GO))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(&piece)?;
    stream.write_all(&piece)?;
    stream.peek(&mut [0])?;
    stream.write_all(&piece)?;
    stream.write_all(&piece)?;
    let mut answer = [0; 1_024];
    let count = stream.read(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer[..count]).into_owned())
}

/// Sends `start`, and then without end if `endless`, until the other end answers or closes.
fn until_closed(address: SocketAddr, start: &[u8], endless: bool) -> Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(LET_GO))?;
    stream.write_all(start)?;
    let begun = Instant::now();
    while endless && begun.elapsed() < LET_GO {
        if stream.write_all(&[b'x'; 4_096]).is_err() {
            break;
        }
    }
    let mut text = Vec::new();
    let mut piece = [0; 1_024];
    loop {
        match stream.read(&mut piece) {
            Ok(0) => break,
            Ok(count) => text.extend_from_slice(&piece[..count]),
            Err(fault) if fault.kind() == std::io::ErrorKind::WouldBlock => anyhow::bail!("kept"),
            Err(_) => break,
        }
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

// More callers connect than the daemon has places. Those beyond wait in the backlog instead of
// taking memory, and are served when others leave.
#[tokio::test]
async fn connections_beyond_the_limit_wait() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let fleet = fleet(1).connections(PLACES).configuration(text).start().await?;
    let address = fleet.daemons[0].caller;
    let idle: Vec<TcpStream> =
        (0..PLACES).map(|_| TcpStream::connect(address)).collect::<Result<_, _>>()?;
    let late = tokio::spawn(async move {
        CallerClient::new().submit(address, &RequestBuilder::new("late", "read")).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!late.is_finished(), "there was a place beyond the limit");
    drop(idle);
    assert_eq!(late.await??.kind(), OutcomeKind::Answered);
    Ok(())
}
