//! One relayed request: when attempts are sent, and how the request ends.
//!
//! Guards against second attempts that are sent too late or against the rules of the route,
//! answers that come after the goal although a partial one was possible, and failures that claim
//! that a request did not run although it may have run.

use std::time::{Duration, Instant};

use base::{id, unit::Revision};
use policy::{
    outcome::{Fate, Reason},
    relay::{
        pool::Pools,
        registry::{Change, Entry, Event, Registry},
        request::{Cause, Completion, Plan, RequestState},
        retry_budget::RetryBound,
        upstream::AttemptEnd,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const GOAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(1);
const OK: AttemptEnd = AttemptEnd::Reply { success: true };
const FAILURE: AttemptEnd = AttemptEnd::Reply { success: false };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn pool_name(n: usize) -> id::Pool {
    format!("p{n}").parse().expect("name")
}

/// State of a request with its pools, at a time that the test sets.
struct Case {
    start: Instant,
    at: Duration,
    pools: Pools,
    request: RequestState,
    rng: ChaCha8Rng,
}

impl Case {
    /// `pools` pools of `upstreams` upstreams each, of which `min_replies` must reply.
    fn new(
        pools: usize,
        upstreams: usize,
        min_replies: usize,
        slack: f64,
        repeatable: bool,
    ) -> Case {
        let start = Instant::now();
        let mut events = Vec::new();
        for pool in 0..pools {
            for upstream in 0..upstreams {
                let name = format!("u{pool}-{upstream}");
                let entry = Entry {
                    instance: id::Instance(name.as_str().into()),
                    born_ms: 1,
                    pool: pool_name(pool),
                    address: format!("10.0.{pool}.{upstream}:80").parse().expect("address"),
                    domain: "a".into(),
                    slots: 3,
                    draining: false,
                    cold: Duration::ZERO,
                };
                let revision = Revision(events.len() as u64 + 1);
                let change = Change::Put(entry);
                events.push(Event { key: name.as_str().into(), revision, change });
            }
        }
        let mut registry = Registry::new(ms(3_000));
        let until = Revision(events.len() as u64);
        registry.apply(start, events, until);
        let bound = RetryBound { ratio: 0.0, slack, window: ms(10_000) };
        let process_start =
            start.checked_sub(ms(20_000)).expect("the machine has been up for 20 s");
        let mut all = Pools::new("a".into(), bound, process_start);
        all.set_node_count(Some(1));
        all.sync(start, &registry);
        let request = RequestState::new(Plan {
            route: "r".into(),
            pools: (0..pools).map(pool_name).collect(),
            connection_limits: vec![10; pools],
            min_replies,
            max_attempts: 2,
            repeatable,
            rank: 0,
            goal: GOAL,
            arrived: start,
            deadline: start + DEADLINE,
        });
        let rng = ChaCha8Rng::seed_from_u64(1);
        Case { start, at: Duration::ZERO, pools: all, request, rng }
    }

    fn now(&self) -> Instant {
        self.start + self.at
    }

    fn at(&mut self, at: u64) -> &mut Case {
        self.at = ms(at);
        self
    }

    /// Returns the pools to which an attempt is sent now, with its cause.
    fn due(&mut self) -> Vec<(usize, Cause)> {
        let now = self.now();
        let due = self.request.due_attempts(now, &mut self.pools, &mut self.rng);
        due.into_iter().map(|s| (s.pool_index, s.cause)).collect()
    }

    fn end(&mut self, pool_index: usize, end: AttemptEnd) -> &mut Case {
        self.request.record_end(pool_index, end);
        self
    }

    fn completion(&self) -> Option<Completion> {
        self.request.completion(self.now())
    }
}

fn failed(fate: Fate, reason: Reason) -> Option<Completion> {
    Some(Completion::Failed { fate, reason })
}

#[test]
fn each_pool_is_asked_once_and_the_answer_is_complete() {
    let mut case = Case::new(3, 3, 3, 100.0, true);
    let firsts = [(0, Cause::First), (1, Cause::First), (2, Cause::First)];
    assert_eq!(case.due(), firsts);
    assert_eq!(case.at(5).end(0, OK).end(1, OK).completion(), None);
    assert_eq!(case.end(2, OK).completion(), Some(Completion::Complete));
}

#[test]
fn a_second_attempt_is_sent_while_the_goal_can_still_be_met() {
    let mut case = Case::new(2, 3, 2, 100.0, true);
    case.due();
    case.end(0, OK);
    assert_eq!(case.at(29).due(), []);
    let wake = case.request.next_wake(case.now());
    assert!(wake <= case.start + ms(31), "the request is polled for the second attempt");
    assert_eq!(case.at(31).due(), [(1, Cause::Slow)]);
    assert_eq!(case.at(80).due(), [], "max_attempts is 2");
    // The first reply counts, whichever attempt it belongs to.
    assert_eq!(case.end(1, OK).completion(), Some(Completion::Complete));
}

#[test]
fn an_attempt_that_ends_without_a_usable_reply_is_retried_at_once() {
    for end in [
        AttemptEnd::Refused,
        AttemptEnd::NotSent,
        AttemptEnd::ConnectionLost,
        AttemptEnd::BadReply,
        AttemptEnd::InstanceReplaced,
        FAILURE,
    ] {
        let mut case = Case::new(1, 3, 1, 100.0, true);
        case.due();
        case.at(2).end(0, end);
        assert_eq!(case.due(), [(0, Cause::Ended(end))], "{end:?}");
    }
}

#[test]
fn a_request_that_may_run_once_is_retried_only_if_it_did_not_run() {
    let check = |end: AttemptEnd, again: bool, expected: Option<Completion>| {
        let mut case = Case::new(1, 3, 1, 100.0, false);
        case.due();
        assert_eq!(case.at(50).due(), [], "no hedge while the first attempt is in flight");
        case.end(0, end);
        assert_eq!(case.due().len(), usize::from(again), "{end:?}");
        assert_eq!(case.completion(), expected, "{end:?}");
    };
    check(AttemptEnd::Refused, true, None);
    check(AttemptEnd::NotSent, true, None);
    check(AttemptEnd::InstanceReplaced, true, None);
    check(AttemptEnd::ConnectionLost, false, failed(Fate::MayHaveRun, Reason::Lost));
    check(AttemptEnd::BadReply, false, failed(Fate::MayHaveRun, Reason::BadReply));
    check(AttemptEnd::NoReply, false, failed(Fate::MayHaveRun, Reason::Unreachable));
    check(FAILURE, false, failed(Fate::Ran, Reason::Failed));
}

#[test]
fn a_request_refused_by_all_upstreams_has_not_run() {
    let mut case = Case::new(1, 3, 1, 100.0, false);
    case.due();
    case.end(0, AttemptEnd::Refused).due();
    case.end(0, AttemptEnd::Refused).due();
    assert_eq!(case.completion(), failed(Fate::NotRun, Reason::Overload));
}

#[test]
fn a_request_with_one_attempt_in_flight_may_have_run() {
    let mut case = Case::new(2, 1, 2, 100.0, true);
    case.due();
    case.end(0, AttemptEnd::Refused).due();
    assert_eq!(case.completion(), failed(Fate::MayHaveRun, Reason::Overload));
}

#[test]
fn a_partial_answer_is_sent_before_the_goal() {
    let mut case = Case::new(3, 3, 2, 0.0, true);
    case.due();
    case.at(10).end(0, OK).end(1, OK);
    assert_eq!(case.at(89).completion(), None, "the third reply may still come in time");
    assert_eq!(case.at(90).completion(), Some(Completion::Partial));
}

#[test]
fn with_too_few_replies_a_request_ends_once_no_reply_can_come_any_more() {
    let mut case = Case::new(3, 3, 2, 0.0, true);
    case.due();
    case.end(0, OK);
    assert_eq!(
        case.at(110).completion(),
        None,
        "a reply that was sent by the goal may be on its way"
    );
    assert_eq!(case.at(125).completion(), failed(Fate::Ran, Reason::Deadline));
    assert_eq!(case.end(1, OK).completion(), Some(Completion::Partial));
    let mut case = Case::new(1, 3, 1, 0.0, true);
    case.due();
    assert_eq!(case.at(985).completion(), None, "a request to one pool runs until its deadline");
    assert_eq!(case.at(995).completion(), failed(Fate::MayHaveRun, Reason::Deadline));
}

#[test]
fn a_short_goal_leaves_time_for_the_way_back_to_the_caller() {
    let mut case = Case::new(2, 1, 1, 0.0, true);
    case.request = RequestState::new(Plan { goal: ms(60), ..case.request.plan().clone() });
    case.due();
    case.end(0, OK);
    assert_eq!(case.at(49).completion(), None);
    assert_eq!(case.at(50).completion(), Some(Completion::Partial));
}

#[test]
fn attempts_to_several_pools_end_at_the_goal_and_none_is_sent_after_it() {
    let mut case = Case::new(2, 3, 2, 100.0, true);
    case.due();
    let until = case.request.attempt_deadline();
    assert!(until >= case.start + ms(90) && until <= case.start + GOAL, "{:?}", until);
    case.at(95).end(0, AttemptEnd::Refused);
    assert_eq!(case.due(), []);
    assert_eq!(case.completion(), failed(Fate::MayHaveRun, Reason::Overload));
    // A request to one pool runs until its deadline.
    let single = Case::new(1, 3, 1, 100.0, true);
    assert_eq!(single.request.attempt_deadline(), single.start + DEADLINE);
}

#[test]
fn a_request_that_cannot_get_enough_replies_fails_at_once() {
    let mut case = Case::new(3, 1, 2, 0.0, true);
    case.due();
    case.at(3).end(0, AttemptEnd::ConnectionLost).end(1, AttemptEnd::ConnectionLost);
    case.due();
    assert_eq!(case.completion(), failed(Fate::MayHaveRun, Reason::Lost));
}

#[test]
fn nothing_is_sent_if_too_few_pools_have_an_upstream() {
    let check = |with_upstreams: usize, min_replies: usize, sent: usize| {
        let mut case = Case::new(with_upstreams, 2, min_replies, 100.0, true);
        let plan = case.request.plan().clone();
        let pools = (0..4).map(pool_name).collect();
        case.request = RequestState::new(Plan { pools, connection_limits: vec![10; 4], ..plan });
        let name = format!("{with_upstreams} of 4 pools with upstreams, {min_replies} needed");
        assert_eq!(case.at(0).due().len(), sent, "{name}");
        let refused = failed(Fate::NotRun, Reason::Unreachable).filter(|_| sent == 0);
        assert_eq!(case.completion(), refused, "{name}");
    };
    check(4, 4, 4);
    check(3, 3, 3);
    check(3, 4, 0);
    check(1, 3, 0);
    check(0, 1, 0);
}

#[test]
fn nothing_is_sent_where_no_upstream_is_known() {
    let mut case = Case::new(2, 0, 2, 100.0, true);
    assert_eq!(case.due(), []);
    assert_eq!(case.completion(), failed(Fate::NotRun, Reason::Unreachable));
}

#[test]
fn without_budget_there_is_no_second_attempt() {
    let mut case = Case::new(1, 3, 1, 0.0, true);
    case.due();
    assert_eq!(case.at(70).due(), []);
    assert!(case.request.denied() > 0);
    // There is no retry either, so nothing is left to wait for.
    case.end(0, AttemptEnd::Refused).due();
    assert_eq!(case.completion(), failed(Fate::NotRun, Reason::Overload));
}

#[test]
fn a_second_reply_of_a_pool_is_not_used() {
    let mut case = Case::new(2, 3, 2, 100.0, true);
    case.due();
    case.at(40).due();
    assert!(case.request.record_end(0, OK));
    assert!(!case.request.record_end(0, OK));
    assert_eq!(case.completion(), None, "the other pool has not replied");
}

#[test]
fn a_request_is_survived_only_if_no_upstream_may_have_crashed() {
    let check = |first: AttemptEnd, survived: bool| {
        let mut case = Case::new(2, 3, 1, 100.0, true);
        case.due();
        case.end(0, first);
        if first != OK {
            case.due();
            case.end(0, OK);
        }
        assert!(!case.request.survived(), "{first:?}: the other pool may still crash");
        case.end(1, OK);
        assert_eq!(case.request.survived(), survived, "{first:?}");
    };
    check(OK, true);
    check(AttemptEnd::Refused, true);
    check(AttemptEnd::NotSent, true);
    check(AttemptEnd::ConnectionLost, false);
    check(AttemptEnd::BadReply, false);
}

#[test]
fn second_attempts_wait_after_three_losses_without_a_reply() {
    let check = |reply_first: bool, waits: bool| {
        let mut case = Case::new(5, 3, 4, 100.0, true);
        case.due();
        if reply_first {
            case.end(4, OK);
        }
        (0..3).for_each(|pool| _ = case.end(pool, AttemptEnd::ConnectionLost));
        assert_eq!(case.at(5).due().is_empty(), waits, "reply first: {reply_first}");
        if waits {
            assert_eq!(case.request.next_wake(case.now()), case.start + ms(80));
            assert_eq!(case.at(80).due().len(), 5, "they are sent once the upstreams were checked");
        }
    };
    check(false, true);
    check(true, false);
}

#[test]
fn a_request_that_is_stopped_ends_with_the_replies_that_it_gets() {
    let check = |replies: usize, completion: Option<Completion>| {
        let mut case = Case::new(3, 3, 1, 100.0, true);
        case.due();
        case.request.stop_second_attempts();
        (0..replies).for_each(|pool| _ = case.end(pool, OK));
        (replies..3).for_each(|pool| _ = case.end(pool, AttemptEnd::ConnectionLost));
        assert_eq!(case.at(50).due(), [], "{replies} replies");
        assert_eq!(case.completion(), completion, "{replies} replies");
    };
    check(0, failed(Fate::MayHaveRun, Reason::Lost));
    check(1, Some(Completion::Partial));
    check(3, Some(Completion::Complete));
}

#[test]
fn a_request_is_survived_although_a_pool_cannot_be_reached() {
    let mut case = Case::new(3, 1, 2, 100.0, true);
    case.due();
    case.end(0, AttemptEnd::NotSent).end(1, OK).end(2, OK);
    assert_eq!(case.at(5).due(), []);
    assert_eq!(case.completion(), Some(Completion::Partial));
    assert!(case.request.survived());
    assert!(case.request.replied_pools().eq(&[pool_name(1), pool_name(2)]));
}
