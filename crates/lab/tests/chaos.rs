//! Pairs of faults, each in its turn, checked by history.

use lab::chaos;

/// Every ordered pair of faults comes up twice.
const SEEDS: u64 = 2 * (chaos::FAULTS.len() * (chaos::FAULTS.len() - 1)) as u64;
const THREADS: u64 = 4;

#[test]
fn pairs_of_faults_break_no_promise() {
    let run = |thread: u64| {
        let seeds = (thread..SEEDS).step_by(THREADS as usize);
        seeds.map(chaos::run).filter(|r| !r.violations.is_empty()).collect::<Vec<_>>()
    };
    let broken: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || run(t))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no seed panics")).collect()
    });
    let text: Vec<String> = broken.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{}", text.join("\n"));
}

#[test]
fn a_seed_repeats_exactly() {
    for seed in [3, 40, 150] {
        assert_eq!(chaos::run(seed).to_string(), chaos::run(seed).to_string());
    }
}

#[test]
fn faults_leave_most_searches_answered() {
    let reports: Vec<_> = (0..34).map(chaos::run).collect();
    let complete: usize = reports.iter().map(|r| r.search_outcomes[0]).sum();
    let ran: usize = reports.iter().map(|r| r.upstream_runs).sum();
    assert!(complete > 0 && ran > complete, "the runs did nothing");
}
