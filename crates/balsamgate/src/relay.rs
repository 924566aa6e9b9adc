//! `balsamgate relay`: a node that relays requests on the users' platform.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime},
};

use base::{
    clock::{BootClock, Clock, WallClock},
    id,
};
use config::relay::Settings;
use eyre::WrapErr;
use platform::{DirectoryHandler, HeaderCodec, ReadinessHandler, StoreClient};
use relay::{
    http_server::{self, Handler, RelayHandler},
    isolation, membership,
    node::Node,
    peer, platform_watch, socket, supervisor,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing_appender::non_blocking::ErrorCounter;

use crate::observe;

/// Callers may use an address answer for up to three times its validity.
const MAX_VALIDITY_FACTOR: u32 = 3;
/// Part of the grace period that is reserved for the process to exit by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(1_200);
/// Time to write the last answers.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Time for the last connections to close before the process exits.
const CLOSE_MARGIN: Duration = Duration::from_millis(200);
/// Number of random low bits of an incarnation; the bits above are Unix time in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// Interval at which the settings file is polled for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Reads and validates the settings file at `path`.
pub(crate) fn read(path: &Path) -> eyre::Result<Settings> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| name.clone())?;
    Ok(Settings::parse(&name, &text)?)
}

/// Runs a node with the settings at `path` until SIGTERM or SIGINT, then stops it as planned.
/// SIGHUP, or a change of the file, reloads the settings.
pub(crate) fn run(path: &Path) -> eyre::Result<()> {
    let settings = read(path)?;
    // Flushes the last log lines when dropped.
    let (_log_guard, dropped_lines) = observe::start_json_log(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(path, settings, dropped_lines))
}

fn listen(name: &str, address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    socket::listen(address)
        .wrap_err_with(|| format!("cannot listen on the {name} address {address}"))
}

async fn serve(path: &Path, settings: Settings, dropped_lines: ErrorCounter) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let callers = listen("callers'", settings.caller_addr)?;
    let ready = listen("readiness", settings.readiness_addr)?;
    let directory = listen("directory", settings.directory_addr)?;
    let metrics = settings.metrics_addr.and_then(|address| match listen("metrics", address) {
        Ok(listener) => Some(listener),
        // A node without metrics can still serve callers.
        Err(e) => {
            tracing::error!(
                cause = format!("{e:#}"),
                "metrics are not served: the listener could not be opened"
            );
            None
        }
    });
    let peers = listen("peers'", settings.peer_addr)?;
    let heartbeats =
        UdpSocket::bind(settings.peer_addr).await.wrap_err("cannot bind the heartbeat socket")?;

    let seed = std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), std::process::id());
    let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
    let random = seed & ((1 << INCARNATION_RANDOM_BITS) - 1);
    let unix_ms = WallClock::new(clock.clone()).unix_ms();
    let incarnation = id::Incarnation((unix_ms << INCARNATION_RANDOM_BITS) | random);
    let source = Arc::new(StoreClient::new(settings.platform_addr));
    let (grace, validity) = (settings.stop_grace, settings.address_validity);
    let node =
        Arc::new(Node::new(settings, Arc::new(HeaderCodec), source, clock, incarnation, seed));
    tracing::info!(%incarnation, version = env!("CARGO_PKG_VERSION"), "started");

    // A planned stop cancels `stop` first, which closes the callers' listener. `cancel` ends the
    // rest of the node once the callers' connections, tracked in `tasks`, are done.
    let cancel = CancellationToken::new();
    let stop = CancellationToken::new();
    let tasks = TaskTracker::new();
    let others = TaskTracker::new();
    start_tasks(&node, Arc::new(heartbeats), Arc::new(peers), &cancel);
    let start =
        |handler: Arc<dyn Handler>, listener, stop: &CancellationToken, tasks: &TaskTracker| {
            let (stop, connections) = (stop.clone(), tasks.clone());
            tasks.spawn(http_server::serve(node.clone(), handler, listener, stop, connections));
        };
    start(Arc::new(RelayHandler(node.clone())), callers, &stop, &tasks);
    start(Arc::new(ReadinessHandler(node.clone())), ready, &cancel, &others);
    start(Arc::new(DirectoryHandler(node.clone())), directory, &cancel, &others);
    if let Some(metrics) = metrics {
        start(Arc::new(http_server::MetricsHandler(node.clone())), metrics, &cancel, &others);
    }

    let mut file = FileWatch::new(path);
    let mut poll = tokio::time::interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&node, path, "signal"),
            _ = poll.tick() => {
                node.metrics.log_dropped.set(dropped_lines.dropped_lines() as i64);
                if file.has_changed() {
                    reload(&node, path, "file changed");
                }
            }
        }
    }
    tracing::info!(grace_ms = grace.as_millis() as u64, "stopping");
    let time = grace.saturating_sub(EXIT_MARGIN);
    let deadline = tokio::time::Instant::now() + time;
    let answer_time = time.saturating_sub(ANSWER_MARGIN);
    node.start_draining(answer_time);
    let answers = deadline - (time - answer_time);
    // Serves on until callers no longer use an address answer that names this node.
    tokio::time::sleep((validity * MAX_VALIDITY_FACTOR).min(grace / 2)).await;
    node.refuse_requests();
    stop.cancel();
    tasks.close();
    if tokio::time::timeout_at(answers, tasks.wait()).await.is_err() {
        tracing::warn!(
            connections = tasks.len(),
            "planned stop reached its time limit; requests that still run are answered"
        );
        node.end_requests();
    }
    if tokio::time::timeout_at(deadline, tasks.wait()).await.is_err() {
        tracing::warn!(connections = tasks.len(), "remaining connections are cut off");
    }
    cancel.cancel();
    tokio::time::sleep(CLOSE_MARGIN).await;
    node.log_dropped_lines();
    tracing::info!("stopped");
    Ok(())
}

/// Starts the tasks that connect the node to its peers and to the platform, until `cancel`.
fn start_tasks(
    node: &Arc<Node>,
    heartbeats: Arc<UdpSocket>,
    peers: Arc<TcpListener>,
    cancel: &CancellationToken,
) {
    let state = || (node.clone(), cancel.clone());
    let (n, c) = state();
    let run = move || membership::run(n.clone(), heartbeats.clone(), c.clone());
    tokio::spawn(supervisor::run("membership", cancel.clone(), run));
    let (n, c) = state();
    let run = move || peer::serve(n.clone(), peers.clone(), c.clone());
    tokio::spawn(supervisor::run("peers", cancel.clone(), run));
    let (n, c) = state();
    let run = move || platform_watch::run(n.clone(), c.clone());
    tokio::spawn(supervisor::run("platform watch", cancel.clone(), run));
    let (n, c) = state();
    let run = move || isolation::run(n.clone(), c.clone());
    tokio::spawn(supervisor::run("isolation", cancel.clone(), run));
}

/// Reloads the settings from `path`. An invalid file is logged and changes nothing.
fn reload(node: &Node, path: &Path, cause: &str) {
    match read(path) {
        Ok(settings) => {
            let needs_restart = node.apply_settings(&settings);
            tracing::info!(cause, needs_restart, "settings read again");
        }
        Err(e) => {
            tracing::error!(cause, error = %e, "settings file is not usable; the old settings stay");
        }
    }
}

/// Detects changes of a file by its modification time.
struct FileWatch<'a> {
    path: &'a Path,
    modified: Option<SystemTime>,
}

impl FileWatch<'_> {
    fn new(path: &Path) -> FileWatch<'_> {
        let mut watch = FileWatch { path, modified: None };
        watch.has_changed();
        watch
    }

    /// Whether the file has changed since the last call.
    fn has_changed(&mut self) -> bool {
        // A file that cannot be read now counts as unchanged; the next poll tries again.
        let modified = std::fs::metadata(self.path).and_then(|m| m.modified()).ok();
        let changed = modified.is_some() && modified != self.modified;
        self.modified = modified.or(self.modified);
        changed
    }
}
