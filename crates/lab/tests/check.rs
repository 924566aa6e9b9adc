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
        upstream: "10.0.0.1:80".parse().expect("address"),
        service: "search".parse().expect("name"),
        body: SmolStr::new(body),
        map: Generation(1),
        version: Some(Version(version)),
        covered: KeySet::from_ranges(&[range]),
    }
}

fn hit(body: &str, key: u32, version: u64) -> Hit {
    Hit { key, score: 0.5, document: format!("search|{key}|{version}|{body}").into() }
}

fn sound_search() -> Search {
    let snapshot = Snapshot {
        service: "search".parse().expect("name"),
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

fn send(record: &mut History, send: usize, told: Option<answer::Run>) {
    let call = RunAction { body: "order".into(), send, answer: None, is_call: true };
    record.run_actions.push(call.clone());
    record.run_actions.push(RunAction { answer: told, is_call: false, ..call });
}

fn sound() -> History {
    let mut record = History { searches: vec![sound_search()], ..History::default() };
    record.events = vec![ran("q", 1, KeyRange::ALL), ran("order", 1, KeyRange::ALL)];
    send(&mut record, 0, Some(reply(Outcome::Complete, Some("done|order"))));
    record
}

#[test]
fn a_sound_history_passes() {
    assert_eq!(check::all(&sound()), []);
}

#[test]
fn each_planted_violation_is_found() {
    let check = |name: &str, plant: fn(&mut History)| {
        let mut record = sound();
        plant(&mut record);
        let found: Vec<&str> = check::all(&record).iter().map(|v| v.check).collect();
        assert!(found.contains(&name), "{name} not among {found:?}");
    };
    check("own answer", |r| r.searches[0].answer.hits.push(hit("other", 3, 1)));
    check("own answer", |r| r.searches[0].answer.hits[0].document = "search|0|1".into());
    check("one snapshot", |r| r.searches[0].answer.hits.push(hit("q", 3, 2)));
    check("consistent answer", |r| r.searches[0].answer.coverage = Share::from_percent(90.0));
    check("consistent answer", |r| r.searches[0].answer.outcome = Outcome::Partial);
    check("consistent answer", |r| {
        let (service, group) = ("search".parse().expect("name"), id::Group(0));
        let keys = KeySet::from_ranges(&[KeyRange::new(0, 1_000)]);
        r.searches[0].answer.missing.push(Gap { service, group, keys, reason: Reason::Lost });
        r.searches[0].answer.outcome = Outcome::Partial;
        r.searches[0].answer.coverage = Share::from_percent(99.0);
    });
    check("true coverage", |r| r.events[0] = ran("q", 1, KeyRange::new(0, 60_000)));
    check("true coverage", |r| r.events[0] = ran("q", 2, KeyRange::ALL));
    check("true coverage", |r| r.events[0] = ran("other", 1, KeyRange::ALL));
    check("not run", |r| {
        r.searches[0].answer = answer::Search::unanswered(Outcome::NotRun, Reason::Overload);
    });
    check("at most once", |r| r.events.push(ran("order", 1, KeyRange::ALL)));
    check("told as it was", |r| send(r, 1, Some(reply(Outcome::NotRun, None))));
    check("told as it was", |r| {
        r.events.pop();
    });
    check("told as it was", |r| send(r, 1, Some(reply(Outcome::Complete, Some("done|other")))));
    check("one story", |r| send(r, 1, Some(reply(Outcome::NotRun, None))));
}

#[test]
fn concurrent_sends_of_one_id_must_not_get_contradicting_outcomes() {
    let mut record = sound();
    record.run_actions.clear();
    let call = |send| RunAction { body: "order".into(), send, answer: None, is_call: true };
    let answer = |send, told| RunAction { answer: Some(told), is_call: false, ..call(send) };
    record.run_actions = vec![
        call(0),
        call(1),
        answer(0, reply(Outcome::Unknown, None)),
        answer(1, reply(Outcome::Complete, Some("done|order"))),
    ];
    assert_eq!(check::linearizable(&record), None);
    record.run_actions[2] = answer(0, reply(Outcome::NotRun, None));
    assert!(check::linearizable(&record).is_some());
}
