//! Upstreams that are silent for a second or so and go on.

use std::time::Duration;

use anyhow::Result;
use crocusdaled::upstream::limit_silence;
use platform_stand_ins::{
    IngressCaller, IngressRequest, PublishedFleet, WorkerFault, WorkerStandIn,
};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Silence of a sound upstream that its connections must survive.
const SOUND_SILENCE: Duration = Duration::from_millis(1_500);
/// Silence by which a connection must be lost, so that callers are served again 3 s after a cut.
const LOST_SILENCE: Duration = Duration::from_millis(3_000);

/// Guards against connections that are given up too soon: with `TCP_USER_TIMEOUT` set, the first
/// keepalive probe that is due after that time gives up, whatever the number of probes, and the time
/// counts from the last segment before the silence.
#[tokio::test]
async fn connections_survive_the_silence_of_a_sound_upstream() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = TcpStream::connect(listener.local_addr()?).await?;
    limit_silence(&stream)?;
    let socket = SockRef::from(&stream);
    let idle = socket.tcp_keepalive_time()?;
    let interval = socket.tcp_keepalive_interval()?;
    let user_timeout = socket.tcp_user_timeout()?.expect("a timeout is set");
    assert!(socket.keepalive()?);
    let mut given_up = idle;
    let mut probes = 0;
    while probes == 0 || given_up < user_timeout {
        (given_up, probes) = (given_up + interval, probes + 1);
    }
    // The last segment may have come up to the idle time before the silence.
    assert!(given_up - idle >= SOUND_SILENCE, "an idle connection survives {:?}", given_up - idle);
    assert!(user_timeout >= SOUND_SILENCE, "sent bytes may stay unacknowledged {user_timeout:?}");
    assert!(given_up <= LOST_SILENCE, "a lost connection is noticed after {given_up:?}");
    Ok(())
}

/// Guards against a request that is given up, repeated or answered with a failure while its upstream
/// is silent for a second and goes on.
#[tokio::test]
async fn request_outlasts_a_silent_second_of_its_upstream() -> Result<()> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let fleet = PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), 1).await?;
    for worker in &fleet.plain_workers {
        worker.set_fault(WorkerFault::Pause(SOUND_SILENCE));
    }
    for path in ["/ask/7", "/shred/7"] {
        let request = IngressRequest::new(path, &path[1..4]);
        let answer = IngressCaller::once(fleet.daemons[0].caller, &request).await?;
        assert_eq!((answer.status, answer.is_complete), (200, true), "{path}");
    }
    let runs = fleet.plain_workers.iter().flat_map(WorkerStandIn::executed_requests).count();
    assert_eq!(runs, 2, "each request ran once");
    Ok(())
}
