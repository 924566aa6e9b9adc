//! Following the platform's service in virtual time, against a scripted service.
//!
//! Guards against a node that keeps an old configuration because the service swallowed its watch,
//! or because following it ended with an unexpected error.

mod common;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    hash::FastMap,
    unit::{Era, Generation, Revision},
};
use parking_lot::Mutex;
use policy::relay::route::{RequestLimits, RouteTable};
use relay::{
    interface::{BoxFuture, PlatformChanges, PlatformSource, PublishedConfig, SourceError},
    node::Node,
    platform_watch, supervisor,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Generation of a configuration whose parser panics.
const PANICKING: u64 = 666;
/// Time within which a configuration must be in force.
const APPLY: Duration = Duration::from_secs(3);
/// Time in which the service answers a call.
const LATENCY: Duration = Duration::from_millis(4);
/// Time that a listing of many pages takes.
const LISTING_TIME: Duration = Duration::from_millis(1_200);
/// Time after which the client of the service gives up on an answer, beyond a watch's wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How the service treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Answers.
    Up,
    /// Accepts calls and never answers them, also not once it is up again.
    Silent,
    /// Refuses calls.
    Busy,
    /// Answers reads, and has no history for any watch.
    Forgetful,
    /// The same, with listings that take [`LISTING_TIME`].
    SlowListing,
}

#[derive(Debug, Clone, Copy)]
struct State {
    mode: Mode,
    /// Raised by each silence: calls of earlier ones are never answered.
    silences: u64,
    generation: u64,
    revision: u64,
}

/// The platform's service with one configuration and no upstreams.
#[derive(Debug)]
struct Service {
    state: watch::Sender<State>,
    /// Time of each call.
    calls: Mutex<Vec<Instant>>,
}

impl Service {
    fn new() -> Service {
        let state = State { mode: Mode::Up, silences: 0, generation: 1, revision: 1 };
        Service { state: watch::Sender::new(state), calls: Mutex::default() }
    }

    fn set_mode(&self, mode: Mode) {
        self.state.send_modify(|s| {
            s.mode = mode;
            s.silences += u64::from(mode == Mode::Silent);
        });
    }

    fn publish(&self, generation: u64) {
        self.state.send_modify(|s| {
            s.generation = generation;
            s.revision += 1;
        });
    }

    async fn answer(&self, after: u64, wait: Duration) -> Result<PlatformChanges, SourceError> {
        self.calls.lock().push(tokio::time::Instant::now().into_std());
        let (silences, mode) = (self.state.borrow().silences, self.state.borrow().mode);
        tokio::time::sleep(LATENCY).await;
        match mode {
            Mode::Busy => return Err(SourceError::Unavailable("busy".to_owned())),
            Mode::Forgetful | Mode::SlowListing if after > 0 => return Err(SourceError::Compacted),
            Mode::SlowListing => {
                tokio::time::sleep(LISTING_TIME).await;
            }
            _ => {}
        }
        let mut state = self.state.subscribe();
        let is_new = |s: &State| s.mode == Mode::Up && s.silences == silences && s.revision > after;
        let waited = tokio::time::timeout(wait, state.wait_for(is_new)).await.is_ok();
        if !waited && (mode == Mode::Silent || self.state.borrow().silences != silences) {
            tokio::time::sleep(ANSWER_TIMEOUT).await;
            return Err(SourceError::Unavailable("no answer in time".to_owned()));
        }
        let State { generation, revision, .. } = *self.state.borrow();
        let config =
            PublishedConfig { revision: Revision(revision), bytes: generation.to_string().into() };
        Ok(PlatformChanges {
            config: (revision > after).then_some(config),
            upstreams: Vec::new(),
            invalid_values: Vec::new(),
            until: Revision(revision),
            era: Era::default(),
        })
    }
}

impl PlatformSource for Service {
    fn read(&self, _: bool) -> BoxFuture<'_, Result<PlatformChanges, SourceError>> {
        Box::pin(self.answer(0, Duration::ZERO))
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<PlatformChanges, SourceError>> {
        Box::pin(self.answer(after.0, wait))
    }

    fn parse_config(&self, bytes: &[u8]) -> Result<RouteTable, String> {
        let text = String::from_utf8_lossy(bytes);
        assert_ne!(text, PANICKING.to_string(), "this configuration shows a fault of the parser");
        let generation = text.parse().map_err(|_| "not a number".to_owned())?;
        let limits = RequestLimits { head_bytes: 1_000, body_bytes: 1_000, idle_timeout: APPLY };
        Ok(RouteTable::new(Generation(generation), limits, FastMap::default(), Vec::new()))
    }
}

/// A node without peers that follows a service.
struct Testbed {
    service: Arc<Service>,
    node: Arc<Node>,
    cancel: CancellationToken,
}

impl Testbed {
    /// Starts the node and waits until it has followed the service for `uptime`.
    async fn start(uptime: Duration) -> Testbed {
        let service = Arc::new(Service::new());
        let node = common::node(service.clone(), APPLY);
        let cancel = CancellationToken::new();
        let (n, c) = (node.clone(), cancel.clone());
        let run = move || platform_watch::run(n.clone(), c.clone());
        tokio::spawn(supervisor::run("platform watch", cancel.clone(), run));
        tokio::time::sleep(uptime).await;
        Testbed { service, node, cancel }
    }

    fn generation(&self) -> u64 {
        self.node.route_table().map_or(0, |t| t.generation.0)
    }

    /// Asserts that the node puts `generation` into force within `APPLY` from now on.
    async fn assert_in_force(&self, generation: u64, condition: &str) {
        tokio::time::sleep(APPLY).await;
        assert_eq!(self.generation(), generation, "{condition}");
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_in_time_after_the_service_swallowed_the_watch() {
    for (outage_ms, uptime_ms) in [(0, 5_000), (400, 5_100), (1_500, 7_300), (3_400, 9_900)] {
        let testbed = Testbed::start(Duration::from_millis(uptime_ms)).await;
        testbed.service.set_mode(Mode::Silent);
        tokio::time::sleep(Duration::from_millis(outage_ms)).await;
        testbed.service.set_mode(Mode::Up);
        testbed.service.publish(2);
        testbed.assert_in_force(2, &format!("silent for {outage_ms} ms")).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_in_time_after_the_service_refused_calls() {
    for outage_ms in [400, 2_000, 7_000] {
        let testbed = Testbed::start(Duration::from_secs(5)).await;
        testbed.service.set_mode(Mode::Busy);
        tokio::time::sleep(Duration::from_millis(outage_ms)).await;
        testbed.service.set_mode(Mode::Up);
        testbed.service.publish(2);
        testbed.assert_in_force(2, &format!("busy for {outage_ms} ms")).await;
    }
}

/// A node must not go on without following the platform.
#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_in_time_after_another_one_made_the_watch_panic() {
    let testbed = Testbed::start(Duration::from_secs(5)).await;
    testbed.service.publish(PANICKING);
    tokio::time::sleep(Duration::from_millis(100)).await;
    testbed.service.publish(PANICKING + 1);
    testbed.assert_in_force(PANICKING + 1, "after a panic").await;
}

#[tokio::test(start_paused = true)]
async fn a_calm_silent_or_forgetful_service_gets_few_calls() {
    /// A node without peers is the only one that could notice silence.
    const MAX_CALM_CALLS_PER_S: f64 = 1.0;
    /// One call for each time that a call takes to fail.
    const MAX_SILENT_CALLS_PER_S: f64 = 1.0;
    /// A watch and a listing for each delay after failures.
    const MAX_FORGETFUL_CALLS_PER_S: f64 = 3.0;
    const SPAN: Duration = Duration::from_secs(30);
    let testbed = Testbed::start(Duration::from_secs(5)).await;
    let mut calls_before = testbed.service.calls.lock().len();
    for (mode, limit) in [
        (Mode::Up, MAX_CALM_CALLS_PER_S),
        (Mode::Silent, MAX_SILENT_CALLS_PER_S),
        (Mode::Forgetful, MAX_FORGETFUL_CALLS_PER_S),
    ] {
        testbed.service.set_mode(mode);
        tokio::time::sleep(SPAN).await;
        let calls = testbed.service.calls.lock().len();
        let rate = (calls - calls_before) as f64 / SPAN.as_secs_f64();
        assert!(rate <= limit, "{mode:?}: {rate} calls/s");
        calls_before = calls;
    }
}

/// Guards against data that is announced as newer than its oldest page.
#[tokio::test(start_paused = true)]
async fn data_is_as_old_as_the_start_of_its_listing() {
    let testbed = Testbed::start(Duration::from_secs(5)).await;
    testbed.service.set_mode(Mode::SlowListing);
    // The watch in flight delivers the first of them, a listing the second.
    for generation in [2, 3] {
        testbed.service.publish(generation);
        let start = tokio::time::Instant::now();
        while testbed.generation() != generation {
            tokio::time::sleep(LATENCY).await;
            assert!(start.elapsed() < 10 * LISTING_TIME, "generation {generation} is in force");
        }
    }
    let age = testbed.node.platform_data_age().expect("data from the service");
    assert!(age >= LISTING_TIME, "{age:?}");
}
