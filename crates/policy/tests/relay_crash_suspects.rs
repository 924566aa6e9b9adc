//! Suspects of a crash at one upstream.
//!
//! Guards against crashes that are not put down to the request that caused them, because nobody
//! waited for its reply any more, and against blaming requests that the upstream has survived.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::id;
use policy::relay::crash_suspects::{
    ABANDONED_RUN, Arrival, CHECK_DELAY, CONCLUSIVE_CRASHES, CONCLUSIVE_CRASHES_IN_TURN,
    CrashSuspects, Exposure, MAX_REPLY_GAP, MAX_SUSPECTS, Proof, RECHECK_INTERVAL,
    SILENT_SUSPICION, SUSPICION, Suspect, names_pool, others_reply,
};

fn suspect(fingerprint: u64) -> Suspect {
    Suspect {
        request_id: "r".into(),
        fingerprint,
        arrival: Arc::new(Arrival::new(2)),
        after_loss: false,
    }
}

/// What happens at the upstream, in milliseconds after the attempt of the suspect has ended.
#[derive(Debug, Clone, Copy)]
enum Step {
    Alive(u64),
    Sign(u64),
    Silent(u64),
}

/// Checks whether a request is blamed for a crash that is found `found` after its attempt.
fn check(exposure: Exposure, steps: &[Step], found: Duration, proof: Proof, blamed: bool) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut suspects = CrashSuspects::new();
    suspects.add(start, suspect(7), exposure, true);
    for step in steps {
        match step {
            Step::Alive(ms) => suspects.record_alive(at(*ms)),
            Step::Sign(ms) => suspects.record_sign(at(*ms)),
            Step::Silent(ms) => suspects.record_silence(at(*ms)),
        }
    }
    let taken = suspects.take(start + found, proof);
    let case = format!("{exposure:?} {steps:?} {found:?} {proof:?}");
    assert_eq!(taken.iter().any(|s| s.fingerprint == 7), blamed, "{case}");
    assert!(suspects.is_empty(), "{case}");
}

#[test]
fn a_request_is_blamed_for_a_crash_while_it_may_have_run() {
    use Exposure::{Abandoned, Lost};
    use Proof::Unreachable;
    let soon = CHECK_DELAY;
    check(Lost, &[], soon, Unreachable, true);
    check(Abandoned, &[], soon, Unreachable, true);
    check(Abandoned, &[Step::Sign(300)], Duration::from_millis(350), Unreachable, true);
    // The upstream was silent until the crash was found.
    check(Abandoned, &[], SUSPICION - CHECK_DELAY, Unreachable, true);
    check(Lost, &[], SUSPICION, Unreachable, false);
}

#[test]
fn a_request_that_the_upstream_has_survived_is_not_blamed() {
    use Exposure::{Abandoned, Lost};
    use Proof::{Replaced, Unreachable};
    let late = Duration::from_millis(2_000);
    check(Lost, &[Step::Alive(60)], late, Unreachable, false);
    check(Abandoned, &[Step::Alive(1_100)], late, Unreachable, false);
    // It may have run until just after the reply.
    check(Abandoned, &[Step::Alive(300)], late, Unreachable, true);
    // The process that was alive is the one that replaced it.
    check(Lost, &[Step::Alive(60)], late, Replaced, true);
}

#[test]
fn a_request_is_blamed_for_a_silence_that_turns_out_to_be_a_crash() {
    use Exposure::{Abandoned, Lost};
    use Proof::{Gone, Replaced, Silent, Unreachable};
    let late = SILENT_SUSPICION - CHECK_DELAY;
    for exposure in [Abandoned, Lost] {
        for proof in [Gone, Replaced, Silent, Unreachable] {
            check(exposure, &[Step::Silent(1_400)], late, proof, true);
        }
        check(exposure, &[Step::Silent(1_400)], SILENT_SUSPICION, Replaced, false);
        check(exposure, &[Step::Silent(1_400), Step::Alive(3_000)], late, Unreachable, false);
        // What accepts connections again may be the process that has replaced it.
        check(exposure, &[Step::Silent(1_400), Step::Alive(3_000)], late, Replaced, true);
        // Without a silence, a process may also leave as planned.
        check(exposure, &[], CHECK_DELAY, Gone, false);
    }
}

#[test]
fn suspects_of_a_silent_upstream_that_expire_without_proof_are_counted() {
    let start = Instant::now();
    let mut suspects = CrashSuspects::new();
    suspects.add(start, suspect(1), Exposure::Lost, true);
    suspects.record_silence(start + CHECK_DELAY);
    assert_eq!(suspects.silent_len(), 1);
    assert_eq!(suspects.next_check(), Some(start + CHECK_DELAY + RECHECK_INTERVAL));
    suspects.expire(start + SUSPICION);
    assert_eq!((suspects.len(), suspects.take_unresolved()), (1, 0));
    suspects.expire(start + SILENT_SUSPICION);
    assert_eq!((suspects.len(), suspects.take_unresolved()), (0, 1));
    assert_eq!(suspects.take_unresolved(), 0);
}

#[test]
fn a_node_that_was_cut_off_until_just_now_cannot_tell_a_silent_upstream() {
    let began = Instant::now();
    let at = |ms: i64| match u64::try_from(ms) {
        Ok(ms) => began + Duration::from_millis(ms),
        Err(_) => began - Duration::from_millis(ms.unsigned_abs()),
    };
    let check = |before: Option<i64>, latest: Option<i64>, expected: bool| {
        let found = others_reply(began, before.map(at), latest.map(at));
        assert_eq!(found, expected, "replies at {before:?} and {latest:?} ms");
    };
    let gap = MAX_REPLY_GAP.as_millis() as i64;
    check(Some(-10), Some(200), true);
    check(Some(1 - gap), Some(0), true);
    check(Some(-10), Some(-10), false);
    check(Some(-gap), Some(200), false);
    check(None, Some(200), false);
    check(None, None, false);
}

#[test]
fn the_upstream_is_checked_after_a_loss_and_after_each_sign() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::new();
    assert_eq!(suspects.next_check(), None);
    suspects.add(now, suspect(1), Exposure::Lost, true);
    assert_eq!(suspects.next_check(), Some(now + CHECK_DELAY));
    // A reply that arrives before may have been sent before the loss.
    suspects.record_alive(now + CHECK_DELAY / 2);
    assert_eq!(suspects.next_check(), Some(now + CHECK_DELAY));
    suspects.record_alive(now + CHECK_DELAY);
    assert_eq!(suspects.next_check(), None);
    let later = now + CHECK_DELAY + RECHECK_INTERVAL;
    suspects.record_sign(later);
    assert_eq!(suspects.next_check(), Some(later + CHECK_DELAY));
}

#[test]
fn an_upstream_that_ends_each_connection_is_not_checked_each_time() {
    let start = Instant::now();
    let mut suspects = CrashSuspects::new();
    suspects.add(start, suspect(1), Exposure::Lost, true);
    let (mut now, mut checks) = (start, 0);
    while now < start + SUSPICION {
        if suspects.next_check().is_some_and(|at| at <= now) {
            checks += 1;
            suspects.record_check(now);
            // It accepts the connection and ends it, as beyond its limit.
            suspects.record_sign(now + Duration::from_millis(1));
        }
        now += Duration::from_millis(5);
    }
    assert!(checks <= SUSPICION.div_duration_f64(RECHECK_INTERVAL) as u32 + 1, "{checks} checks");
}

#[test]
fn an_abandoned_request_costs_no_connection_while_another_one_is_open() {
    let now = Instant::now();
    let next_check = |connected: bool, alive: bool| {
        let mut suspects = CrashSuspects::new();
        suspects.add(now, suspect(1), Exposure::Abandoned, connected);
        if alive {
            suspects.record_alive(now + Duration::from_millis(1));
        }
        suspects.next_check()
    };
    assert_eq!(next_check(false, false), Some(now + CHECK_DELAY));
    assert_eq!(next_check(true, false), Some(now + ABANDONED_RUN));
    assert_eq!(next_check(true, true), None);
}

#[test]
fn a_node_that_is_cut_off_blames_no_request() {
    let check = |proof: Proof, others_reply: bool, crash: bool| {
        assert_eq!(proof.is_crash(others_reply), crash, "{proof:?}, others reply: {others_reply}");
    };
    check(Proof::Silent, true, true);
    check(Proof::Silent, false, false);
    check(Proof::Unreachable, false, true);
    check(Proof::Replaced, false, true);
}

#[test]
fn suspects_are_bounded_and_the_oldest_is_dropped() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::new();
    for n in 0..MAX_SUSPECTS as u64 {
        assert!(suspects.add(now, suspect(n), Exposure::Lost, true).is_none());
    }
    let dropped = suspects.add(now, suspect(1_000), Exposure::Lost, true);
    assert_eq!(dropped.map(|s| s.fingerprint), Some(0));
    assert_eq!(suspects.len(), MAX_SUSPECTS);
}

#[test]
fn an_arrival_is_conclusive_if_all_upstreams_that_ran_it_crashed() {
    let pool = |name: &str| name.parse::<id::Pool>().expect("name");
    let check = |crashes: u32, in_turn: bool, replied: bool, reports: &[u32]| {
        let arrival = Arrival::new(9);
        if replied {
            arrival.record_reply();
        }
        let crash = |n: u32| arrival.record_crash(&pool(&format!("p{n}")), in_turn && n == 1);
        let mut ids: Vec<u32> = (0..crashes).flat_map(crash).collect();
        ids.dedup();
        let random: Vec<u32> = ids.iter().map(|id| id & 0xffff).collect();
        assert_eq!(random, reports, "{crashes} crashes, in turn: {in_turn}, replied: {replied}");
        assert!(ids.iter().all(|id| names_pool(*id, &pool("p0"))), "the first pool is named");
        assert!(!ids.iter().any(|id| names_pool(*id, &pool("p1"))));
    };
    check(1, false, false, &[8]);
    check(CONCLUSIVE_CRASHES - 1, false, false, &[8]);
    check(CONCLUSIVE_CRASHES, false, false, &[8, 9]);
    check(CONCLUSIVE_CRASHES_IN_TURN, true, false, &[8, 9]);
    check(CONCLUSIVE_CRASHES_IN_TURN, true, true, &[8]);
    check(10, false, true, &[8]);
}
