//! Compares query policies under load and faults, on virtual time. Prints tables; the table `load`
//! also writes a plot in SVG.
//!
//! `cargo run --release --example experiment -- TABLE [QUERIES]`, where TABLE is `load`,
//! `slow`, `shapes`, `overload`, `outage` or `all`. The output is deterministic: the
//! same arguments print the same bytes.

use std::{process::ExitCode, time::Duration};

use lab::{
    bound,
    load::{self, Fault, Figures, Policy, Trial},
};
use standin::service_time::ServiceTime;

/// Queries in each trial, unless the arguments set another number.
const QUERIES: usize = 20_000;
const SEED: u64 = 1;
/// Policies that the tables `load` and `slow` compare.
const POLICIES: [Policy; 4] = [Policy::Plain, Policy::Direct, Policy::Cells, Policy::CellsNoHedge];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let queries = arguments.get(1).and_then(|q| q.parse().ok()).unwrap_or(QUERIES);
    let tables: &[Table] = &[
        ("load", by_load),
        ("slow", slow),
        ("shapes", shapes),
        ("overload", overload),
        ("outage", outage),
    ];
    let wanted = arguments.first().map_or("", String::as_str);
    let chosen: Vec<_> = tables.iter().filter(|(n, _)| wanted == "all" || wanted == *n).collect();
    for (_, table) in &chosen {
        table(queries);
    }
    if chosen.is_empty() {
        eprintln!("usage: experiment load|slow|shapes|overload|outage|all [QUERIES]");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Name of a table, and the function that runs its trials with that many queries each and prints
/// it.
type Table = (&'static str, fn(usize));

/// Runs each trial in a thread of its own, on its own virtual clock. Returns the figures in the
/// order of `trials`.
fn run_all(trials: Vec<(String, Trial)>) -> Vec<(String, Trial, Figures)> {
    std::thread::scope(|scope| {
        let run = |(name, trial): (String, Trial)| {
            scope.spawn(move || {
                let figures = load::run(&trial);
                (name, trial, figures)
            })
        };
        let running: Vec<_> = trials.into_iter().map(run).collect();
        running
            .into_iter()
            .map(|t| t.join().unwrap_or_else(|_| panic!("a trial panicked")))
            .collect()
    })
}

fn header(title: &str) {
    println!("\n{title}");
    println!(
        "{:34} {:>7} {:>8} {:>8} {:>9} {:>9} {:>7} {:>7} {:>7}",
        "", "p50 ms", "p99 ms", "p99.9 ms", "complete", "coverage", "extra", "hedges", "over"
    );
}

fn row(name: &str, figures: &Figures) {
    let c = &figures.first;
    println!(
        "{name:34} {:7.1} {:8.1} {:8.1} {:8.2}% {:8.2}% {:6.2}% {:6.2}% {:6.2}%",
        c.latency_ms(0.5),
        c.latency_ms(0.99),
        c.latency_ms(0.999),
        100.0 * c.complete as f64 / c.queries.max(1) as f64,
        100.0 * c.mean_coverage(),
        100.0 * (figures.sent_per_needed - 1.0),
        100.0 * figures.hedges,
        100.0 * figures.queued_share,
    );
}

fn by_load(queries: usize) {
    header("healthy, lognormal with 1% stalls; over: arrivals that found all slots taken");
    let mut trials = Vec::new();
    for load in [0.3, 0.6, 0.8, 0.95] {
        for policy in POLICIES {
            let name = format!("{policy:?} at {:.0}%", load * 100.0);
            trials.push((name, Trial::new(policy, load, queries, SEED)));
        }
    }
    let results = run_all(trials);
    for (name, trial, figures) in &results {
        row(name, figures);
        if trial.policy == Policy::CellsNoHedge {
            let bound = bound::run(trial.service_time, trial.load, trial.queries, trial.seed);
            let ms = |q| bound.value_at_quantile(q) as f64 / 1e3;
            let name = format!("lower bound at {:.0}%", trial.load * 100.0);
            println!("{name:34} {:7.1} {:8.1} {:8.1}", ms(0.5), ms(0.99), ms(0.999));
        }
    }
    plot(&results);
}

fn slow(queries: usize) {
    header("one replica of 75 ten times slower");
    let mut trials = Vec::new();
    for load in [0.3, 0.6, 0.8] {
        for policy in POLICIES {
            let name = format!("{policy:?} at {:.0}%", load * 100.0);
            let fault = Fault::SlowReplica;
            trials.push((name, Trial { fault, ..Trial::new(policy, load, queries, SEED) }));
        }
    }
    run_all(trials).iter().for_each(|(name, _, figures)| row(name, figures));
}

fn shapes(queries: usize) {
    header("other service times at 60%; domain stalls: one domain 10x slower, 100 ms every 2 s");
    let distributions = [
        ("no stalls", ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.0 }),
        ("Pareto 2.1", ServiceTime::Pareto { scale: 4.0, alpha: 2.1 }),
        ("fixed 8 ms", ServiceTime::Fixed(Duration::from_millis(8))),
    ];
    let mut trials = Vec::new();
    for (text, service_time) in distributions {
        for policy in [Policy::Plain, Policy::Direct, Policy::Cells] {
            let trial = Trial { service_time, ..Trial::new(policy, 0.6, queries, SEED) };
            trials.push((format!("{policy:?}, {text}"), trial));
        }
    }
    for policy in [Policy::Plain, Policy::Direct, Policy::Cells] {
        let fault = Fault::DomainStalls;
        let trial = Trial { fault, ..Trial::new(policy, 0.6, queries, SEED) };
        trials.push((format!("{policy:?}, domain stalls"), trial));
    }
    run_all(trials).iter().for_each(|(name, _, figures)| row(name, figures));
}

fn overload(queries: usize) {
    println!("\nfirst class at 20% of capacity, second class on top; deadline 300 ms");
    println!(
        "{:34} {:>12} {:>13} {:>12} {:>12} {:>12} {:>10}",
        "",
        "first p99 ms",
        "first complete",
        "second p99",
        "second comp.",
        "second n.run",
        "goodput/s"
    );
    let mut trials = Vec::new();
    for policy in [Policy::Plain, Policy::Direct, Policy::Cells] {
        for total in [0.2, 0.6, 0.8, 1.0, 1.5, 3.2] {
            let trial = Trial {
                first_class_share: 0.2 / total,
                deadline: Duration::from_millis(300),
                ..Trial::new(policy, total, (queries as f64 * total / 0.6) as usize, SEED)
            };
            trials.push((format!("{policy:?}, total {:.0}%", total * 100.0), trial));
        }
    }
    for (name, _, figures) in run_all(trials) {
        let Figures { first, second, goodput, .. } = &figures;
        let share = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        println!(
            "{name:34} {:12.1} {:13.2}% {:12.1} {:11.2}% {:11.2}% {goodput:10.1}",
            first.latency_ms(0.99),
            share(first.complete, first.queries),
            second.latency_ms(0.99),
            share(second.complete, second.queries),
            share(second.not_run, second.queries),
        );
    }
}

fn outage(queries: usize) {
    println!(
        "\nall upstreams of one group down for {:?} and back cold, at 60%",
        load::OUTAGE_DURATION
    );
    println!("{:20} sent/needed, complete, p99 ms of each tenth of the run", "");
    let trials = [Policy::Plain, Policy::Direct, Policy::Cells].map(|policy| {
        let fault = Fault::GroupOutage;
        (format!("{policy:?}"), Trial { fault, ..Trial::new(policy, 0.6, queries, SEED) })
    });
    for (name, _, figures) in run_all(trials.into()) {
        let tenths: Vec<String> =
            figures.p99_ms_by_tenth.iter().map(|ms| format!("{ms:.0}")).collect();
        let complete = 100.0 * figures.first.complete as f64 / figures.first.queries.max(1) as f64;
        println!("{name:20} {:.3} {complete:.2}% {}", figures.sent_per_needed, tenths.join(" "));
    }
}

/// Writes a plot of p99 latency against load; latencies above `MAX_MS` are drawn at `MAX_MS`.
fn plot(results: &[(String, Trial, Figures)]) {
    use plotters::prelude::*;
    const PATH: &str = "target/p99-by-load.svg";
    const MAX_MS: f64 = 400.0;
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(PATH, (720, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.25..1.0, 0.0..MAX_MS)?;
        chart.configure_mesh().x_desc("load").y_desc("p99 ms").draw()?;
        for (i, policy) in POLICIES.iter().enumerate() {
            let own = results.iter().filter(|(_, t, _)| t.policy == *policy);
            let points = own.map(|(_, t, f)| (t.load, f.first.latency_ms(0.99).min(MAX_MS)));
            let color = Palette99::pick(i).to_rgba();
            chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
        }
        area.present()?;
        Ok(())
    };
    match draw() {
        Ok(()) => println!("plot: {PATH} (in the order {POLICIES:?})"),
        Err(e) => eprintln!("plot: {e}"),
    }
}
