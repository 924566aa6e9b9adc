//! Runs seeded pairs of faults and checks the recorded histories against the guarantees.
//!
//! `cargo run --release --example chaos -- --seeds 2000` runs seeds 0 to 1999;
//! `-- --seed N` repeats one. Exits with 1 if a guarantee was violated or a seed gave no report.

use std::{
    process::ExitCode,
    sync::atomic::{AtomicU64, Ordering},
};

use lab::chaos::{self, Report};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize| arguments.get(i).and_then(|a| a.parse::<u64>().ok());
    match (arguments.first().map(String::as_str), number(1)) {
        (Some("--seed"), Some(seed)) => run_seed(seed),
        (Some("--seeds"), Some(count)) => run_seeds(count),
        _ => {
            eprintln!("usage: chaos --seeds COUNT | --seed N");
            ExitCode::FAILURE
        }
    }
}

fn run_seed(seed: u64) -> ExitCode {
    let report = chaos::run(seed);
    println!("{report}");
    ExitCode::from(u8::from(!report.violations.is_empty()))
}

fn run_seeds(count: u64) -> ExitCode {
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let reports: Vec<Report> = std::thread::scope(|scope| {
        let worker = || {
            let seeds = std::iter::from_fn(|| Some(next.fetch_add(1, Ordering::Relaxed)));
            seeds.take_while(|s| *s < count).map(chaos::run).collect::<Vec<_>>()
        };
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().flat_map(|w| w.join().unwrap_or_default()).collect()
    });
    let mut failing: Vec<&Report> = reports.iter().filter(|r| !r.violations.is_empty()).collect();
    failing.sort_by_key(|r| r.seed);
    failing.iter().for_each(|r| println!("{r}"));
    let sum = |of: fn(&Report) -> usize| reports.iter().map(of).sum::<usize>();
    println!(
        "seeds {}, searches answered {}, of them complete {} partial {} not run {} unknown {}",
        reports.len(),
        sum(|r| r.search_outcomes.iter().sum()),
        sum(|r| r.search_outcomes[0]),
        sum(|r| r.search_outcomes[1]),
        sum(|r| r.search_outcomes[2]),
        sum(|r| r.search_outcomes[3]),
    );
    println!(
        "non-idempotent sends answered {}, of them complete {} not run {} unknown {}",
        sum(|r| r.run_outcomes.iter().sum()),
        sum(|r| r.run_outcomes[0]),
        sum(|r| r.run_outcomes[2]),
        sum(|r| r.run_outcomes[3]),
    );
    println!(
        "runs at upstreams {}, violations {}",
        sum(|r| r.upstream_runs),
        sum(|r| r.violations.len())
    );
    let without_report = count as usize - reports.len();
    println!("seeds without a report {without_report}");
    ExitCode::from(u8::from(!failing.is_empty() || without_report > 0))
}
