//! Measures the time of single decisions. Usage: `decision_slopes`.
//!
//! Prints the time to check declarations, by their size; the time of a whole request with five
//! stages in the core, all its events and commands included, by the numbers of workers and
//! workspaces; and the time of one line of a stream. Each time is the median of several rounds.

use std::time::{Duration, Instant};

use crocusdale_core::DaemonCoreBuilder;
use crocusdale_core::configuration::{Declarations, LabelSet};
use crocusdale_core::daemon::{Command, DaemonEvent};
use crocusdale_core::identity::{InstanceId, MonotonicTime, RequestKey};
use crocusdale_core::membership::VmList;
use crocusdale_core::pipeline::{
    AttemptEvent, CallerRequest, OutcomeKind, RequestContent, StreamAssembler, StreamLine,
};
use serde_json::value::RawValue;

/// Number of runs of which the median is printed.
const ROUNDS: usize = 9;
/// Number of requests in one run.
const REQUESTS: u64 = 2_000;

fn main() {
    println!("{:>8} {:>10} {:>12}", "workers", "text KB", "check ms");
    for workers in [60, 600, 2_000, 6_000] {
        let text = declarations(workers, 350);
        let time = median(|| {
            let start = Instant::now();
            Declarations::check("large", &text).expect("valid declarations");
            start.elapsed()
        });
        println!("{workers:>8} {:>10.0} {:>12.2}", text.len() as f64 / 1024.0, millis(time));
    }
    println!("\n{:>8} {:>10} {:>12} {:>12}", "workers", "workspaces", "request us", "decision us");
    for (workers, workspaces) in [(60, 35), (200, 100), (600, 350), (2_000, 1_000)] {
        let time = median(|| request_time(workers, workspaces));
        // A request has 11 decisions: its admission, five choices of an upstream and five answers.
        let decision = time / 11;
        println!("{workers:>8} {workspaces:>10} {:>12.2} {:>12.2}", micros(time), micros(decision));
    }
    let time = median(line_time);
    println!("\none line of a stream: {:.3} us", micros(time));
}

fn request_time(workers: usize, workspaces: usize) -> Duration {
    let now = MonotonicTime::from_millis(1);
    let own = InstanceId::new("entry", 1);
    let core = DaemonCoreBuilder::new(own, "z0").requests(100_000).seed(1).build(now);
    let mut commands = Vec::new();
    let text = declarations(workers, workspaces);
    core.handle(DaemonEvent::ConfigurationWatched(Some((1, text))), now, &mut commands);
    let vm_list = VmList { revision: 1, vms: Vec::new() };
    core.handle(DaemonEvent::VmListRead(Some(vm_list)), now, &mut commands);
    assert!(core.is_ready());
    let requests: Vec<CallerRequest> =
        (0..REQUESTS).map(|index| request(index, workspaces)).collect();
    let start = Instant::now();
    for request in requests {
        let call = core.open_call(&request.key);
        commands.clear();
        let event = DaemonEvent::Submitted { call, request: Box::new(request) };
        core.handle(event, now, &mut commands);
        answer_all(&core, now, &mut commands);
    }
    start.elapsed() / u32::try_from(REQUESTS).expect("a small number")
}

/// Answers every attempt until the request has its final answer.
fn answer_all(core: &crocusdale_core::DaemonCore, now: MonotonicTime, commands: &mut Vec<Command>) {
    let mut answered = false;
    while !answered {
        for command in std::mem::take(commands) {
            match command {
                Command::Send(order) => {
                    let answer = RawValue::from_string("\"done\"".into()).expect("JSON");
                    let attempt = order.attempt;
                    let event = AttemptEvent::Answered { echo: Some(attempt), answer };
                    core.handle(DaemonEvent::Attempt { attempt, event }, now, commands);
                }
                Command::Reply { answer, .. } => {
                    assert_eq!(answer.kind, OutcomeKind::Answered);
                    answered = true;
                }
                _ => {}
            }
        }
    }
}

fn line_time() -> Duration {
    const LINES: u64 = 20_000;
    let attempt = crocusdale_core::identity::AttemptId {
        incarnation: 1,
        call: crocusdale_core::identity::CallId(1),
        sequence: 1,
    };
    let lines: Vec<StreamLine> = (0..LINES)
        .map(|index| StreamLine {
            attempt: attempt.to_string(),
            index,
            text: " word".into(),
            end: false,
        })
        .collect();
    let mut assembler = StreamAssembler::new(attempt);
    let start = Instant::now();
    for line in &lines {
        assembler.take(line).expect("lines in order");
    }
    start.elapsed() / u32::try_from(LINES).expect("a small number")
}

fn request(index: u64, workspaces: usize) -> CallerRequest {
    let workspace = index as usize % workspaces;
    CallerRequest {
        key: RequestKey::new(format!("customer-{workspace}"), format!("k-{index}")),
        labels: LabelSet::parse(&format!("job=j{}", index % 19)).expect("labels"),
        deadline: Duration::from_secs(4),
        repeatable: true,
        stream: false,
        age: Duration::ZERO,
        ticket: None,
        content: RequestContent::Json(RawValue::from_string("{}".into()).expect("JSON")),
    }
}

fn declarations(workers: usize, workspaces: usize) -> String {
    let mut text = String::from("[deployment]\nname = large\nkey_life_ms = 20000\n");
    for index in 0..workers {
        let (low, high) = (index % 250 + 1, index / 250 + 1);
        text += &format!(
            "[upstream worker-{index}]\nvm = vm-worker-{index}\nzone = z{}\nkind = model_engine\n\
             address = 127.1.{high}.{low}:8000\nlabels = stage=s{}, model=m{}\n",
            index % 8,
            index % 6,
            index % 6,
        );
    }
    for index in 0..workspaces {
        text += &format!("[workspace customer-{index}]\nlabels = tier=large\nconcurrency = 64\n");
    }
    for stage in 0..6 {
        text += &format!("[stage s{stage}]\npool = stage = s{stage}\n");
    }
    for index in 0..19 {
        text +=
            &format!("[pipeline p{index}]\nwhen = job = j{index}\nstages = s0, s1 | s2, s3, s4\n");
    }
    text
}

fn median(run: impl Fn() -> Duration) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS).map(|_| run()).collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
