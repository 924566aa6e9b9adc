//! Leaf role: owns the schedulers of shard groups and answers sub-requests of roots.

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
    slot::{Query, Slot},
};

/// Time between two status probes of an upstream; an upstream that leaves must be noticed
/// within 3 s.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Shard maps of one service whose schedulers are kept, for queries planned on the older ones.
const MAPS_KEPT: u64 = 2;
/// Nodes that may hold connections to one server at once, as a multiple of those in service: a
/// fleet being replaced counts twice.
const REPLACEMENT: usize = 2;

type Key = (id::Service, Generation, id::Group);

/// The leaf of one node.
#[derive(Debug)]
pub struct Leaf {
    context: Arc<Context>,
    slots: ArcSwap<FastMap<Key, Arc<Slot>>>,
    adding: parking_lot::Mutex<()>,
    serial: AtomicU64,
    /// Pauses of this process after which the upstreams were asked for their status.
    pauses: AtomicU64,
    cancel: CancellationToken,
}

impl Leaf {
    /// A leaf without schedulers; they are made when first needed and run until `cancel`.
    pub fn new(context: Arc<Context>, cancel: CancellationToken) -> Leaf {
        Leaf {
            context,
            slots: ArcSwap::default(),
            adding: parking_lot::Mutex::default(),
            serial: AtomicU64::new(0),
            pauses: AtomicU64::new(0),
            cancel,
        }
    }

    /// Runs sub-requests; one slice for each group asked for.
    pub async fn search(&self, request: Search) -> Result<Vec<GroupAnswer>, Refusal> {
        let deadline = self.context.now() + Duration::from_millis(request.remaining_ms);
        self.refresh_after_pause().await;
        let mut running = Vec::new();
        for section in &request.sections {
            let service = self.context.service(&section.service, section.map);
            let service = service.ok_or(Refusal::Map)?;
            let query = query(&request, section, deadline);
            for group in &section.groups {
                let slot = self.slot(&service, *group).ok_or(Refusal::Map)?;
                let query = query.clone();
                running.push(async move { slot.run(query).await });
            }
        }
        Ok(futures::future::join_all(running).await)
    }

    /// Asks all upstreams for their status before new work, if this process was paused.
    async fn refresh_after_pause(&self) {
        let noticed = self.context.counters.value(Counter::Pauses);
        let refreshed = self.pauses.load(Ordering::Acquire);
        if noticed == refreshed && !self.context.is_waking() {
            return;
        }
        let slots: Vec<Arc<Slot>> = self.slots.load().values().cloned().collect();
        futures::future::join_all(slots.iter().map(|s| s.probe_all())).await;
        self.pauses.store(noticed, Ordering::Release);
    }

    /// Windows of groups; upstreams are asked where nothing is known yet.
    pub async fn windows(&self, name: &id::Service, groups: &[id::Group]) -> Vec<Option<Window>> {
        let service = self.context.config().and_then(|v| v.service(name).cloned());
        let Some(service) = service else { return vec![None; groups.len()] };
        let asked = groups.iter().map(|group| {
            let slot = self.slot(&service, *group);
            async move {
                let slot = slot?;
                if slot.window().is_none() {
                    slot.probe_unknown().await;
                }
                slot.window()
            }
        });
        futures::future::join_all(asked).await
    }

    /// Takes over what the configuration in force publishes.
    pub fn apply_config(&self) {
        let Some(value) = self.context.config() else { return };
        let keep = |(service, map, _): &Key| {
            let current = value.deployment.service(service).map(|s| s.map);
            current.is_some_and(|c| c.0.saturating_sub(map.0) < MAPS_KEPT)
        };
        self.slots.rcu(|old| {
            let kept = old.iter().filter(|(key, _)| keep(key));
            kept.map(|(key, slot)| (key.clone(), slot.clone())).collect::<FastMap<_, _>>()
        });
        for slot in self.slots.load().iter() {
            let ((name, map, _), slot) = slot;
            let current = value.deployment.service(name);
            if let Some(service) = current.filter(|s| s.map == *map) {
                slot.publish(service);
            }
        }
    }

    /// Records what the platform's list says of `upstreams`.
    pub fn set_listed_leaving(&self, upstreams: &[id::Upstream], leaving: bool) {
        for slot in self.slots.load().values() {
            upstreams.iter().for_each(|u| slot.set_listed_leaving(*u, leaving));
        }
    }

    /// Probes the upstreams of all schedulers until cancelled.
    pub async fn run_probes(self: Arc<Leaf>) {
        loop {
            let pause = tokio::time::sleep(PROBE_PERIOD);
            tokio::select! {
                biased;
                () = self.cancel.cancelled() => return,
                () = pause => {}
            }
            self.probe_once().await;
        }
    }

    /// Probes the upstreams of all schedulers once.
    pub async fn probe_once(&self) {
        let slots: Vec<Arc<Slot>> = self.slots.load().values().cloned().collect();
        futures::future::join_all(slots.iter().map(|s| s.probe())).await;
    }

    /// State of each upstream, for operators.
    pub fn upstream_status(&self) -> Vec<wire::operator::UpstreamStatus> {
        let slots = self.slots.load();
        let mut all: Vec<_> = slots.values().flat_map(|s| s.describe()).collect();
        all.sort_by(|a, b| {
            (&a.service, a.group, a.upstream).cmp(&(&b.service, b.group, b.upstream))
        });
        all
    }

    /// Counts of all schedulers together.
    pub fn counts(&self) -> policy::job::Counts {
        let mut total = policy::job::Counts::default();
        for counts in self.slots.load().values().map(|s| s.counts()) {
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

    fn slot(&self, service: &Service, group: id::Group) -> Option<Arc<Slot>> {
        let key = (service.name.clone(), service.map, group);
        if let Some(slot) = self.slots.load().get(&key) {
            return Some(slot.clone());
        }
        if usize::from(group.0) >= service.groups.len() {
            return None;
        }
        let _adding = self.adding.lock();
        if let Some(slot) = self.slots.load().get(&key) {
            return Some(slot.clone());
        }
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let schedulers = self.schedulers();
        let connections = (service.connections as usize / (schedulers * REPLACEMENT)).max(1);
        let slot = Arc::new(Slot::new(
            self.context.clone(),
            service,
            group,
            serial,
            schedulers,
            connections,
        ));
        let departures = self.context.departures.lock().notices(self.context.now(), usize::MAX);
        departures.iter().for_each(|u| slot.set_listed_leaving(u.upstream, true));
        tokio::spawn(slot.clone().drive(self.cancel.clone()));
        self.slots.rcu(|old| {
            let mut new = FastMap::clone(old);
            new.insert(key.clone(), slot.clone());
            new
        });
        Some(slot)
    }

    /// Nodes that share the upstreams of a group, this one included.
    fn schedulers(&self) -> usize {
        match self.context.settings.routing {
            Routing::ViaLeaf => self.context.config().map_or(1, |v| v.deployment.domains.len()),
            Routing::Direct => self.context.view().len() + 1,
        }
    }
}

fn query(request: &Search, section: &ServiceGroups, deadline: Instant) -> Query {
    Query {
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
