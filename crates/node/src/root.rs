//! Root role: admits a caller's search, plans it, fans it out to leaves and merges their answers.
//!
//! The shard groups of a silent or failed leaf are sent to another leaf. A search whose planned
//! index version is no longer served is restarted with a new plan.

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
    plan::{self, Plan, Progress, ServicePlan, Target},
    trace,
};

/// Part of the remaining time reserved at each hop for the answer to travel back.
const HOP_MARGIN: Duration = Duration::from_millis(2);
/// Largest number of restarts of one search with a new plan for a newer index version.
const MAX_RESTARTS: u32 = 2;
/// Largest number of leaves tried for one shard group, not counting this node as the last resort.
const MAX_LEAVES_PER_GROUP: usize = 3;
/// Share of the remaining time after which the groups of a silent leaf are hedged to another leaf.
const LEAF_HEDGE_SHARE: f64 = 0.5;
/// Number of shard maps of one service whose version windows are cached.
const CACHED_MAPS: u64 = 2;
/// Timeout for reading the version windows of groups from a leaf.
const WINDOWS_TIMEOUT: Duration = Duration::from_millis(20);
/// Age from which cached version windows are read again.
const WINDOW_CACHE_TTL: Duration = Duration::from_secs(1);

/// The root role of one node.
#[derive(Debug)]
pub struct Root {
    context: Arc<Context>,
    leaf: Arc<Leaf>,
    admission: Mutex<AdmissionController>,
    windows: Mutex<FastMap<(id::Service, Generation), CachedWindows>>,
}

/// Version windows of a service's groups, as last reported by their leaves.
#[derive(Debug, Clone)]
struct CachedWindows {
    /// Windows by group; `None` where no window was reported.
    windows: Vec<Option<Window>>,
    updated_at: Instant,
}

/// Answer of one leaf for the groups that it was sent.
struct LeafReply {
    /// Indices into the progress of the query.
    groups: Vec<usize>,
    result: Result<Vec<GroupAnswer>, PeerError>,
}

enum Event {
    Reply(LeafReply),
    /// The leaf of these groups may not have answered yet; they are due for a hedge.
    HedgeDue(Vec<usize>),
}

impl Root {
    /// Creates a root. `leaf` is the leaf role of the same node, called without a network hop.
    pub fn new(context: Arc<Context>, leaf: Arc<Leaf>) -> Root {
        let admission = AdmissionController::new(context.settings.max_requests);
        Root { context, leaf, admission: Mutex::new(admission), windows: Mutex::default() }
    }

    /// Returns the current limit on concurrent requests of classes below the first rank.
    pub fn lower_limit(&self) -> usize {
        self.admission.lock().lower_limit()
    }

    /// Answers a search.
    ///
    /// Returns an error if the request is invalid; it has not run then.
    pub async fn search(&self, call: caller::Search) -> Result<answer::Search, caller::Error> {
        let arrival = self.context.now();
        let Some(config) = self.context.config_for_callers() else {
            return Ok(self.finish(answer::Search::unanswered(Outcome::NotRun, Reason::NotReady)));
        };
        if call.services.is_empty() {
            return Err(caller::Error::new("services", "none given".to_owned()));
        }
        let mut services = Vec::new();
        for (i, name) in call.services.iter().enumerate() {
            plan::check(&config.deployment, &call.caller, &call.class, name, false)?;
            if call.services[..i].contains(name) {
                return Err(caller::Error::new("services", format!("{name} is listed twice")));
            }
            let service = config.service(name);
            let service = service.ok_or_else(|| plan::unknown_service(name))?;
            services.push(ServicePlan { service: service.clone(), version: None });
        }
        let class =
            plan::check(&config.deployment, &call.caller, &call.class, &call.services[0], false)?;
        let limit = call.limit.unwrap_or(caller::DEFAULT_HITS);
        if limit == 0 || limit > caller::MAX_HITS {
            let reason = format!("read {limit}, allowed 1 to {}", caller::MAX_HITS);
            return Err(caller::Error::new("limit", reason));
        }
        let deadline = arrival + plan::allowed_time(class, call.deadline_ms)?;
        let fingerprint = plan::fingerprint(&call.query);
        if self.context.is_quarantined(fingerprint) {
            let answer = answer::Search::unanswered(Outcome::NotRun, Reason::Quarantined);
            return Ok(self.finish(answer));
        }
        let Some(admitted) = self.admit(class.rank) else {
            return Ok(self.finish(answer::Search::unanswered(Outcome::NotRun, Reason::Overload)));
        };
        let plan = Plan {
            services,
            rank: class.rank,
            idempotent: true,
            fingerprint,
            limit,
            body: call.query.into(),
            deadline: deadline.checked_sub(HOP_MARGIN).unwrap_or(deadline),
        };
        let answer = self.run_search(plan, class.coverage).await;
        // A partial answer whose groups are missing because of load is a sign of overload too.
        let reason = answer.reason.or_else(|| answer.missing.first().map(|g| g.reason));
        admitted.release(reason);
        Ok(self.finish(answer))
    }

    /// Runs a non-idempotent request on the group whose range contains `key`. Sends it to one leaf
    /// only, without a hedge or a retry at another leaf.
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
        let position = base::keyspace::hash_key(key.as_bytes());
        let index = service.groups.iter().position(|g| g.range.contains(position)).unwrap_or(0);
        let group = id::Group(index as u16);
        let version = match service.versioned {
            true => Some(
                self.choose_version(service, false)
                    .await
                    .ok_or((Reason::Unreachable, Fate::NotRun))?,
            ),
            false => None,
        };
        let plan = Plan {
            services: vec![ServicePlan { service: service.clone(), version }],
            rank: class.rank,
            idempotent: false,
            fingerprint,
            limit: 1,
            body: body.into(),
            deadline: deadline.checked_sub(HOP_MARGIN).unwrap_or(deadline),
        };
        let leaf = self.ranked_leaves(service, group, &self.nodes_by_domain()).first().copied();
        let leaf = leaf.unwrap_or(self.context.node);
        let remaining = plan.deadline.saturating_duration_since(self.context.now());
        let call = self.send_to_leaf(&plan, leaf, vec![0], &[(0, group)]);
        let result = match tokio::time::timeout(remaining, call).await {
            Err(_) => Err((Reason::Deadline, Fate::MayHaveRun)),
            Ok(LeafReply { result: Ok(mut answers), .. }) if answers.len() == 1 => {
                let answer = answers.remove(0);
                match answer.part.reason {
                    Some(reason) if answer.hits.is_empty() => Err((reason, answer.part.fate)),
                    _ => Ok(answer),
                }
            }
            Ok(LeafReply { result, .. }) => Err(classify_leaf_failure(result.err())),
        };
        admitted.release(result.as_ref().err().map(|(reason, _)| *reason));
        result
    }

    fn admit(&self, rank: u8) -> Option<Admitted<'_>> {
        let permit = self.admission.lock().try_admit(rank);
        match permit {
            Some(permit) => Some(Admitted { root: self, permit: Some(permit) }),
            None => {
                self.context.counters.count(Counter::AdmissionRefused);
                None
            }
        }
    }

    /// Counts the outcome of an answer to a caller, and sets its trace id.
    fn finish(&self, mut answer: answer::Search) -> answer::Search {
        self.context.counters.count(match answer.outcome {
            Outcome::Complete => Counter::SearchComplete,
            Outcome::Partial => Counter::SearchPartial,
            Outcome::NotRun => Counter::SearchNotRun,
            Outcome::Unknown => Counter::SearchUnknown,
        });
        answer.trace = trace::current_trace_id(&self.context);
        answer
    }

    /// Runs an admitted search, and restarts it if its planned index version is no longer served
    /// and there is a newer one.
    async fn run_search(&self, mut plan: Plan, rule: CoverageRule) -> answer::Search {
        let mut fate = Fate::NotRun;
        let mut restarts = 0;
        loop {
            if !self.pin_versions(&mut plan, restarts > 0).await {
                let outcome = Outcome::unanswered(fate);
                return answer::Search::unanswered(outcome, Reason::Unreachable);
            }
            let answers = self.fan_out(&plan, rule, restarts < MAX_RESTARTS).await;
            fate = answers.iter().fold(fate, |f, a| f.combine(a.part.fate));
            let version_lost = answers.iter().any(|a| a.part.reason == Some(Reason::Version));
            let time_left = plan.deadline > self.context.now() + HOP_MARGIN;
            if version_lost
                && time_left
                && restarts < MAX_RESTARTS
                && self.newer_version_exists(&plan).await
            {
                restarts += 1;
                self.context.counters.count(Counter::SearchRestarted);
                continue;
            }
            return plan::merge(&plan, answers, rule, fate);
        }
    }

    /// Sets the index version of each versioned service of the plan; returns whether all of them
    /// could be determined before the deadline. `refresh` bypasses the cached windows.
    async fn pin_versions(&self, plan: &mut Plan, refresh: bool) -> bool {
        let remaining = plan.deadline.saturating_duration_since(self.context.now());
        let versions = plan.services.iter().map(|s| async move {
            match s.service.versioned {
                true => self.choose_version(&s.service, refresh).await.map(Some),
                false => Some(None),
            }
        });
        let versions = tokio::time::timeout(remaining, futures::future::join_all(versions)).await;
        let Ok(versions) = versions else { return false };
        for (service, version) in plan.services.iter_mut().zip(versions) {
            let Some(version) = version else { return false };
            service.version = version;
        }
        true
    }

    /// Returns whether current windows lead to versions other than those of `plan`.
    async fn newer_version_exists(&self, plan: &Plan) -> bool {
        let mut fresh = plan.clone();
        let pinned = self.pin_versions(&mut fresh, true).await;
        let changed = |(a, b): (&ServicePlan, &ServicePlan)| a.version != b.version;
        pinned && plan.services.iter().zip(&fresh.services).any(changed)
    }

    /// Returns the index version to plan with. Reads the windows from the leaves if `refresh` is
    /// set, or if the cached ones are incomplete or outdated.
    async fn choose_version(&self, service: &Service, refresh: bool) -> Option<Version> {
        let key = (service.name.clone(), service.map);
        let cached = self.windows.lock().get(&key).cloned();
        let now = self.context.now();
        let complete = cached.as_ref().filter(|c| c.windows.iter().all(Option::is_some));
        match complete {
            Some(cached)
                if !refresh
                    && now.saturating_duration_since(cached.updated_at) < WINDOW_CACHE_TTL =>
            {
                version::choose(&cached.windows)
            }
            _ => {
                let windows = self.fetch_windows(service).await;
                let mut cache = self.windows.lock();
                // Drops the windows of maps that no running query is planned on any more.
                cache.retain(|(name, map), _| {
                    *name != service.name || map.0 + CACHED_MAPS > service.map.0
                });
                cache.insert(key, CachedWindows { windows: windows.clone(), updated_at: now });
                drop(cache);
                version::choose(&windows)
            }
        }
    }

    /// Reads the windows of all groups of `service` from their preferred leaves.
    async fn fetch_windows(&self, service: &Service) -> Vec<Option<Window>> {
        let domains = self.nodes_by_domain();
        let mut by_leaf: BTreeMap<id::Node, Vec<id::Group>> = BTreeMap::new();
        for index in 0..service.groups.len() {
            let group = id::Group(index as u16);
            if let Some(leaf) = self.ranked_leaves(service, group, &domains).first() {
                by_leaf.entry(*leaf).or_default().push(group);
            }
        }
        let calls = by_leaf.into_iter().map(|(node, groups)| async move {
            let answer = if node == self.context.node {
                Ok(self.leaf.windows(&service.name, &groups).await)
            } else {
                let call =
                    self.context.external.peer.windows(node, service.name.clone(), groups.clone());
                let answer = tokio::time::timeout(WINDOWS_TIMEOUT, call).await;
                answer.unwrap_or(Err(PeerError::Lost))
            };
            match answer {
                Ok(windows) => (groups, windows),
                // Falls back to this node's own leaf, so that a dead leaf does not prevent the
                // query from being planned.
                Err(_) => {
                    let own = self.leaf.windows(&service.name, &groups);
                    let unknown = vec![None; groups.len()];
                    let windows = tokio::time::timeout(WINDOWS_TIMEOUT, own).await;
                    (groups, windows.unwrap_or(unknown))
                }
            }
        });
        let mut windows_by_group = vec![None; service.groups.len()];
        for (groups, windows) in futures::future::join_all(calls).await {
            for (group, window) in groups.into_iter().zip(windows) {
                windows_by_group[usize::from(group.0)] = window;
            }
        }
        windows_by_group
    }

    /// Returns the nodes that may serve as leaves, by failure domain, this node's domain first.
    fn nodes_by_domain(&self) -> Vec<Vec<id::Node>> {
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

    /// Returns the leaves to try for a group, in order of preference.
    fn ranked_leaves(
        &self,
        service: &Service,
        group: id::Group,
        domains: &[Vec<id::Node>],
    ) -> Vec<id::Node> {
        let ranked: Vec<Vec<id::Node>> = domains
            .iter()
            .map(|nodes| routing::ranked_leaves(&service.name, group, nodes))
            .collect();
        // The first choice of every domain comes before the second choice of any.
        let depth = ranked.iter().map(Vec::len).max().unwrap_or(0);
        let rounds = (0..depth).flat_map(|i| ranked.iter().filter_map(move |r| r.get(i)));
        let mut leaves: Vec<id::Node> = rounds.copied().take(MAX_LEAVES_PER_GROUP).collect();
        // This node is the last resort, because it is always reachable.
        if !leaves.contains(&self.context.node) {
            leaves.push(self.context.node);
        }
        leaves
    }

    /// Sends the plan to leaves and collects one answer for each group. Returns early if the
    /// coverage rule cannot be met any more, or, with `may_restart`, if the plan is outdated.
    async fn fan_out(
        &self,
        plan: &Plan,
        rule: CoverageRule,
        may_restart: bool,
    ) -> Vec<GroupAnswer> {
        let mut progress = self.initial_progress(plan);
        let mut events: FuturesUnordered<EventFuture<'_>> = FuturesUnordered::new();
        let all: Vec<usize> = (0..progress.len()).collect();
        self.send_to_next_leaves(plan, &mut progress, &all, &mut events);
        let remaining = plan.deadline.saturating_duration_since(self.context.now());
        let deadline = tokio::time::sleep(remaining);
        tokio::pin!(deadline);
        while progress.iter().any(|p| p.pending > 0) {
            let outdated = may_restart && self.is_outdated(plan, &progress);
            if outdated || plan::cannot_meet_coverage(plan, rule, &progress) {
                break;
            }
            tokio::select! {
                biased;
                Some(event) = events.next() => {
                    let reassigned = self.handle_event(plan, &mut progress, event);
                    self.send_to_next_leaves(plan, &mut progress, &reassigned, &mut events);
                }
                () = &mut deadline => break,
            }
        }
        drop(events);
        // Groups without an answer were cut off by the deadline, or dropped because the query
        // ended early.
        let expired = self.context.now() >= plan.deadline;
        let open_reason = if expired { Reason::Deadline } else { Reason::Coverage };
        progress.into_iter().map(|p| plan::finish(plan, p, open_reason)).collect()
    }

    /// Returns whether a group no longer serves its planned version, and the cached windows lead
    /// to another one.
    fn is_outdated(&self, plan: &Plan, progress: &[Progress]) -> bool {
        let version_lost =
            |p: &&Progress| p.best.as_ref().is_some_and(|b| b.part.reason == Some(Reason::Version));
        progress.iter().filter(version_lost).any(|p| {
            let ServicePlan { service, version } = &plan.services[p.target.0];
            let cache = self.windows.lock();
            let cached = cache.get(&(service.name.clone(), service.map));
            cached.is_some_and(|c| version::choose(&c.windows) != *version)
        })
    }

    fn initial_progress(&self, plan: &Plan) -> Vec<Progress> {
        let domains = self.nodes_by_domain();
        let progress = |target: Target| {
            let service = &plan.services[target.0].service;
            let mut leaves = self.ranked_leaves(service, target.1, &domains);
            leaves.reverse();
            Progress { target, best: None, leaves, pending: 0, fate: Fate::NotRun, reason: None }
        };
        plan.targets().into_iter().map(progress).collect()
    }

    /// Sends each of `groups` to its next leaf, with one message for each leaf. A group without
    /// further leaves is skipped.
    fn send_to_next_leaves<'a>(
        &'a self,
        plan: &Plan,
        progress: &mut [Progress],
        groups: &[usize],
        events: &mut FuturesUnordered<EventFuture<'a>>,
    ) {
        let mut by_leaf: BTreeMap<id::Node, Vec<usize>> = BTreeMap::new();
        for index in groups {
            let progress = &mut progress[*index];
            if let Some(leaf) = progress.leaves.pop() {
                progress.pending += 1;
                by_leaf.entry(leaf).or_default().push(*index);
            }
        }
        let remaining = plan.deadline.saturating_duration_since(self.context.now());
        for (leaf, groups) in by_leaf {
            let hedged = groups.clone();
            let span = tracing::debug_span!("leaf", node = %leaf, groups = groups.len());
            let targets: Vec<Target> = groups.iter().map(|i| progress[*i].target).collect();
            // The call is created inside of the span, so that its trace context is propagated.
            let call = span.in_scope(|| self.send_to_leaf(plan, leaf, groups, &targets));
            let reply = async move { Event::Reply(call.await) };
            events.push(Box::pin(reply.instrument(span)));
            if leaf != self.context.node {
                events.push(Box::pin(async move {
                    tokio::time::sleep(remaining.mul_f64(LEAF_HEDGE_SHARE)).await;
                    Event::HedgeDue(hedged)
                }));
            }
        }
    }

    /// Applies an event to the progress; returns the groups to send to another leaf.
    fn handle_event(&self, plan: &Plan, progress: &mut [Progress], event: Event) -> Vec<usize> {
        let reassigned: Vec<usize> = match event {
            Event::HedgeDue(groups) => {
                let unanswered =
                    |i: &usize| progress[*i].pending > 0 && progress[*i].best.is_none();
                groups.into_iter().filter(unanswered).collect()
            }
            Event::Reply(LeafReply { groups, result: Ok(answers) })
                if answers.len() == groups.len() =>
            {
                for (index, answer) in groups.into_iter().zip(answers) {
                    self.cache_window(plan, progress[index].target, &answer);
                    progress[index].record_answer(answer);
                }
                Vec::new()
            }
            Event::Reply(LeafReply { groups, result }) => {
                let (reason, fate) = classify_leaf_failure(result.err());
                for index in &groups {
                    let p = &mut progress[*index];
                    p.pending -= 1;
                    p.fate = p.fate.combine(fate);
                    p.reason = Some(reason);
                }
                groups
            }
        };
        self.context.counters.add(Counter::LeafReassigned, reassigned.len() as u64);
        reassigned
    }

    /// Stores the version window that a group's answer reports.
    fn cache_window(&self, plan: &Plan, (index, group): Target, answer: &GroupAnswer) {
        let service = &plan.services[index].service;
        if !service.versioned || answer.window.is_none() {
            return;
        }
        let key = (service.name.clone(), service.map);
        let mut cache = self.windows.lock();
        let Some(cached) = cache.get_mut(&key) else { return };
        cached.updated_at = self.context.now();
        if let Some(window) = cached.windows.get_mut(usize::from(group.0)) {
            *window = answer.window;
        }
    }

    /// Sends sub-requests for `targets` to a leaf. `groups` are their indices in the progress.
    fn send_to_leaf<'a>(
        &'a self,
        plan: &Plan,
        leaf: id::Node,
        groups: Vec<usize>,
        targets: &[Target],
    ) -> BoxFuture<'a, LeafReply> {
        let remaining = plan.deadline.saturating_duration_since(self.context.now());
        let leaf_time = remaining.checked_sub(HOP_MARGIN).unwrap_or_default();
        let request = peer::Search {
            hello: self.context.hello(),
            sections: plan::sections(plan, targets),
            rank: plan.rank,
            idempotent: plan.idempotent,
            fingerprint: plan.fingerprint,
            limit: plan.limit,
            body: plan.body.to_string(),
            remaining_ms: leaf_time.as_millis() as u64,
        };
        Box::pin(async move {
            let result = if leaf == self.context.node {
                self.leaf.search(request).await.map_err(PeerError::Refused)
            } else {
                self.context.external.peer.search(leaf, request).await
            };
            LeafReply { groups, result }
        })
    }
}

type EventFuture<'a> = BoxFuture<'a, Event>;

/// An admitted request. Releases its admission permit when dropped.
struct Admitted<'a> {
    root: &'a Root,
    permit: Option<Permit>,
}

impl Admitted<'_> {
    /// Releases the permit; `reason` says why the answer is incomplete, if it is.
    fn release(mut self, reason: Option<Reason>) {
        if let Some(permit) = self.permit.take() {
            self.root.admission.lock().release(self.root.context.now(), permit, reason);
        }
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.root.admission.lock().release(self.root.context.now(), permit, None);
        }
    }
}

/// Returns the reason and fate of sub-requests whose leaf failed. `None` stands for an answer with
/// the wrong number of groups.
fn classify_leaf_failure(error: Option<PeerError>) -> (Reason, Fate) {
    match error {
        Some(PeerError::NotSent) => (Reason::Unreachable, Fate::NotRun),
        Some(PeerError::Refused(peer::Refusal::Map)) => (Reason::Version, Fate::NotRun),
        Some(PeerError::Refused(_)) => (Reason::Overload, Fate::NotRun),
        // An answer that does not match its request does not show what has run.
        Some(PeerError::Lost) | None => (Reason::Lost, Fate::MayHaveRun),
    }
}
