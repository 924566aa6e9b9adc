//! Model of one upstream: slots, a short queue, index versions, and ways to misbehave.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{
    id,
    keyspace::{KeyRange, KeySet},
    unit::{Generation, Version},
};
use parking_lot::Mutex;
use policy::replica::Window;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::Semaphore;
use wire::{
    answer::Hit,
    upstream::{Refusal, RefusalReason, Reply, Request, Status},
};

use crate::{
    event_log::{Event, EventLog},
    service_time::ServiceTime,
};

/// Requests that wait at a server, as a multiple of its slots.
const QUEUE_PER_SLOT: usize = 2;
/// Requests whose text starts with this crash the upstream that runs them.
pub const CRASH_PREFIX: &str = "crash";
/// Time for a crashed upstream to start again.
pub const RESTART_DELAY: Duration = Duration::from_secs(2);

/// How an upstream behaves; may be changed at any time.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Factor on the service time.
    pub slowdown: f64,
    /// Whether it refuses new work because it leaves.
    pub draining: bool,
    /// Whether its status admits that it drains.
    pub reports_draining: bool,
    /// Whether it is gone: nothing connects.
    pub down: bool,
    /// Share of requests that it refuses for load, from 0 to 1.
    pub shed_rate: f64,
    /// Share of requests that run and then fail.
    pub failure_rate: f64,
    /// Share of requests whose connection is lost while they run.
    pub connection_loss_rate: f64,
    /// Share of replies that are the reply to an earlier request.
    pub stale_reply_rate: f64,
    /// Share of replies that cover only half of their range.
    pub half_coverage_rate: f64,
    /// Share of replies that are of another version than asked for.
    pub wrong_version_rate: f64,
    /// Versions held.
    pub window: Option<Window>,
    /// Shard maps held.
    pub maps: Vec<Generation>,
}

impl Behaviour {
    /// Behaves well, holding `window` and the map of generation 1.
    pub fn healthy(window: Option<Window>) -> Behaviour {
        Behaviour {
            slowdown: 1.0,
            draining: false,
            reports_draining: true,
            down: false,
            shed_rate: 0.0,
            failure_rate: 0.0,
            connection_loss_rate: 0.0,
            stale_reply_rate: 0.0,
            half_coverage_rate: 0.0,
            wrong_version_rate: 0.0,
            window,
            maps: vec![Generation(1)],
        }
    }
}

/// How a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// Refused before running.
    Refused(Refusal),
    /// Ran and failed.
    Failed,
    /// The connection is lost.
    Lost,
    /// Nothing connects.
    Down,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    address: id::Upstream,
    shape: ServiceTime,
    slots: Semaphore,
    slot_count: usize,
    inside: AtomicUsize,
    behaviour: Mutex<Behaviour>,
    incarnation: Mutex<id::Incarnation>,
    rng: Mutex<ChaCha8Rng>,
    last_reply: Mutex<Option<Reply>>,
    log: EventLog,
}

struct Inside<'a>(&'a AtomicUsize);

impl Drop for Inside<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Upstream {
    /// An upstream of `slots` slots.
    pub fn new(
        address: id::Upstream,
        slots: usize,
        shape: ServiceTime,
        behaviour: Behaviour,
        log: EventLog,
        seed: u64,
    ) -> Upstream {
        let salt = base::hash::stable(&[address.to_string().as_bytes()]);
        Upstream {
            address,
            shape,
            slots: Semaphore::new(slots),
            slot_count: slots,
            inside: AtomicUsize::new(0),
            behaviour: Mutex::new(behaviour),
            incarnation: Mutex::new(id::Incarnation(1)),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ salt)),
            last_reply: Mutex::default(),
            log,
        }
    }

    /// Its address.
    pub fn address(&self) -> id::Upstream {
        self.address
    }

    /// Changes its behaviour.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.behaviour.lock());
    }

    /// Starts again as a new process that behaves as `behaviour` says.
    pub fn restart(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
        self.incarnation.lock().0 += 1;
    }

    fn draw(&self) -> f64 {
        self.rng.lock().random()
    }

    fn refuse(&self, refused: RefusalReason) -> Failure {
        let window = self.behaviour.lock().window;
        Failure::Refused(Refusal { refused, incarnation: *self.incarnation.lock(), window })
    }

    /// Its status, as it tells it.
    pub fn status(&self) -> Option<Status> {
        let behaviour = self.behaviour.lock().clone();
        let inside = self.inside.load(Ordering::Acquire);
        (!behaviour.down).then(|| Status {
            incarnation: *self.incarnation.lock(),
            draining: behaviour.draining && behaviour.reports_draining,
            window: behaviour.window,
            load_percent: (100 * inside / self.slot_count.max(1)) as u32,
        })
    }

    /// Runs a request. Dropping the future cancels it.
    pub async fn handle(self: &Arc<Upstream>, request: Request) -> Result<Reply, Failure> {
        let behaviour = self.behaviour.lock().clone();
        if behaviour.down {
            return Err(Failure::Down);
        }
        let inside = self.inside.fetch_add(1, Ordering::AcqRel);
        let _inside = Inside(&self.inside);
        let body = SmolStr::new(&request.body);
        let queued = inside >= self.slot_count;
        self.log.record(Event::Arrived { upstream: self.address, body: body.clone(), queued });
        if behaviour.draining {
            return Err(self.refuse(RefusalReason::Draining));
        }
        let full = inside >= self.slot_count * (1 + QUEUE_PER_SLOT);
        if full || self.draw() < behaviour.shed_rate {
            return Err(self.refuse(RefusalReason::Shed));
        }
        let holds = match (request.version, behaviour.window) {
            (Some(version), Some(window)) => window.holds(version),
            (Some(_), None) => false,
            (None, _) => true,
        };
        if !holds || !behaviour.maps.contains(&request.map) {
            return Err(self.refuse(RefusalReason::Version));
        }
        let Ok(_slot) = self.slots.acquire().await else { return Err(Failure::Lost) };
        self.run(request, body, &behaviour).await
    }

    async fn run(
        self: &Arc<Upstream>,
        request: Request,
        body: SmolStr,
        behaviour: &Behaviour,
    ) -> Result<Reply, Failure> {
        let time = self.shape.sample(&mut *self.rng.lock()).mul_f64(behaviour.slowdown);
        let started = *self.incarnation.lock();
        let covered = match self.draw() < behaviour.half_coverage_rate {
            true => half(request.range),
            false => request.range,
        };
        let covered = KeySet::from_ranges(&[covered]);
        let version = request.version.map(|v| match self.draw() < behaviour.wrong_version_rate {
            true => Version(v.0 + 1),
            false => v,
        });
        self.log.record(Event::Ran {
            upstream: self.address,
            service: request.service.clone(),
            body: body.clone(),
            map: request.map,
            version,
            covered: covered.clone(),
        });
        if body.starts_with(CRASH_PREFIX) {
            self.crash(body);
            return Err(Failure::Lost);
        }
        if self.draw() < behaviour.connection_loss_rate {
            tokio::time::sleep(time / 2).await;
            return Err(Failure::Lost);
        }
        tokio::time::sleep(time).await;
        if self.behaviour.lock().down || *self.incarnation.lock() != started {
            return Err(Failure::Lost);
        }
        if self.draw() < behaviour.failure_rate {
            return Err(Failure::Failed);
        }
        let reply = Reply {
            attempt: request.attempt,
            sender: request.sender,
            incarnation: started,
            map: request.map,
            version,
            window: behaviour.window,
            hits: hits(&request, version, &covered),
            covered,
        };
        let earlier = self.last_reply.lock().replace(reply.clone());
        let crossed = self.draw() < behaviour.stale_reply_rate;
        Ok(earlier.filter(|_| crossed).unwrap_or(reply))
    }

    fn crash(self: &Arc<Upstream>, body: SmolStr) {
        self.log.record(Event::Crashed { upstream: self.address, body });
        self.behaviour.lock().down = true;
        let upstream = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_DELAY).await;
            let mut behaviour = upstream.behaviour.lock().clone();
            behaviour.down = false;
            upstream.restart(behaviour);
        });
    }
}

fn half(range: KeyRange) -> KeyRange {
    KeyRange::new(range.start, range.start + range.len() / 2)
}

/// Documents in each range of a reply.
const HITS_PER_RANGE: u32 = 2;

fn hits(request: &Request, version: Option<Version>, covered: &KeySet) -> Vec<Hit> {
    let mut hits = Vec::new();
    for range in covered.ranges() {
        for i in 0..HITS_PER_RANGE.min(range.len()) {
            let key = range.start + i * (range.len() / HITS_PER_RANGE);
            let version = version.map_or(0, |v| v.0);
            let document = format_smolstr!("{}|{key}|{version}|{}", request.service, request.body);
            hits.push(Hit { key, score: f64::from(key % 97) / 97.0, document });
        }
    }
    hits.truncate(request.limit);
    hits
}
