//! Plan of one query, the progress of its groups, and the merge of their slices.

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

/// What stays fixed while a query runs.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) scopes: Vec<Scope>,
    pub(crate) rank: u8,
    pub(crate) idempotent: bool,
    pub(crate) fingerprint: u64,
    pub(crate) limit: usize,
    pub(crate) body: Arc<str>,
    pub(crate) deadline: Instant,
}

/// One service of a plan.
#[derive(Debug, Clone)]
pub(crate) struct Scope {
    pub(crate) service: Arc<Service>,
    pub(crate) version: Option<Version>,
}

/// One group of a plan: index of its scope, and the group within its service.
pub(crate) type Target = (usize, id::Group);

impl Plan {
    pub(crate) fn targets(&self) -> Vec<Target> {
        let of = |(i, s): (usize, &Scope)| {
            (0..s.service.groups.len()).map(move |g| (i, id::Group(g as u16)))
        };
        self.scopes.iter().enumerate().flat_map(of).collect()
    }

    pub(crate) fn range(&self, (scope, group): Target) -> KeyRange {
        self.scopes[scope].service.groups[usize::from(group.0)].range
    }
}

/// Progress of one group.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) target: Target,
    pub(crate) best: Option<GroupAnswer>,
    /// Leaves not yet asked, in order of preference.
    pub(crate) leaves: Vec<id::Node>,
    pub(crate) pending: usize,
    pub(crate) fate: Fate,
    pub(crate) reason: Option<Reason>,
}

impl Progress {
    pub(crate) fn take(&mut self, slice: GroupAnswer) {
        self.pending -= 1;
        self.fate = self.fate.combine(slice.part.fate);
        let better = |best: &GroupAnswer| slice.part.covered.len() > best.part.covered.len();
        if self.best.as_ref().is_none_or(better) {
            self.best = Some(slice);
        }
    }
}

/// The sections of a message for `targets`, which are in plan order.
pub(crate) fn sections(plan: &Plan, targets: &[Target]) -> Vec<ServiceGroups> {
    let mut sections: Vec<(usize, ServiceGroups)> = Vec::new();
    for (scope, group) in targets {
        match sections.last_mut() {
            Some((last, section)) if last == scope => section.groups.push(*group),
            _ => {
                let Scope { service, version } = &plan.scopes[*scope];
                let (service, map) = (service.name.clone(), service.map);
                let section =
                    ServiceGroups { service, map, version: *version, groups: vec![*group] };
                sections.push((*scope, section));
            }
        }
    }
    sections.into_iter().map(|(_, section)| section).collect()
}

/// Whether too much has failed for an answer under `rule`; waiting longer is then no use.
pub(crate) fn hopeless(plan: &Plan, rule: CoverageRule, progress: &[Progress]) -> bool {
    let mut all = 0;
    let mut reachable = 0;
    for p in progress {
        let reason = p.best.as_ref().and_then(|b| b.part.reason);
        let keys = u64::from(plan.range(p.target).len());
        let held = p.best.as_ref().map_or(0, |b| u64::from(b.part.covered.len()));
        let over = p.pending == 0 && (p.best.is_none() || reason.is_some());
        all += keys;
        reachable += if over { held } else { keys };
    }
    Share::new(reachable, all) < rule.min_share()
}

/// The slice that a group ends with; `open` is the reason if it was still being waited for.
pub(crate) fn finish(plan: &Plan, progress: Progress, open: Reason) -> GroupAnswer {
    let pending = if progress.pending > 0 { Fate::MayHaveRun } else { Fate::NotRun };
    let fate = progress.fate.combine(pending);
    if let Some(mut slice) = progress.best {
        slice.part.fate = fate.combine(slice.part.fate);
        return slice;
    }
    let reason = progress.reason.filter(|_| progress.pending == 0).unwrap_or(open);
    let part = Part {
        service: plan.scopes[progress.target.0].service.name.clone(),
        group: progress.target.1,
        range: plan.range(progress.target),
        covered: KeySet::new(),
        reason: Some(reason),
        fate,
    };
    GroupAnswer::missing(part, reason)
}

/// Merges the slices of all groups into the answer that `rule` allows; `fate` is that of
/// earlier plans of the query.
pub(crate) fn merge(
    plan: &Plan,
    slices: Vec<GroupAnswer>,
    rule: CoverageRule,
    fate: Fate,
) -> answer::Search {
    let (parts, hits): (Vec<Part>, Vec<Vec<Hit>>) =
        slices.into_iter().map(|s| (s.part, s.hits)).unzip();
    let mut summary = coverage::summarize(&parts);
    summary.fate = summary.fate.combine(fate);
    let (outcome, reason) = coverage::decide_outcome(rule, &summary);
    let mut hits: Vec<Hit> = match reason {
        Some(_) => Vec::new(),
        None => hits.into_iter().flatten().collect(),
    };
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.document.cmp(&b.document)));
    hits.truncate(plan.limit);
    let snapshot = |s: &Scope| Snapshot {
        service: s.service.name.clone(),
        map: s.service.map,
        version: s.version,
    };
    answer::Search {
        outcome,
        reason,
        retry_after_ms: reason.and_then(Reason::retry_after).map(|d| d.as_millis() as u64),
        snapshot: plan.scopes.iter().map(snapshot).collect(),
        coverage: if reason.is_some() { Share::ZERO } else { summary.share },
        missing: summary.gaps,
        hits,
        trace: Default::default(),
    }
}

/// Fingerprint of a request's text, the same for texts that differ in white space only.
pub(crate) fn fingerprint(body: &str) -> u64 {
    let words: Vec<&str> = body.split_whitespace().collect();
    hash::stable(&[words.join(" ").as_bytes()])
}

pub(crate) fn unknown_service(name: &id::Service) -> caller::Error {
    caller::Error::new("services", format!("{name} is not known"))
}

/// Checks that `caller` may use `class` on `service`, and that the class suits the request.
pub(crate) fn check<'a>(
    deployment: &'a Deployment,
    caller: &id::Caller,
    class: &id::Class,
    service: &id::Service,
    at_most_once: bool,
) -> Result<&'a Class, caller::Error> {
    let known = deployment.callers.iter().find(|c| c.name == *caller);
    let known =
        known.ok_or_else(|| caller::Error::new("caller", format!("{caller} is not known")))?;
    if !known.classes.contains(class) {
        let allowed: Vec<&str> = known.classes.iter().map(id::Class::as_str).collect();
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

/// Time that a request may take: what it asks for, and no more than its class allows.
pub(crate) fn allowed_time(
    class: &Class,
    asked_ms: Option<u64>,
) -> Result<Duration, caller::Error> {
    match asked_ms {
        Some(0) => Err(caller::Error::new("deadline_ms", "read 0, allowed 1 and up".to_owned())),
        Some(ms) => Ok(class.deadline().min(Duration::from_millis(ms))),
        None => Ok(class.deadline()),
    }
}
