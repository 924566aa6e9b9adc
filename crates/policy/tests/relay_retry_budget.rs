//! Budget for second attempts.
//!
//! Guards against second attempts of all nodes together that exceed the bound in some window: nodes
//! spend without coordination, the load changes, and restarted processes do not know what their
//! predecessors have spent.

use std::time::{Duration, Instant};

use policy::relay::retry_budget::{RetryBound, RetryBudget};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 116.0, window: Duration::from_secs(10) };
const STEP: Duration = Duration::from_millis(5);
const SEED: u64 = 20_261_204;

/// Lets `nodes` nodes spend as much as their budgets allow under a changing load, and checks the
/// bound in each window. Halfway through, `replaced` of them restart without knowledge of earlier
/// spending.
fn check(nodes: usize, replaced: usize, per_second: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let start = Instant::now();
    let process_start =
        start.checked_sub(BOUND.window).expect("the machine has been up for a window");
    let mut budgets: Vec<RetryBudget> =
        (0..nodes).map(|_| RetryBudget::new(BOUND, process_start, start)).collect();
    let (mut ordinary, mut second_attempts) = (Vec::new(), Vec::new());
    for step in 0..8_000u32 {
        let now = start + STEP * step;
        if step == 4_000 {
            for budget in budgets.iter_mut().take(replaced) {
                *budget = RetryBudget::new(BOUND, now, now);
            }
        }
        let load = if step % 3_000 < 1_000 { 0.2 } else { 1.0 };
        for budget in &mut budgets {
            if rng.random::<f64>() < per_second * load * STEP.as_secs_f64() / nodes as f64 {
                budget.record_request(now);
                ordinary.push(now);
            }
            while budget.try_spend(now, Some(nodes)) {
                second_attempts.push(now);
            }
        }
    }
    let count = |times: &[Instant], from: Instant, to: Instant| {
        times.partition_point(|t| *t < to) - times.partition_point(|t| *t < from)
    };
    for end in (2_000..8_000).step_by(50) {
        let to = start + STEP * end;
        let from = to - BOUND.window;
        // The fleet's bound counts the ordinary requests of this window, of the one before, or of
        // the one that began half a window earlier, whichever has most.
        let counted = [0, 1, 2].map(|half| {
            let back = BOUND.window / 2 * half;
            count(&ordinary, from.checked_sub(back).unwrap_or(start), to - back)
        });
        let most = counted.into_iter().max().unwrap_or_default() as f64;
        let allowed = BOUND.ratio * most + BOUND.slack;
        let spent = count(&second_attempts, from, to) as f64;
        assert!(
            spent <= allowed,
            "{nodes} nodes, {replaced} replaced: {spent} second attempts exceed {allowed}"
        );
    }
    assert!(!second_attempts.is_empty());
}

#[test]
fn no_window_exceeds_the_bound() {
    check(1, 0, 200.0);
    check(15, 0, 200.0);
    check(118, 0, 200.0);
    check(15, 0, 5.0);
}

#[test]
fn restarted_processes_do_not_spend_the_slack_of_their_predecessors_again() {
    check(15, 7, 200.0);
    check(15, 15, 200.0);
}

#[test]
fn a_node_that_knows_no_other_node_has_no_slack() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(BOUND, now, now);
    assert!(!budget.try_spend(now, None));
    for _ in 0..100 {
        budget.record_request(now);
    }
    assert!(budget.try_spend(now, None));
}
