//! Checks of histories: what callers were told against what upstreams really did.

use std::{collections::BTreeMap, fmt};

use base::{id, keyspace::KeySet, unit::Share};
use policy::outcome::Outcome;
use smol_str::SmolStr;
use standin::event_log::Event;
use todc_utils::{Action, Specification, WGLChecker};
use wire::answer::{self, Hit};

/// A search as its caller saw it. The text of each search of a history is unique.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// What was searched for.
    pub query: SmolStr,
    /// The planned groups' ranges of each answer are those of this map.
    pub answer: answer::Search,
}

/// One call or return of a non-idempotent request, in the order in which callers saw them.
#[derive(Debug, Clone, PartialEq)]
pub struct RunAction {
    /// The request's text, unique for each id.
    pub body: SmolStr,
    /// Distinguishes the sends of one id.
    pub send: usize,
    /// What was told; `None` at the call, and for a return without an answer.
    pub answer: Option<answer::Run>,
    /// Whether this is the call.
    pub is_call: bool,
}

/// Which promise a history breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The check.
    pub check: &'static str,
    /// What was seen.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.check, self.details)
    }
}

/// Everything that callers and upstreams saw.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Searches.
    pub searches: Vec<Search>,
    /// Non-idempotent requests.
    pub run_actions: Vec<RunAction>,
    /// What upstreams saw.
    pub events: Vec<Event>,
}

/// Runs every check.
pub fn all(record: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for search in &record.searches {
        violations.extend(own_answer(search));
        violations.extend(one_snapshot(search));
        violations.extend(consistent_answer(search));
        violations.extend(true_coverage(search, &record.events));
        violations.extend(search_not_run(search, &record.events));
    }
    violations.extend(at_most_once(record));
    violations.extend(true_run_outcome(record));
    violations.extend(linearizable(record));
    violations
}

/// A document as the stand-ins write it: service, key, version, text of the request.
fn fields(hit: &Hit) -> Option<(&str, u32, u64, &str)> {
    let mut parts = hit.document.splitn(4, '|');
    let service = parts.next()?;
    let key = parts.next()?.parse().ok()?;
    let version = parts.next()?.parse().ok()?;
    Some((service, key, version, parts.next()?))
}

fn violation(check: &'static str, details: String) -> Option<Violation> {
    Some(Violation { check, details })
}

/// Each document belongs to the request, and is whole.
pub fn own_answer(search: &Search) -> Option<Violation> {
    let foreign = |h: &&Hit| match fields(h) {
        Some((_, key, _, body)) => key != h.key || body != search.query,
        None => true,
    };
    let hit = search.answer.hits.iter().find(foreign)?;
    violation("own answer", format!("{} got {:?}", search.query, hit.document))
}

/// All documents of a service are of the stated version.
pub fn one_snapshot(search: &Search) -> Option<Violation> {
    let stated: BTreeMap<&str, u64> = search
        .answer
        .snapshot
        .iter()
        .map(|s| (s.service.as_str(), s.version.map_or(0, |v| v.0)))
        .collect();
    let mixed = |h: &&Hit| {
        fields(h).is_some_and(|(service, _, version, _)| stated.get(service) != Some(&version))
    };
    let hit = search.answer.hits.iter().find(mixed)?;
    let seen = format!("{} stated {stated:?}, got {:?}", search.query, hit.document);
    violation("one snapshot", seen)
}

/// Outcome, coverage, missing parts and documents of an answer fit together.
pub fn consistent_answer(search: &Search) -> Option<Violation> {
    let answer = &search.answer;
    let fits = match answer.outcome {
        Outcome::Complete => answer.coverage == Share::ONE && answer.missing.is_empty(),
        Outcome::Partial => answer.coverage < Share::ONE && !answer.missing.is_empty(),
        Outcome::NotRun | Outcome::Unknown => answer.hits.is_empty() && answer.reason.is_some(),
    };
    let missing: u64 = answer.missing.iter().map(|g| u64::from(g.keys.len())).sum();
    let all = u64::from(base::keyspace::SIZE) * answer.snapshot.len() as u64;
    let answered = matches!(answer.outcome, Outcome::Complete | Outcome::Partial);
    let exact = !answered || answer.coverage == Share::new(all.saturating_sub(missing), all);
    if fits && exact {
        return None;
    }
    let seen = format!(
        "{}: {} with coverage {}, {missing} keys missing, {} documents",
        search.query,
        answer.outcome,
        answer.coverage,
        answer.hits.len()
    );
    violation("consistent answer", seen)
}

/// The keys that an answer claims were really covered, on the stated snapshot.
pub fn true_coverage(search: &Search, events: &[Event]) -> Option<Violation> {
    if !matches!(search.answer.outcome, Outcome::Complete | Outcome::Partial) {
        return None;
    }
    for snapshot in &search.answer.snapshot {
        let mut missing = KeySet::new();
        let own = search.answer.missing.iter().filter(|g| g.service == snapshot.service);
        own.for_each(|g| missing.extend(&g.keys));
        let claimed = missing.gaps_in(base::keyspace::KeyRange::ALL);
        let mut delivered = KeySet::new();
        for event in events {
            if let Event::Ran { service, body, map, version, covered, .. } = event {
                let same = *service == snapshot.service && *body == search.query;
                if same && *map == snapshot.map && *version == snapshot.version {
                    delivered.extend(covered);
                }
            }
        }
        let unmet = claimed.ranges().iter().find(|r| !delivered.gaps_in(**r).is_empty());
        if let Some(range) = unmet {
            let seen = format!("{} claims {range} of {}", search.query, snapshot.service);
            return violation("true coverage", seen);
        }
    }
    None
}

/// A search told "not run" ran nowhere.
pub fn search_not_run(search: &Search, events: &[Event]) -> Option<Violation> {
    if search.answer.outcome != Outcome::NotRun || runs_of(&search.query, events) == 0 {
        return None;
    }
    violation("not run", format!("search {} ran", search.query))
}

fn runs_of(text: &str, events: &[Event]) -> usize {
    let same = |e: &&Event| matches!(e, Event::Ran { body, .. } if body == text);
    events.iter().filter(same).count()
}

/// No id ran twice.
pub fn at_most_once(record: &History) -> Option<Violation> {
    let bodies = record.run_actions.iter().map(|r| &r.body);
    let twice = bodies.into_iter().find(|b| runs_of(b, &record.events) > 1)?;
    violation("at most once", format!("{twice} ran {} times", runs_of(twice, &record.events)))
}

/// No id told "not run" ran, and one told "complete" did, with its own answer.
pub fn true_run_outcome(record: &History) -> Option<Violation> {
    for run in &record.run_actions {
        let Some(told) = &run.answer else { continue };
        let ran = runs_of(&run.body, &record.events);
        let wrong = match told.outcome {
            Outcome::NotRun => ran > 0,
            Outcome::Complete => {
                ran == 0 || !told.body.as_ref().is_some_and(|b| b.ends_with(run.body.as_str()))
            }
            Outcome::Unknown => false,
            Outcome::Partial => true,
        };
        if wrong {
            let seen = format!("{} was told {}, ran {ran} times", run.body, told.outcome);
            return violation("told as it was", seen);
        }
    }
    None
}

/// What is told of one id over all its sends could have been told by one process that decides
/// once.
struct Identity;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Decision {
    Open,
    Ran,
    Refused,
}

impl Specification for Identity {
    type State = Decision;
    type Operation = Option<Outcome>;

    fn init() -> Decision {
        Decision::Open
    }

    fn apply(told: &Option<Outcome>, state: &Decision) -> (bool, Decision) {
        match (told, state) {
            (Some(Outcome::Complete), Decision::Open | Decision::Ran) => (true, Decision::Ran),
            (Some(Outcome::NotRun), Decision::Open | Decision::Refused) => {
                (true, Decision::Refused)
            }
            (Some(Outcome::Complete | Outcome::NotRun | Outcome::Partial), _) => {
                (false, state.clone())
            }
            // "Unknown" and silence claim nothing.
            (Some(Outcome::Unknown) | None, _) => (true, state.clone()),
        }
    }
}

/// A call or a return of the send with that number.
type Step = (usize, Action<Option<Outcome>>);

/// All sends of one id are told one linearizable story.
pub fn linearizable(record: &History) -> Option<Violation> {
    let mut by_id: BTreeMap<&SmolStr, Vec<Step>> = BTreeMap::new();
    for run in &record.run_actions {
        let told = run.answer.as_ref().map(|t| t.outcome);
        let action = if run.is_call { Action::Call(None) } else { Action::Response(told) };
        by_id.entry(&run.body).or_default().push((run.send, action));
    }
    for (body, actions) in by_id {
        let history = todc_utils::History::from_actions(actions.clone());
        if !WGLChecker::<Identity>::is_linearizable(history) {
            return violation("one story", format!("{body}: {actions:?}"));
        }
    }
    None
}

/// Upstreams lost to requests with the text `body`.
pub fn crashed_upstreams(body: &str, events: &[Event]) -> Vec<id::Upstream> {
    let of = |e: &Event| match e {
        Event::Crashed { upstream, body: b } if b == body => Some(*upstream),
        _ => None,
    };
    events.iter().filter_map(of).collect()
}
