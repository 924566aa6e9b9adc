//! Root role: admits a caller's search, plans it, spreads it over leaves, merges the answer.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    hash::FastMap,
    id,
    unit::{Generation, Version},
};
use config::{
    deployment::{Class, CoverageRule, Service},
    settings::Routing,
};
use futures::{StreamExt, stream::FuturesUnordered};
use parking_lot::Mutex;
use policy::{
    admission::{AdmissionController, Permit},
    membership::Status,
    outcome::{Fate, Outcome, Reason},
    replica::Window,
    routing, version,
};
use tracing::Instrument;
use wire::{
    answer::{self},
    caller,
    peer::{self, GroupAnswer},
};

use crate::{
    context::Context,
    counter::Counter,
    external::{BoxFuture, PeerError},
    leaf::Leaf,
    plan::{self, Plan, Progress, Scope, Target},
    trace,
};

/// Time kept back at each hop for the way back.
const HOP_MARGIN: Duration = Duration::from_millis(2);
/// Searches planned again for a newer version.
const RESTARTS: u32 = 2;
/// Leaves asked for one group.
const LEAVES: usize = 3;
/// Share of the time left after which a silent leaf's groups are asked for elsewhere.
const SILENCE: f64 = 0.5;
/// Shard maps of one service whose windows are kept.
const MAPS_KEPT: u64 = 2;
/// Time for a leaf to tell the windows of its groups.
const WINDOWS_TIMEOUT: Duration = Duration::from_millis(20);
/// Age from which known windows are refreshed beside a query.
const WINDOWS_AGE: Duration = Duration::from_secs(1);

/// The root of one node.
#[derive(Debug)]
pub struct Root {
    context: Arc<Context>,
    leaf: Arc<Leaf>,
    gate: Mutex<AdmissionController>,
    windows: Mutex<FastMap<(id::Service, Generation), Known>>,
}

/// Windows of a service's groups, as last heard of.
#[derive(Debug, Clone)]
struct Known {
    windows: Vec<Option<Window>>,
    at: Instant,
}

/// One leaf's answer for some groups.
struct Reply {
    /// Indices into the progress of the query.
    asked: Vec<usize>,
    result: Result<Vec<GroupAnswer>, PeerError>,
}

enum Event {
    Reply(Reply),
    /// These groups' leaf has been silent for long.
    Silent(Vec<usize>),
}

impl Root {
    /// A root that may use `leaf` as the one in its own process.
    pub fn new(context: Arc<Context>, leaf: Arc<Leaf>) -> Root {
        let gate = AdmissionController::new(context.settings.max_requests);
        Root { context, leaf, gate: Mutex::new(gate), windows: Mutex::default() }
    }

    /// Limit on requests of classes that do not go first.
    pub fn lower_limit(&self) -> usize {
        self.gate.lock().lower_limit()
    }

    /// Answers a search.
    ///
    /// An error means that the request was not understood and has not run.
    pub async fn search(&self, call: caller::Search) -> Result<answer::Search, caller::Error> {
        let arrived = self.context.now();
        let Some(value) = self.context.config_for_callers() else {
            return Ok(self.count(answer::Search::unanswered(Outcome::NotRun, Reason::NotReady)));
        };
        if call.services.is_empty() {
            return Err(caller::Error::new("services", "none given".to_owned()));
        }
        let mut scopes = Vec::new();
        for (i, name) in call.services.iter().enumerate() {
            plan::check(&value.deployment, &call.caller, &call.class, name, false)?;
            if call.services[..i].contains(name) {
                return Err(caller::Error::new("services", format!("{name} stands twice")));
            }
            let service = value.service(name);
            let service = service.ok_or_else(|| plan::unknown_service(name))?;
            scopes.push(Scope { service: service.clone(), version: None });
        }
        let class =
            plan::check(&value.deployment, &call.caller, &call.class, &call.services[0], false)?;
        let limit = call.limit.unwrap_or(caller::DEFAULT_HITS);
        if limit == 0 || limit > caller::MAX_HITS {
            let reason = format!("read {limit}, allowed 1 to {}", caller::MAX_HITS);
            return Err(caller::Error::new("limit", reason));
        }
        let deadline = arrived + plan::allowed_time(class, call.deadline_ms)?;
        let fingerprint = plan::fingerprint(&call.query);
        if self.context.is_quarantined(fingerprint) {
            return Ok(self.count(answer::Search::unanswered(Outcome::NotRun, Reason::Quarantined)));
        }
        let Some(admitted) = self.admit(class.rank) else {
            return Ok(self.count(answer::Search::unanswered(Outcome::NotRun, Reason::Overload)));
        };
        let plan = Plan {
            scopes,
            rank: class.rank,
            idempotent: true,
            fingerprint,
            limit,
            body: call.query.into(),
            deadline: deadline.checked_sub(HOP_MARGIN).unwrap_or(deadline),
        };
        let answer = self.run(plan, class.coverage).await;
        // A partial answer that lacks groups for load is as much a sign of overload.
        let lacks = answer.reason.or_else(|| answer.missing.first().map(|g| g.reason));
        admitted.settle(lacks);
        Ok(self.count(answer))
    }

    /// Runs a non-idempotent request on the group that holds `key`, with one attempt.
    pub async fn execute(
        &self,
        service: &Arc<Service>,
        class: &Class,
        key: &str,
        body: &str,
        deadline: Instant,
    ) -> Result<GroupAnswer, (Reason, Fate)> {
        let fingerprint = plan::fingerprint(body);
        if self.context.is_quarantined(fingerprint) {
            return Err((Reason::Quarantined, Fate::NotRun));
        }
        let admitted = self.admit(class.rank).ok_or((Reason::Overload, Fate::NotRun))?;
        let place = base::keyspace::hash_key(key.as_bytes());
        let index = service.groups.iter().position(|g| g.range.contains(place)).unwrap_or(0);
        let group = id::Group(index as u16);
        let version = match service.versioned {
            true => Some(
                self.version(service, false).await.ok_or((Reason::Unreachable, Fate::NotRun))?,
            ),
            false => None,
        };
        let plan = Plan {
            scopes: vec![Scope { service: service.clone(), version }],
            rank: class.rank,
            idempotent: false,
            fingerprint,
            limit: 1,
            body: body.into(),
            deadline: deadline.checked_sub(HOP_MARGIN).unwrap_or(deadline),
        };
        let leaf = self.leaves(service, group, &self.cells()).first().copied();
        let leaf = leaf.unwrap_or(self.context.node);
        let left = plan.deadline.saturating_duration_since(self.context.now());
        let asked = tokio::time::timeout(left, self.ask(&plan, leaf, vec![0], &[(0, group)])).await;
        let result = match asked {
            Err(_) => Err((Reason::Deadline, Fate::MayHaveRun)),
            Ok(Reply { result: Ok(mut slices), .. }) if slices.len() == 1 => {
                let slice = slices.remove(0);
                match slice.part.reason {
                    Some(reason) if slice.hits.is_empty() => Err((reason, slice.part.fate)),
                    _ => Ok(slice),
                }
            }
            Ok(Reply { result, .. }) => Err(of_peer(result.err())),
        };
        admitted.settle(result.as_ref().err().map(|(reason, _)| *reason));
        result
    }

    fn admit(&self, rank: u8) -> Option<Admitted<'_>> {
        let pass = self.gate.lock().try_admit(rank);
        match pass {
            Some(pass) => Some(Admitted { root: self, pass: Some(pass) }),
            None => {
                self.context.counters.count(Counter::AdmissionRefused);
                None
            }
        }
    }

    fn count(&self, mut answer: answer::Search) -> answer::Search {
        self.context.counters.count(match answer.outcome {
            Outcome::Complete => Counter::SearchComplete,
            Outcome::Partial => Counter::SearchPartial,
            Outcome::NotRun => Counter::SearchNotRun,
            Outcome::Unknown => Counter::SearchUnknown,
        });
        answer.trace = trace::current_trace_id(&self.context);
        answer
    }

    async fn run(&self, mut plan: Plan, rule: CoverageRule) -> answer::Search {
        let mut fate = Fate::NotRun;
        let mut restarts = 0;
        loop {
            if !self.fix_versions(&mut plan, restarts > 0).await {
                let outcome = Outcome::unanswered(fate);
                return answer::Search::unanswered(outcome, Reason::Unreachable);
            }
            let slices = self.fan_out(&plan, rule, restarts < RESTARTS).await;
            fate = slices.iter().fold(fate, |f, s| f.combine(s.part.fate));
            let gone = slices.iter().any(|s| s.part.reason == Some(Reason::Version));
            let time_left = plan.deadline > self.context.now() + HOP_MARGIN;
            if gone && time_left && restarts < RESTARTS && self.newer_exists(&plan).await {
                restarts += 1;
                self.context.counters.count(Counter::SearchRestarted);
                continue;
            }
            return plan::merge(&plan, slices, rule, fate);
        }
    }

    /// Fixes the versions of a plan; returns false if one cannot be learned in time.
    async fn fix_versions(&self, plan: &mut Plan, fresh: bool) -> bool {
        let left = plan.deadline.saturating_duration_since(self.context.now());
        let versions = plan.scopes.iter().map(|s| async move {
            match s.service.versioned {
                true => self.version(&s.service, fresh).await.map(Some),
                false => Some(None),
            }
        });
        let versions = tokio::time::timeout(left, futures::future::join_all(versions)).await;
        let Ok(versions) = versions else { return false };
        for (scope, version) in plan.scopes.iter_mut().zip(versions) {
            let Some(version) = version else { return false };
            scope.version = version;
        }
        true
    }

    async fn newer_exists(&self, plan: &Plan) -> bool {
        let mut fresh = plan.clone();
        let known = self.fix_versions(&mut fresh, true).await;
        let changed = |(a, b): (&Scope, &Scope)| a.version != b.version;
        known && plan.scopes.iter().zip(&fresh.scopes).any(changed)
    }

    /// Version to plan with; asks the leaves if some group's window is not known, or `fresh`.
    async fn version(&self, service: &Service, fresh: bool) -> Option<Version> {
        let key = (service.name.clone(), service.map);
        let known = self.windows.lock().get(&key).cloned();
        let now = self.context.now();
        let complete = known.as_ref().filter(|k| k.windows.iter().all(Option::is_some));
        match complete {
            Some(known) if !fresh && now.saturating_duration_since(known.at) < WINDOWS_AGE => {
                version::choose(&known.windows)
            }
            _ => {
                let windows = self.ask_windows(service).await;
                let mut all = self.windows.lock();
                // Those of maps that no running query can be planned on any more.
                all.retain(|(name, map), _| {
                    *name != service.name || map.0 + MAPS_KEPT > service.map.0
                });
                all.insert(key, Known { windows: windows.clone(), at: now });
                drop(all);
                version::choose(&windows)
            }
        }
    }

    async fn ask_windows(&self, service: &Service) -> Vec<Option<Window>> {
        let cells = self.cells();
        let mut by_leaf: BTreeMap<id::Node, Vec<id::Group>> = BTreeMap::new();
        for index in 0..service.groups.len() {
            let group = id::Group(index as u16);
            if let Some(leaf) = self.leaves(service, group, &cells).first() {
                by_leaf.entry(*leaf).or_default().push(group);
            }
        }
        let asked = by_leaf.into_iter().map(|(node, groups)| async move {
            let answer = if node == self.context.node {
                Ok(self.leaf.windows(&service.name, &groups).await)
            } else {
                let asked =
                    self.context.external.peer.windows(node, service.name.clone(), groups.clone());
                let answer = tokio::time::timeout(WINDOWS_TIMEOUT, asked).await;
                answer.unwrap_or(Err(PeerError::Lost))
            };
            match answer {
                Ok(windows) => (groups, windows),
                // A dead leaf must not keep the query from being planned.
                Err(_) => {
                    let own = self.leaf.windows(&service.name, &groups);
                    let unknown = vec![None; groups.len()];
                    let windows = tokio::time::timeout(WINDOWS_TIMEOUT, own).await;
                    (groups, windows.unwrap_or(unknown))
                }
            }
        });
        let mut all = vec![None; service.groups.len()];
        for (groups, windows) in futures::future::join_all(asked).await {
            for (group, window) in groups.into_iter().zip(windows) {
                all[usize::from(group.0)] = window;
            }
        }
        all
    }

    /// Nodes that may be leaves: those of the own failure domain, then those of the others.
    fn cells(&self) -> Vec<Vec<id::Node>> {
        let context = &self.context;
        if context.settings.routing == Routing::Direct {
            return vec![vec![context.node]];
        }
        let mut domains: BTreeMap<&id::Domain, Vec<id::Node>> = BTreeMap::new();
        let view = context.view();
        for record in view.iter().filter(|r| r.status == Status::Alive && r.serving) {
            domains.entry(&record.domain).or_default().push(record.node);
        }
        let mut own = domains.remove(&context.settings.domain).unwrap_or_default();
        own.push(context.node);
        std::iter::once(own).chain(domains.into_values()).collect()
    }

    fn leaves(
        &self,
        service: &Service,
        group: id::Group,
        cells: &[Vec<id::Node>],
    ) -> Vec<id::Node> {
        let ranked: Vec<Vec<id::Node>> =
            cells.iter().map(|nodes| routing::ranked_leaves(&service.name, group, nodes)).collect();
        // The first choice of each cell comes before the second choice of any.
        let depth = ranked.iter().map(Vec::len).max().unwrap_or(0);
        let rounds = (0..depth).flat_map(|i| ranked.iter().filter_map(move |r| r.get(i)));
        let mut leaves: Vec<id::Node> = rounds.copied().take(LEAVES).collect();
        // This node can always be reached; it is the last resort.
        if !leaves.contains(&self.context.node) {
            leaves.push(self.context.node);
        }
        leaves
    }

    async fn fan_out(
        &self,
        plan: &Plan,
        rule: CoverageRule,
        may_restart: bool,
    ) -> Vec<GroupAnswer> {
        let mut progress = self.progress(plan);
        let mut events: FuturesUnordered<Waiting<'_>> = FuturesUnordered::new();
        let all: Vec<usize> = (0..progress.len()).collect();
        self.assign(plan, &mut progress, &all, &mut events);
        let left = plan.deadline.saturating_duration_since(self.context.now());
        let deadline = tokio::time::sleep(left);
        tokio::pin!(deadline);
        while progress.iter().any(|p| p.pending > 0) {
            let outdated = may_restart && self.is_outdated(plan, &progress);
            if outdated || plan::hopeless(plan, rule, &progress) {
                break;
            }
            tokio::select! {
                biased;
                Some(event) = events.next() => {
                    let again = self.take(plan, &mut progress, event);
                    self.assign(plan, &mut progress, &again, &mut events);
                }
                () = &mut deadline => break,
            }
        }
        drop(events);
        // Groups still open were either cut off by the deadline or given up with the query.
        let expired = self.context.now() >= plan.deadline;
        let open = if expired { Reason::Deadline } else { Reason::Coverage };
        progress.into_iter().map(|p| plan::finish(plan, p, open)).collect()
    }

    /// Whether a group no longer serves its planned version and a newer plan would do better.
    fn is_outdated(&self, plan: &Plan, progress: &[Progress]) -> bool {
        let gone =
            |p: &&Progress| p.best.as_ref().is_some_and(|b| b.part.reason == Some(Reason::Version));
        progress.iter().filter(gone).any(|p| {
            let Scope { service, version } = &plan.scopes[p.target.0];
            let windows = self.windows.lock();
            let known = windows.get(&(service.name.clone(), service.map));
            known.is_some_and(|k| version::choose(&k.windows) != *version)
        })
    }

    fn progress(&self, plan: &Plan) -> Vec<Progress> {
        let cells = self.cells();
        let of = |target: Target| {
            let mut leaves = self.leaves(&plan.scopes[target.0].service, target.1, &cells);
            leaves.reverse();
            Progress { target, best: None, leaves, pending: 0, fate: Fate::NotRun, reason: None }
        };
        plan.targets().into_iter().map(of).collect()
    }

    /// Asks the next leaf of each of the groups `asked`; one message to each leaf.
    fn assign<'a>(
        &'a self,
        plan: &Plan,
        progress: &mut [Progress],
        asked: &[usize],
        events: &mut FuturesUnordered<Waiting<'a>>,
    ) {
        let mut by_leaf: BTreeMap<id::Node, Vec<usize>> = BTreeMap::new();
        for index in asked {
            let progress = &mut progress[*index];
            if let Some(leaf) = progress.leaves.pop() {
                progress.pending += 1;
                by_leaf.entry(leaf).or_default().push(*index);
            }
        }
        let left = plan.deadline.saturating_duration_since(self.context.now());
        for (leaf, asked) in by_leaf {
            let silent = asked.clone();
            let span = tracing::debug_span!("leaf", node = %leaf, groups = asked.len());
            let targets: Vec<Target> = asked.iter().map(|i| progress[*i].target).collect();
            // Made within the span, so that the hop continues it.
            let ask = span.in_scope(|| self.ask(plan, leaf, asked, &targets));
            let ask = async move { Event::Reply(ask.await) };
            events.push(Box::pin(ask.instrument(span)));
            if leaf != self.context.node {
                events.push(Box::pin(async move {
                    tokio::time::sleep(left.mul_f64(SILENCE)).await;
                    Event::Silent(silent)
                }));
            }
        }
    }

    /// Takes an event in; returns the groups to ask another leaf for.
    fn take(&self, plan: &Plan, progress: &mut [Progress], event: Event) -> Vec<usize> {
        let again: Vec<usize> = match event {
            Event::Silent(asked) => {
                let open = |i: &usize| progress[*i].pending > 0 && progress[*i].best.is_none();
                asked.into_iter().filter(open).collect()
            }
            Event::Reply(Reply { asked, result: Ok(slices) }) if slices.len() == asked.len() => {
                for (index, slice) in asked.into_iter().zip(slices) {
                    self.learn(plan, progress[index].target, &slice);
                    progress[index].take(slice);
                }
                Vec::new()
            }
            Event::Reply(Reply { asked, result }) => {
                let (reason, fate) = of_peer(result.err());
                for index in &asked {
                    let p = &mut progress[*index];
                    p.pending -= 1;
                    p.fate = p.fate.combine(fate);
                    p.reason = Some(reason);
                }
                asked
            }
        };
        self.context.counters.add(Counter::LeafReassigned, again.len() as u64);
        again
    }

    fn learn(&self, plan: &Plan, (scope, group): Target, slice: &GroupAnswer) {
        let service = &plan.scopes[scope].service;
        if !service.versioned || slice.window.is_none() {
            return;
        }
        let key = (service.name.clone(), service.map);
        let mut windows = self.windows.lock();
        let Some(known) = windows.get_mut(&key) else { return };
        known.at = self.context.now();
        if let Some(entry) = known.windows.get_mut(usize::from(group.0)) {
            *entry = slice.window;
        }
    }

    fn ask<'a>(
        &'a self,
        plan: &Plan,
        leaf: id::Node,
        asked: Vec<usize>,
        targets: &[Target],
    ) -> BoxFuture<'a, Reply> {
        let left = plan.deadline.saturating_duration_since(self.context.now());
        let remaining = left.checked_sub(HOP_MARGIN).unwrap_or_default();
        let request = peer::Search {
            hello: self.context.hello(),
            sections: plan::sections(plan, targets),
            rank: plan.rank,
            idempotent: plan.idempotent,
            fingerprint: plan.fingerprint,
            limit: plan.limit,
            body: plan.body.to_string(),
            remaining_ms: remaining.as_millis() as u64,
        };
        Box::pin(async move {
            let result = if leaf == self.context.node {
                self.leaf.search(request).await.map_err(PeerError::Refused)
            } else {
                self.context.external.peer.search(leaf, request).await
            };
            Reply { asked, result }
        })
    }
}

type Waiting<'a> = BoxFuture<'a, Event>;

/// A request that holds its place in the admission limit until dropped.
struct Admitted<'a> {
    root: &'a Root,
    pass: Option<Permit>,
}

impl Admitted<'_> {
    fn settle(mut self, reason: Option<Reason>) {
        if let Some(pass) = self.pass.take() {
            self.root.gate.lock().release(self.root.context.now(), pass, reason);
        }
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if let Some(pass) = self.pass.take() {
            self.root.gate.lock().release(self.root.context.now(), pass, None);
        }
    }
}

fn of_peer(error: Option<PeerError>) -> (Reason, Fate) {
    match error {
        Some(PeerError::Unreached) => (Reason::Unreachable, Fate::NotRun),
        Some(PeerError::Refused(peer::Refusal::Map)) => (Reason::Version, Fate::NotRun),
        Some(PeerError::Refused(_)) => (Reason::Overload, Fate::NotRun),
        // An answer that does not fit its request says nothing of what ran.
        Some(PeerError::Lost) | None => (Reason::Lost, Fate::MayHaveRun),
    }
}
