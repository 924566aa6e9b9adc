//! Tests of the history checks: each check reports the violation that is planted for it, and a
//! valid history passes all of them.

use base::{
    id,
    keyspace::{KeyRange, KeySet},
    unit::{Generation, Share, Version},
};
use lab::check::{self, History, RunAction, Search};
use policy::{
    coverage::Gap,
    outcome::{Outcome, Reason},
};
use smol_str::SmolStr;
use standin::event_log::Event;
use wire::answer::{self, Hit, Snapshot};

fn ran(body: &str, version: u64, range: KeyRange) -> Event {
    Event::Ran {
        upstream: "10.0.0.1:80".parse().expect("the address should be valid"),
        service: "search".parse().expect("the name should be valid"),
        body: SmolStr::new(body),
        map: Generation(1),
        version: Some(Version(version)),
        covered: KeySet::from_ranges(&[range]),
    }
}

fn hit(body: &str, key: u32, version: u64) -> Hit {
    Hit { key, score: 0.5, document: format!("search|{key}|{version}|{body}").into() }
}

fn valid_search() -> Search {
    let snapshot = Snapshot {
        service: "search".parse().expect("the name should be valid"),
        map: Generation(1),
        version: Some(Version(1)),
    };
    let answer = answer::Search {
        outcome: Outcome::Complete,
        reason: None,
        retry_after_ms: None,
        snapshot: vec![snapshot],
        coverage: Share::ONE,
        missing: Vec::new(),
        hits: vec![hit("q", 0, 1), hit("q", 9, 1)],
        trace: SmolStr::default(),
    };
    Search { query: "q".into(), answer }
}

fn reply(outcome: Outcome, body: Option<&str>) -> answer::Run {
    let unanswered = answer::Run::unanswered(outcome, Reason::Lost);
    answer::Run { body: body.map(SmolStr::new), ..unanswered }
}

fn send(history: &mut History, send: usize, answer: Option<answer::Run>) {
    let call = RunAction { body: "order".into(), send, answer: None, is_call: true };
    history.run_actions.push(call.clone());
    history.run_actions.push(RunAction { answer, is_call: false, ..call });
}

fn valid_history() -> History {
    let mut history = History { searches: vec![valid_search()], ..History::default() };
    history.events = vec![ran("q", 1, KeyRange::ALL), ran("order", 1, KeyRange::ALL)];
    send(&mut history, 0, Some(reply(Outcome::Complete, Some("done|order"))));
    history
}

#[test]
fn a_valid_history_passes() {
    assert_eq!(check::all(&valid_history()), []);
}

#[test]
fn each_planted_violation_is_found() {
    let check = |name: &str, plant: fn(&mut History)| {
        let mut history = valid_history();
        plant(&mut history);
        let found: Vec<&str> = check::all(&history).iter().map(|v| v.check).collect();
        assert!(found.contains(&name), "{name} not among {found:?}");
    };
    check("own answer", |h| h.searches[0].answer.hits.push(hit("other", 3, 1)));
    check("own answer", |h| h.searches[0].answer.hits[0].document = "search|0|1".into());
    check("one snapshot", |h| h.searches[0].answer.hits.push(hit("q", 3, 2)));
    check("consistent answer", |h| h.searches[0].answer.coverage = Share::from_percent(90.0));
    check("consistent answer", |h| h.searches[0].answer.outcome = Outcome::Partial);
    check("consistent answer", |h| {
        let (service, group) = ("search".parse().expect("the name should be valid"), id::Group(0));
        let keys = KeySet::from_ranges(&[KeyRange::new(0, 1_000)]);
        h.searches[0].answer.missing.push(Gap { service, group, keys, reason: Reason::Lost });
        h.searches[0].answer.outcome = Outcome::Partial;
        h.searches[0].answer.coverage = Share::from_percent(99.0);
    });
    check("true coverage", |h| h.events[0] = ran("q", 1, KeyRange::new(0, 60_000)));
    check("true coverage", |h| h.events[0] = ran("q", 2, KeyRange::ALL));
    check("true coverage", |h| h.events[0] = ran("other", 1, KeyRange::ALL));
    check("not run", |h| {
        h.searches[0].answer = answer::Search::unanswered(Outcome::NotRun, Reason::Overload);
    });
    check("at most once", |h| h.events.push(ran("order", 1, KeyRange::ALL)));
    check("told as it was", |h| send(h, 1, Some(reply(Outcome::NotRun, None))));
    check("told as it was", |h| {
        h.events.pop();
    });
    check("told as it was", |h| send(h, 1, Some(reply(Outcome::Complete, Some("done|other")))));
    check("one story", |h| send(h, 1, Some(reply(Outcome::NotRun, None))));
}

#[test]
fn concurrent_sends_of_one_id_must_not_get_contradicting_outcomes() {
    let mut history = valid_history();
    history.run_actions.clear();
    let call = |send| RunAction { body: "order".into(), send, answer: None, is_call: true };
    let response = |send, answer| RunAction { answer: Some(answer), is_call: false, ..call(send) };
    history.run_actions = vec![
        call(0),
        call(1),
        response(0, reply(Outcome::Unknown, None)),
        response(1, reply(Outcome::Complete, Some("done|order"))),
    ];
    assert_eq!(check::linearizable(&history), None);
    history.run_actions[2] = response(0, reply(Outcome::NotRun, None));
    assert!(check::linearizable(&history).is_some());
}
