//! Compares decisions of the fleet on a load: `pool_experiment [--load FILE] [--seed N]
//! [--plot FILE]`.
//!
//! The daemons are the real ones, in virtual time; a run repeats exactly from its seed. Without a
//! file, the built-in load is played calm and under each trouble. Prints a table of all variants,
//! and draws the share of requests in time by the second of the heaviest load as an SVG plot.

use std::fmt::Write as _;
use std::path::PathBuf;

use anyhow::{Context as _, Result, ensure};
use crocusdale_core::configuration::RoutingPolicy;
use stand_ins::{CallForming, KindTally, ModelFault, ModelLoad, ModelReport};

/// Size of the plot.
const PLOT: (f64, f64) = (720.0, 240.0);
/// Space around the plot's axes.
const MARGIN: f64 = 36.0;
/// Colours of the variants.
const COLOURS: [&str; 3] = ["#b04a3a", "#c79a2e", "#2f6f9f"];
/// What is compared: who forms calls, and how engines are chosen.
const VARIANTS: [(CallForming, RoutingPolicy); 3] = [
    (CallForming::EachDaemon, RoutingPolicy::Adaptive),
    (CallForming::OneDispatcher, RoutingPolicy::Baseline),
    (CallForming::OneDispatcher, RoutingPolicy::Adaptive),
];

/// A load with its name, and whether it is drawn.
struct NamedLoad {
    name: &'static str,
    load: ModelLoad,
    drawn: bool,
}

fn main() -> Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let file: Option<PathBuf> = arguments.opt_value_from_str("--load")?;
    let plot: Option<PathBuf> = arguments.opt_value_from_str("--plot")?;
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "unknown arguments {rest:?}");
    let loads = match file {
        Some(path) => vec![read_file(&path)?],
        None => built_in(),
    };
    println!(
        "| load | calls by | engines | in time (median, 99th percentile in ms) | least workspace | \
         largest tenth | subjects never served | came back, served | pieces a call | parts read \
         again, 1,000 tokens | results between zones, GB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let mut drawn = Vec::new();
    for NamedLoad { name, load, drawn: is_drawn } in loads {
        for (forming, policy) in VARIANTS {
            let report = load.clone().policy(policy).run(forming, seed);
            print_row(name, (forming, policy), &report);
            if is_drawn {
                drawn.push((format!("{forming}, {policy}"), report));
            }
        }
    }
    if let Some(path) = plot {
        std::fs::write(&path, svg(&drawn)?).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

fn read_file(path: &PathBuf) -> Result<NamedLoad> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let load = ModelLoad::parse(&text).with_context(|| path.display().to_string())?;
    Ok(NamedLoad { name: "file", load, drawn: true })
}

fn built_in() -> Vec<NamedLoad> {
    let slow =
        ModelFault { from: 5.0, to: 12.0, daemons: 0, slow: Some(("rerank".to_owned(), 2, 4.0)) };
    let killed = ModelFault { from: 8.0, to: 11.0, daemons: 2, slow: None };
    let named = |name, load, drawn| NamedLoad { name, load, drawn };
    vec![
        named("calm, 6 daemons", ModelLoad::small(6), false),
        named("calm, 60 daemons", ModelLoad::small(60), false),
        named(
            "bursts of 1.6 and 2.2",
            ModelLoad::small(6).burst(4.0, 8.0, 1.6).burst(12.0, 15.0, 2.2),
            true,
        ),
        named(
            "the fourth workspace sends 12 times as much",
            ModelLoad::small(6).flood(4.0, 12.0, 12.0, 3),
            false,
        ),
        named("two upstreams of six slow", ModelLoad::small(6).fault(slow), false),
        named("two daemons killed for 3 s", ModelLoad::small(6).fault(killed), false),
    ]
}

fn print_row(load: &str, (forming, policy): (CallForming, RoutingPolicy), report: &ModelReport) {
    let kinds = report.kinds.iter().map(|(name, tally)| {
        let (median, slowest) = report.first_ms[name];
        format!("{name} {:.3} ({median}, {slowest})", tally.share())
    });
    let kinds: Vec<String> = kinds.collect();
    let largest = report.largest.values().map(KindTally::share).fold(1.0, f64::min);
    let (worst, share) = report.worst_workspace();
    println!(
        "| {load} | {forming} | {policy} | {} | {worst}: {share:.2} | {largest:.2} | {} of {} | {} \
         of {} | {:.1} | {} | {:.1} |",
        kinds.join(", "),
        report.subjects.1,
        report.subjects.0,
        report.returned.1,
        report.returned.0,
        report.fill(),
        report.read_again / 1_000,
        report.crossed_bytes as f64 / 1e9,
    );
}

fn svg(drawn: &[(String, ModelReport)]) -> Result<String> {
    let (width, height) = PLOT;
    let mut text = String::new();
    writeln!(text, "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\">")?;
    writeln!(text, "<rect width=\"{width}\" height=\"{height}\" fill=\"white\"/>")?;
    for share in [0.0, 0.5, 1.0] {
        let y = height - MARGIN - share * (height - 2.0 * MARGIN);
        writeln!(
            text,
            "<line x1=\"{MARGIN}\" x2=\"{width}\" y1=\"{y}\" y2=\"{y}\" stroke=\"#ccc\"/>"
        )?;
        writeln!(text, "<text x=\"4\" y=\"{y}\" font-size=\"11\">{share:.1}</text>")?;
    }
    for (index, (variant, report)) in drawn.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let step = (width - MARGIN) / report.seconds.len().max(1) as f64;
        let points = report.seconds.iter().enumerate().map(|(second, tally)| {
            let x = MARGIN + step * second as f64;
            format!("{x:.0},{:.0}", height - MARGIN - tally.share() * (height - 2.0 * MARGIN))
        });
        let points: Vec<String> = points.collect();
        let points = points.join(" ");
        writeln!(
            text,
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>"
        )?;
        let (x, y) = (MARGIN + 220.0 * index as f64, height - 10.0);
        writeln!(
            text,
            "<text x=\"{x}\" y=\"{y}\" font-size=\"12\" fill=\"{colour}\">{variant}</text>"
        )?;
    }
    writeln!(text, "</svg>")?;
    Ok(text)
}
