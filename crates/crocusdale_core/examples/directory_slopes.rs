//! Measures the time that published upstreams cost a daemon, by their number. Usage:
//! `directory_slopes`.
//!
//! Prints the times to accept a list in which one upstream has changed, to build a router for it,
//! and to choose an upstream for one request. Each time is the median of several rounds.

use std::time::{Duration, Instant};

use crocusdale_core::configuration::{
    Declarations, DeclarationsBuilder, EngineRules, PoolKind, StageRules,
};
use crocusdale_core::identity::{CallId, MonotonicTime, RequestDigest};
use crocusdale_core::routing::{DirectoryEntry, SlotRequest, UpstreamDirectory, UpstreamRouter};
use crocusdale_core::streams::AllowedVersion;

/// Number of runs of which the median is printed.
const ROUNDS: usize = 21;
const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn main() {
    println!("{:>9} {:>12} {:>12} {:>12}", "upstreams", "list ms", "router ms", "choice us");
    for upstreams in [100, 300, 1_000, 3_000] {
        let mut directory = UpstreamDirectory::default();
        directory.replace(1, list(upstreams, 1), None);
        let declarations = declarations();
        let mut router = UpstreamRouter::new("z0", 1).reconfigured(&declarations, &directory, NOW);
        let mut revision = 1;
        let list_time = median(|| {
            revision += 10;
            let list = list(upstreams, revision);
            let start = Instant::now();
            directory.replace(revision, list, None);
            start.elapsed()
        });
        let router_time = median(|| {
            let start = Instant::now();
            router = router.reconfigured(&declarations, &directory, NOW);
            start.elapsed()
        });
        let mut number = 0;
        let choice_time = median(|| {
            number += 1;
            let start = Instant::now();
            router.acquire(request(number), NOW).expect("a usable upstream");
            start.elapsed()
        });
        println!(
            "{upstreams:>9} {:>12.3} {:>12.3} {:>12.2}",
            millis(list_time),
            millis(router_time),
            millis(choice_time) * 1e3
        );
    }
}

fn declarations() -> Declarations {
    let rules = EngineRules { slots: 128, token_memory: 500_000 };
    DeclarationsBuilder::new("test", Duration::from_secs(1))
        .stage("reader", StageRules::published(PoolKind::Engine(rules), None))
        .stage("notify", StageRules::published(PoolKind::Plain, None))
        .build()
}

fn list(upstreams: usize, revision: u64) -> Vec<(u64, DirectoryEntry)> {
    let entry = |number: usize| DirectoryEntry {
        id: format!("i-{number:010x}"),
        started_at_ms: Some(1_700_000_000_000 + number as u64),
        pool: if number.is_multiple_of(4) { "notify" } else { "reader" }.to_owned(),
        address: "10.1.2.3:8080".parse().expect("an address"),
        zone: format!("z{}", number % 5),
        slots: 128,
        leaving: number as u64 == revision % upstreams as u64,
        software_version: None,
    };
    (0..upstreams).map(|number| (revision, entry(number))).collect()
}

fn request(number: u64) -> SlotRequest {
    SlotRequest {
        call: CallId(number),
        branch: 0,
        stage: "notify".to_owned(),
        level: 0,
        deadline: NOW + Duration::from_secs(6),
        failed_upstreams: Vec::new(),
        demand: None,
        digest: RequestDigest::of(&[b"request"]),
        allowed_regions: Default::default(),
        allowed_version: AllowedVersion::Any,
    }
}

fn median(mut measure: impl FnMut() -> Duration) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS).map(|_| measure()).collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
