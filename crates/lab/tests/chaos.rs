//! Runs seeded pairs of faults and checks the recorded histories against the guarantees.

use lab::chaos;

/// Covers every ordered pair of faults twice.
const SEEDS: u64 = 2 * (chaos::FAULTS.len() * (chaos::FAULTS.len() - 1)) as u64;
const THREADS: u64 = 4;

#[test]
fn pairs_of_faults_violate_no_guarantee() {
    let run = |thread: u64| {
        let seeds = (thread..SEEDS).step_by(THREADS as usize);
        seeds.map(chaos::run).filter(|r| !r.violations.is_empty()).collect::<Vec<_>>()
    };
    let failing: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || run(t))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no seed should panic")).collect()
    });
    let text: Vec<String> = failing.iter().map(ToString::to_string).collect();
    assert!(failing.is_empty(), "{}", text.join("\n"));
}

#[test]
fn the_same_seed_gives_the_same_report() {
    for seed in [3, 40, 150] {
        assert_eq!(chaos::run(seed).to_string(), chaos::run(seed).to_string());
    }
}

#[test]
fn runs_with_faults_complete_searches_and_run_requests() {
    let reports: Vec<_> = (0..34).map(chaos::run).collect();
    let complete: usize = reports.iter().map(|r| r.search_outcomes[0]).sum();
    let ran: usize = reports.iter().map(|r| r.upstream_runs).sum();
    assert!(
        complete > 0 && ran > complete,
        "{complete} searches complete, {ran} requests run at upstreams"
    );
}
