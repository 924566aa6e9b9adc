//! Model of one upstream: slots, a bounded queue, index versions and injected faults.

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

/// Capacity of the queue of a server, in requests per slot. Further requests are shed.
const QUEUE_PER_SLOT: usize = 2;
/// Requests whose body starts with this prefix crash the upstream that runs them.
pub const CRASH_PREFIX: &str = "crash";
/// Time until a crashed upstream serves again as a new process.
pub const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Behaviour of an upstream, which can be changed while it runs. Rates are probabilities from 0
/// to 1.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Factor by which service times are multiplied.
    pub slowdown: f64,
    /// Whether the upstream drains: it refuses new requests.
    pub draining: bool,
    /// Whether a draining upstream says so in its status.
    pub reports_draining: bool,
    /// Whether the upstream is down: connections to it fail.
    pub down: bool,
    /// Rate of requests shed as if by overload.
    pub shed_rate: f64,
    /// Rate of requests that run and then fail.
    pub failure_rate: f64,
    /// Rate of requests whose connection is lost while they run.
    pub connection_loss_rate: f64,
    /// Rate of replies replaced by the reply to the previous request.
    pub stale_reply_rate: f64,
    /// Rate of replies that cover only the first half of their range.
    pub half_coverage_rate: f64,
    /// Rate of replies that use the index version after the requested one.
    pub wrong_version_rate: f64,
    /// Index versions held, for versioned services.
    pub window: Option<Window>,
    /// Generations of the shard maps held.
    pub maps: Vec<Generation>,
}

impl Behaviour {
    /// Returns a behaviour without faults, holding `window` and the map of generation 1.
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

/// Reason why a request brought no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The request was refused before it ran.
    Refused(Refusal),
    /// The request ran and failed.
    Failed,
    /// The connection was lost after the request was accepted.
    Lost,
    /// The upstream accepts no connections.
    Down,
}

/// Simulated upstream.
#[derive(Debug)]
pub struct Upstream {
    address: id::Upstream,
    service_time: ServiceTime,
    slots: Semaphore,
    slot_count: usize,
    /// Requests that run or are queued.
    in_flight: AtomicUsize,
    behaviour: Mutex<Behaviour>,
    incarnation: Mutex<id::Incarnation>,
    rng: Mutex<ChaCha8Rng>,
    /// Reply to the previous request, for `Behaviour::stale_reply_rate`.
    last_reply: Mutex<Option<Reply>>,
    event_log: EventLog,
}

/// Decrements the number of requests in flight when dropped, also if the request is cancelled.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Upstream {
    /// Creates an upstream with `slots` slots.
    pub fn new(
        address: id::Upstream,
        slots: usize,
        service_time: ServiceTime,
        behaviour: Behaviour,
        event_log: EventLog,
        seed: u64,
    ) -> Upstream {
        let salt = base::hash::stable(&[address.to_string().as_bytes()]);
        Upstream {
            address,
            service_time,
            slots: Semaphore::new(slots),
            slot_count: slots,
            in_flight: AtomicUsize::new(0),
            behaviour: Mutex::new(behaviour),
            incarnation: Mutex::new(id::Incarnation(1)),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ salt)),
            last_reply: Mutex::default(),
            event_log,
        }
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> id::Upstream {
        self.address
    }

    /// Applies `change` to the behaviour of the upstream.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.behaviour.lock());
    }

    /// Restarts the upstream as a new process with `behaviour`. Requests that run are lost.
    pub fn restart(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
        self.incarnation.lock().0 += 1;
    }

    /// Draws a uniform random number from 0 to 1.
    fn draw(&self) -> f64 {
        self.rng.lock().random()
    }

    fn refusal(&self, refused: RefusalReason) -> Failure {
        let window = self.behaviour.lock().window;
        Failure::Refused(Refusal { refused, incarnation: *self.incarnation.lock(), window })
    }

    /// Returns the reported status, or `None` if the upstream is down.
    pub fn status(&self) -> Option<Status> {
        let behaviour = self.behaviour.lock().clone();
        let in_flight = self.in_flight.load(Ordering::Acquire);
        (!behaviour.down).then(|| Status {
            incarnation: *self.incarnation.lock(),
            draining: behaviour.draining && behaviour.reports_draining,
            window: behaviour.window,
            load_percent: (100 * in_flight / self.slot_count.max(1)) as u32,
        })
    }

    /// Runs a request. Dropping the future cancels the request.
    pub async fn handle(self: &Arc<Upstream>, request: Request) -> Result<Reply, Failure> {
        let behaviour = self.behaviour.lock().clone();
        if behaviour.down {
            return Err(Failure::Down);
        }
        let in_flight = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let _guard = InFlightGuard(&self.in_flight);
        let body = SmolStr::new(&request.body);
        let queued = in_flight >= self.slot_count;
        self.event_log.record(Event::Arrived {
            upstream: self.address,
            body: body.clone(),
            queued,
        });
        if behaviour.draining {
            return Err(self.refusal(RefusalReason::Draining));
        }
        let full = in_flight >= self.slot_count * (1 + QUEUE_PER_SLOT);
        if full || self.draw() < behaviour.shed_rate {
            return Err(self.refusal(RefusalReason::Shed));
        }
        let holds = match (request.version, behaviour.window) {
            (Some(version), Some(window)) => window.holds(version),
            (Some(_), None) => false,
            (None, _) => true,
        };
        if !holds || !behaviour.maps.contains(&request.map) {
            return Err(self.refusal(RefusalReason::Version));
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
        let service_time =
            self.service_time.sample(&mut *self.rng.lock()).mul_f64(behaviour.slowdown);
        let incarnation = *self.incarnation.lock();
        let covered = match self.draw() < behaviour.half_coverage_rate {
            true => first_half(request.range),
            false => request.range,
        };
        let covered = KeySet::from_ranges(&[covered]);
        let version = request.version.map(|v| match self.draw() < behaviour.wrong_version_rate {
            true => Version(v.0 + 1),
            false => v,
        });
        self.event_log.record(Event::Ran {
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
            tokio::time::sleep(service_time / 2).await;
            return Err(Failure::Lost);
        }
        tokio::time::sleep(service_time).await;
        if self.behaviour.lock().down || *self.incarnation.lock() != incarnation {
            return Err(Failure::Lost);
        }
        if self.draw() < behaviour.failure_rate {
            return Err(Failure::Failed);
        }
        let reply = Reply {
            attempt: request.attempt,
            sender: request.sender,
            incarnation,
            map: request.map,
            version,
            window: behaviour.window,
            hits: hits(&request, version, &covered),
            covered,
        };
        let previous = self.last_reply.lock().replace(reply.clone());
        let stale = self.draw() < behaviour.stale_reply_rate;
        Ok(previous.filter(|_| stale).unwrap_or(reply))
    }

    /// Takes the upstream down and restarts it after `RESTART_DELAY`.
    fn crash(self: &Arc<Upstream>, body: SmolStr) {
        self.event_log.record(Event::Crashed { upstream: self.address, body });
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

fn first_half(range: KeyRange) -> KeyRange {
    KeyRange::new(range.start, range.start + range.len() / 2)
}

/// Documents in each range of a reply, at most.
const HITS_PER_RANGE: u32 = 2;

/// Generates the documents of a reply. Each states its service, key, version and request body, so
/// that checks can tell to which request and snapshot it belongs.
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
