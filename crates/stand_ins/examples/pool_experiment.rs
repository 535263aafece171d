//! Compares who forms the calls of batched pools: `pool_experiment [--seed N] [--plot FILE]`.
//!
//! The dispatcher is the real one, in virtual time; a run repeats exactly from its seed. Prints a
//! table of all variants, and writes the share of requests in time by the second as an SVG plot.

use std::fmt::Write as _;
use std::path::PathBuf;

use anyhow::{Context as _, Result, ensure};
use stand_ins::{CallForming, ModelReport, PoolModel};
use strum::VariantArray as _;

/// Size of the plot.
const PLOT: (f64, f64) = (720.0, 240.0);
/// Space around the plot's axes.
const MARGIN: f64 = 36.0;
/// Colours of the variants.
const COLOURS: [&str; 2] = ["#b04a3a", "#2f6f9f"];

fn main() -> Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let plot: Option<PathBuf> = arguments.opt_value_from_str("--plot")?;
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "unknown arguments {rest:?}");
    println!(
        "| load | daemons | who forms calls | chain | single | spare | pieces a call | refused calls |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut drawn = Vec::new();
    for (load, model) in [
        ("calm", PoolModel::small(6)),
        ("calm", PoolModel::small(60)),
        ("bursts of 1.6 and 2.2", PoolModel::small(6).burst(4.0, 8.0, 1.6).burst(12.0, 15.0, 2.2)),
    ] {
        for forming in CallForming::VARIANTS {
            let report = model.run(*forming, seed);
            print_row(load, model.daemons, *forming, &report);
            if !model.bursts.is_empty() {
                drawn.push((*forming, report));
            }
        }
    }
    if let Some(path) = plot {
        std::fs::write(&path, svg(&drawn)?).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

fn print_row(load: &str, daemons: usize, forming: CallForming, report: &ModelReport) {
    let full = report.pieces as f64 / report.calls.max(1) as f64;
    let share = |kind| report.share(kind);
    println!(
        "| {load} | {daemons} | {forming} | {:.2} | {:.2} | {:.2} | {full:.1} | {} |",
        share("chain"),
        share("single"),
        share("spare"),
        report.refused,
    );
}

fn svg(drawn: &[(CallForming, ModelReport)]) -> Result<String> {
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
    for (index, (forming, report)) in drawn.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let step = (width - MARGIN) / report.seconds.len().max(1) as f64;
        let points = report.seconds.iter().enumerate().map(|(second, (all, good))| {
            let share = f64::from(*good) / f64::from((*all).max(1));
            let x = MARGIN + step * second as f64;
            format!("{x:.0},{:.0}", height - MARGIN - share * (height - 2.0 * MARGIN))
        });
        let points: Vec<String> = points.collect();
        let points = points.join(" ");
        writeln!(
            text,
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>"
        )?;
        let (x, y) = (MARGIN + 150.0 * index as f64, height - 10.0);
        writeln!(
            text,
            "<text x=\"{x}\" y=\"{y}\" font-size=\"12\" fill=\"{colour}\">{forming}</text>"
        )?;
    }
    writeln!(text, "</svg>")?;
    Ok(text)
}
