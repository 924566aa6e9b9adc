//! Retry delays given to callers.
//!
//! Guards against callers that retry too late for their goal, retry in vain during an outage, or
//! all retry at the same moment.

use std::time::Duration;

use policy::{
    outcome::Reason,
    relay::{
        crash_quarantine,
        retry_after::{delay, jittered},
    },
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn callers_retry_at_once_only_if_that_may_succeed() {
    // The shortest goals are 60 ms; an answer takes about half of them.
    let soon = [Reason::Overload, Reason::Failed, Reason::Lost, Reason::BadReply, Reason::Draining];
    for reason in soon {
        assert!(delay(reason) <= ms(30), "{reason}");
    }
    assert!(delay(Reason::Unreachable) >= ms(1_000));
    assert_eq!(delay(Reason::Quarantined), crash_quarantine::REPORT_TTL);
}

#[test]
fn callers_refused_at_the_same_moment_retry_at_different_times() {
    let typical = ms(30);
    let times: Vec<Duration> = (0..=10).map(|n| jittered(typical, f64::from(n) / 10.0)).collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= ms(2)), "{times:?}");
    assert_eq!((times[0], times[10]), (ms(15), ms(45)));
}
