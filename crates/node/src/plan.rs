//! Plan of one query, progress of its shard groups, and merge of the group answers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    hash, id,
    keyspace::{KeyRange, KeySet},
    unit::{Share, Version},
};
use config::deployment::{Class, CoverageRule, Deployment, Service};
use policy::{
    coverage::{self, Part},
    outcome::{Fate, Reason},
};
use wire::{
    answer::{self, Hit, Snapshot},
    caller,
    peer::{GroupAnswer, ServiceGroups},
};

/// Parameters of a query that do not change while it runs.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) services: Vec<ServicePlan>,
    /// Rank of the class; 0 is served first.
    pub(crate) rank: u8,
    pub(crate) idempotent: bool,
    pub(crate) fingerprint: u64,
    /// Largest number of hits in the answer.
    pub(crate) limit: usize,
    pub(crate) body: Arc<str>,
    pub(crate) deadline: Instant,
}

/// One service of a plan, with the index version to query.
#[derive(Debug, Clone)]
pub(crate) struct ServicePlan {
    pub(crate) service: Arc<Service>,
    pub(crate) version: Option<Version>,
}

/// One shard group of a plan: the index of its service in the plan, and the group.
pub(crate) type Target = (usize, id::Group);

impl Plan {
    /// Returns all groups of all services, in plan order.
    pub(crate) fn targets(&self) -> Vec<Target> {
        let groups = |(i, s): (usize, &ServicePlan)| {
            (0..s.service.groups.len()).map(move |g| (i, id::Group(g as u16)))
        };
        self.services.iter().enumerate().flat_map(groups).collect()
    }

    /// Returns the key range of a group.
    pub(crate) fn range(&self, (service, group): Target) -> KeyRange {
        self.services[service].service.groups[usize::from(group.0)].range
    }
}

/// Progress of one shard group.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) target: Target,
    /// Answer with the highest coverage so far.
    pub(crate) best: Option<GroupAnswer>,
    /// Leaves that have not been tried, the most preferred last.
    pub(crate) leaves: Vec<id::Node>,
    /// Number of leaves whose answer is outstanding.
    pub(crate) pending: usize,
    pub(crate) fate: Fate,
    /// Reason of the last failed request to a leaf.
    pub(crate) reason: Option<Reason>,
}

impl Progress {
    /// Records an answer of a leaf, and keeps it if it covers more keys than the previous best.
    pub(crate) fn record_answer(&mut self, answer: GroupAnswer) {
        self.pending -= 1;
        self.fate = self.fate.combine(answer.part.fate);
        let better = |best: &GroupAnswer| answer.part.covered.len() > best.part.covered.len();
        if self.best.as_ref().is_none_or(better) {
            self.best = Some(answer);
        }
    }
}

/// Returns the sections of the message for `targets`, one for each service. `targets` must be in
/// plan order.
pub(crate) fn sections(plan: &Plan, targets: &[Target]) -> Vec<ServiceGroups> {
    let mut sections: Vec<(usize, ServiceGroups)> = Vec::new();
    for (index, group) in targets {
        match sections.last_mut() {
            Some((last, section)) if last == index => section.groups.push(*group),
            _ => {
                let ServicePlan { service, version } = &plan.services[*index];
                let (service, map) = (service.name.clone(), service.map);
                let section =
                    ServiceGroups { service, map, version: *version, groups: vec![*group] };
                sections.push((*index, section));
            }
        }
    }
    sections.into_iter().map(|(_, section)| section).collect()
}

/// Returns whether so many groups have failed that `rule` cannot be met any more, so that there
/// is no use in waiting longer.
pub(crate) fn cannot_meet_coverage(plan: &Plan, rule: CoverageRule, progress: &[Progress]) -> bool {
    let mut planned = 0;
    let mut reachable = 0;
    for p in progress {
        let reason = p.best.as_ref().and_then(|b| b.part.reason);
        let keys = u64::from(plan.range(p.target).len());
        let covered = p.best.as_ref().map_or(0, |b| u64::from(b.part.covered.len()));
        let failed = p.pending == 0 && (p.best.is_none() || reason.is_some());
        planned += keys;
        reachable += if failed { covered } else { keys };
    }
    Share::new(reachable, planned) < rule.min_share()
}

/// Returns the final answer of a group. `open_reason` is the reason of a group whose leaf has not
/// answered.
pub(crate) fn finish(plan: &Plan, progress: Progress, open_reason: Reason) -> GroupAnswer {
    let pending = if progress.pending > 0 { Fate::MayHaveRun } else { Fate::NotRun };
    let fate = progress.fate.combine(pending);
    if let Some(mut answer) = progress.best {
        answer.part.fate = fate.combine(answer.part.fate);
        return answer;
    }
    let reason = progress.reason.filter(|_| progress.pending == 0).unwrap_or(open_reason);
    let part = Part {
        service: plan.services[progress.target.0].service.name.clone(),
        group: progress.target.1,
        range: plan.range(progress.target),
        covered: KeySet::new(),
        reason: Some(reason),
        fate,
    };
    GroupAnswer::missing(part, reason)
}

/// Merges the answers of all groups into the answer that `rule` allows. `query_fate` is the
/// combined fate of all plans that this query ran, those before a restart included.
pub(crate) fn merge(
    plan: &Plan,
    answers: Vec<GroupAnswer>,
    rule: CoverageRule,
    query_fate: Fate,
) -> answer::Search {
    let (parts, hits): (Vec<Part>, Vec<Vec<Hit>>) =
        answers.into_iter().map(|a| (a.part, a.hits)).unzip();
    let mut summary = coverage::summarize(&parts);
    summary.fate = summary.fate.combine(query_fate);
    let (outcome, reason) = coverage::decide_outcome(rule, &summary);
    let mut hits: Vec<Hit> = match reason {
        Some(_) => Vec::new(),
        None => hits.into_iter().flatten().collect(),
    };
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.document.cmp(&b.document)));
    hits.truncate(plan.limit);
    let snapshot = |s: &ServicePlan| Snapshot {
        service: s.service.name.clone(),
        map: s.service.map,
        version: s.version,
    };
    answer::Search {
        outcome,
        reason,
        retry_after_ms: reason.and_then(Reason::retry_after).map(|d| d.as_millis() as u64),
        snapshot: plan.services.iter().map(snapshot).collect(),
        coverage: if reason.is_some() { Share::ZERO } else { summary.share },
        missing: summary.gaps,
        hits,
        trace: Default::default(),
    }
}

/// Returns the fingerprint of a request's text. Texts that differ only in white space have the
/// same fingerprint.
pub(crate) fn fingerprint(body: &str) -> u64 {
    let words: Vec<&str> = body.split_whitespace().collect();
    hash::stable(&[words.join(" ").as_bytes()])
}

pub(crate) fn unknown_service(name: &id::Service) -> caller::Error {
    caller::Error::new("services", format!("{name} is not known"))
}

/// Checks that `caller` may use `class` on `service`, and that the class is for this kind of
/// request. Returns the class.
pub(crate) fn check<'a>(
    deployment: &'a Deployment,
    caller: &id::Caller,
    class: &id::Class,
    service: &id::Service,
    at_most_once: bool,
) -> Result<&'a Class, caller::Error> {
    let entry = deployment.callers.iter().find(|c| c.name == *caller);
    let entry =
        entry.ok_or_else(|| caller::Error::new("caller", format!("{caller} is not known")))?;
    if !entry.classes.contains(class) {
        let allowed: Vec<&str> = entry.classes.iter().map(id::Class::as_str).collect();
        let reason = format!("read {class:?}, allowed {}", allowed.join(", "));
        return Err(caller::Error::new("class", reason));
    }
    let class = deployment
        .class(class)
        .ok_or_else(|| caller::Error::new("class", format!("{class} is not known")))?;
    if !class.services.contains(service) {
        let allowed: Vec<&str> = class.services.iter().map(id::Service::as_str).collect();
        let reason = format!("read {service:?}, allowed {}", allowed.join(", "));
        return Err(caller::Error::new("service", reason));
    }
    if class.at_most_once != at_most_once {
        let path = if class.at_most_once { caller::RUN_PATH } else { caller::SEARCH_PATH };
        return Err(caller::Error::new("class", format!("{} is served at {path}", class.name)));
    }
    Ok(class)
}

/// Returns the time that a request may take: the requested time, capped by the deadline of its
/// class. A requested time of 0 ms is an error.
pub(crate) fn allowed_time(
    class: &Class,
    requested_ms: Option<u64>,
) -> Result<Duration, caller::Error> {
    match requested_ms {
        Some(0) => Err(caller::Error::new("deadline_ms", "read 0, allowed 1 and up".to_owned())),
        Some(ms) => Ok(class.deadline().min(Duration::from_millis(ms))),
        None => Ok(class.deadline()),
    }
}
