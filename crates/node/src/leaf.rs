//! Leaf role: runs the schedulers of shard groups and answers sub-requests of roots.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use base::{hash::FastMap, id, unit::Generation};
use config::{deployment::Service, settings::Routing};
use policy::replica::Window;
use tokio_util::sync::CancellationToken;
use wire::peer::{GroupAnswer, Refusal, Search, ServiceGroups};

use crate::{
    context::Context,
    counter::Counter,
    shard_group::{GroupQuery, ShardGroup},
};

/// Period of status probes. An upstream that leaves must be noticed within 3 s.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Number of shard maps of one service whose schedulers are retained, for queries that were
/// planned on the previous map.
const RETAINED_MAPS: u64 = 2;
/// Factor by which more nodes may hold connections to an upstream than are in service. While a
/// fleet is being replaced, the old and the new nodes both do.
const REPLACEMENT_FACTOR: usize = 2;

type GroupKey = (id::Service, Generation, id::Group);

/// The leaf role of one node.
#[derive(Debug)]
pub struct Leaf {
    context: Arc<Context>,
    groups: ArcSwap<FastMap<GroupKey, Arc<ShardGroup>>>,
    /// Serialises the creation of shard groups.
    creation: parking_lot::Mutex<()>,
    next_serial: AtomicU64,
    /// Value of the suspension counter at the last refresh of all upstreams.
    refreshed_suspensions: AtomicU64,
    cancel: CancellationToken,
}

impl Leaf {
    /// Creates a leaf without shard groups. They are created on first use, and their timers run
    /// until `cancel`.
    pub fn new(context: Arc<Context>, cancel: CancellationToken) -> Leaf {
        Leaf {
            context,
            groups: ArcSwap::default(),
            creation: parking_lot::Mutex::default(),
            next_serial: AtomicU64::new(0),
            refreshed_suspensions: AtomicU64::new(0),
            cancel,
        }
    }

    /// Runs the sub-requests of a query. Returns one answer for each requested group, in the order
    /// of the request.
    pub async fn search(&self, request: Search) -> Result<Vec<GroupAnswer>, Refusal> {
        let deadline = self.context.now() + Duration::from_millis(request.remaining_ms);
        self.refresh_after_suspension().await;
        let mut running = Vec::new();
        for section in &request.sections {
            let service = self.context.service(&section.service, section.map);
            let service = service.ok_or(Refusal::Map)?;
            let query = group_query(&request, section, deadline);
            for index in &section.groups {
                let group = self.group(&service, *index).ok_or(Refusal::Map)?;
                let query = query.clone();
                running.push(async move { group.run(query).await });
            }
        }
        Ok(futures::future::join_all(running).await)
    }

    /// Probes all upstreams before new work if this process was suspended since the last refresh,
    /// because its replica state is outdated then.
    async fn refresh_after_suspension(&self) {
        let suspensions = self.context.counters.value(Counter::Suspensions);
        let refreshed = self.refreshed_suspensions.load(Ordering::Acquire);
        if suspensions == refreshed && !self.context.is_tick_overdue() {
            return;
        }
        let groups: Vec<Arc<ShardGroup>> = self.groups.load().values().cloned().collect();
        futures::future::join_all(groups.iter().map(|g| g.probe_all())).await;
        self.refreshed_suspensions.store(suspensions, Ordering::Release);
    }

    /// Returns the version windows of groups. Probes upstreams first where no window is known.
    pub async fn windows(&self, name: &id::Service, groups: &[id::Group]) -> Vec<Option<Window>> {
        let service = self.context.config().and_then(|c| c.service(name).cloned());
        let Some(service) = service else { return vec![None; groups.len()] };
        let windows = groups.iter().map(|index| {
            let group = self.group(&service, *index);
            async move {
                let group = group?;
                if group.window().is_none() {
                    group.probe_unknown().await;
                }
                group.window()
            }
        });
        futures::future::join_all(windows).await
    }

    /// Applies the configuration in force: drops the groups of outdated shard maps, and updates the
    /// servers of the others.
    pub fn apply_config(&self) {
        let Some(config) = self.context.config() else { return };
        let is_retained = |(service, map, _): &GroupKey| {
            let current = config.deployment.service(service).map(|s| s.map);
            current.is_some_and(|c| c.0.saturating_sub(map.0) < RETAINED_MAPS)
        };
        self.groups.rcu(|old| {
            let retained = old.iter().filter(|(key, _)| is_retained(key));
            retained.map(|(key, group)| (key.clone(), group.clone())).collect::<FastMap<_, _>>()
        });
        for ((name, map, _), group) in self.groups.load().iter() {
            let current = config.deployment.service(name);
            if let Some(service) = current.filter(|s| s.map == *map) {
                group.apply_config(service);
            }
        }
    }

    /// Records whether the platform lists `upstreams` as leaving.
    pub fn set_listed_leaving(&self, upstreams: &[id::Upstream], leaving: bool) {
        for group in self.groups.load().values() {
            upstreams.iter().for_each(|u| group.set_listed_leaving(*u, leaving));
        }
    }

    /// Probes upstreams periodically until the leaf is cancelled.
    pub async fn run_probes(self: Arc<Leaf>) {
        loop {
            let sleep = tokio::time::sleep(PROBE_PERIOD);
            tokio::select! {
                biased;
                () = self.cancel.cancelled() => return,
                () = sleep => {}
            }
            self.probe_once().await;
        }
    }

    /// Probes the upstreams of all groups whose status probe is due.
    pub async fn probe_once(&self) {
        let groups: Vec<Arc<ShardGroup>> = self.groups.load().values().cloned().collect();
        futures::future::join_all(groups.iter().map(|g| g.probe_due())).await;
    }

    /// Returns the state of each upstream for operators, sorted by service, group and address.
    pub fn upstream_status(&self) -> Vec<wire::operator::UpstreamStatus> {
        let groups = self.groups.load();
        let mut all: Vec<_> = groups.values().flat_map(|g| g.upstream_status()).collect();
        all.sort_by(|a, b| {
            (&a.service, a.group, a.upstream).cmp(&(&b.service, b.group, b.upstream))
        });
        all
    }

    /// Returns the sum of the counters of all schedulers.
    pub fn counts(&self) -> policy::job::Counts {
        let mut total = policy::job::Counts::default();
        for counts in self.groups.load().values().map(|g| g.counts()) {
            total.jobs += counts.jobs;
            total.attempts += counts.attempts;
            total.hedges += counts.hedges;
            total.retries += counts.retries;
            total.sheds += counts.sheds;
            total.refusals += counts.refusals;
            total.stray_replies += counts.stray_replies;
        }
        total
    }

    /// Returns the group `index` of `service`, created on first use. Returns `None` if the service
    /// has no such group.
    fn group(&self, service: &Service, index: id::Group) -> Option<Arc<ShardGroup>> {
        let key = (service.name.clone(), service.map, index);
        if let Some(group) = self.groups.load().get(&key) {
            return Some(group.clone());
        }
        if usize::from(index.0) >= service.groups.len() {
            return None;
        }
        let _creation = self.creation.lock();
        if let Some(group) = self.groups.load().get(&key) {
            return Some(group.clone());
        }
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        let schedulers = self.scheduler_count();
        let max_connections =
            (service.connections as usize / (schedulers * REPLACEMENT_FACTOR)).max(1);
        let group = Arc::new(ShardGroup::new(
            self.context.clone(),
            service,
            index,
            serial,
            schedulers,
            max_connections,
        ));
        let departures = self.context.departures.lock().notices(self.context.now(), usize::MAX);
        departures.iter().for_each(|d| group.set_listed_leaving(d.upstream, true));
        tokio::spawn(group.clone().run_timers(self.cancel.clone()));
        self.groups.rcu(|old| {
            let mut new = FastMap::clone(old);
            new.insert(key.clone(), group.clone());
            new
        });
        Some(group)
    }

    /// Returns the number of nodes that send to the upstreams of a group, this one included.
    fn scheduler_count(&self) -> usize {
        match self.context.settings.routing {
            Routing::ViaLeaf => self.context.config().map_or(1, |c| c.deployment.domains.len()),
            Routing::Direct => self.context.view().len() + 1,
        }
    }
}

fn group_query(request: &Search, section: &ServiceGroups, deadline: Instant) -> GroupQuery {
    GroupQuery {
        map: section.map,
        version: section.version,
        rank: request.rank,
        deadline,
        idempotent: request.idempotent,
        fingerprint: request.fingerprint,
        limit: request.limit,
        body: request.body.clone(),
    }
}
