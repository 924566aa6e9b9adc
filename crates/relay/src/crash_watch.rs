//! Watches an upstream that may have crashed while it ran a request.
//!
//! An attempt that ends without a reply makes its request a suspect, also if nobody waits for the
//! reply any more. The decisions are in [`policy::relay::crash_suspects`].

use std::{io, sync::Arc};

use parking_lot::Mutex;
use policy::relay::{
    crash_suspects::{self, CrashSuspects, Exposure, Proof, Suspect},
    registry::Entry,
    upstream::AttemptEnd,
};
use tokio::{runtime::Handle, sync::Notify};

use crate::{
    connection::{ConnectError, UpstreamConnections},
    crash, isolation,
    node::Node,
};

/// Suspects of one upstream.
#[derive(Debug, Default)]
pub(crate) struct CrashWatch {
    state: Mutex<State>,
    /// Signals that a check may be due earlier.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    suspects: CrashSuspects,
    /// Whether a task checks the upstream.
    watching: bool,
}

impl CrashWatch {
    /// Records a sign that the upstream of `connections` may have crashed.
    pub(crate) fn record_sign(
        &self,
        node: &Arc<Node>,
        connections: &Arc<UpstreamConnections>,
        entry: &Arc<Entry>,
    ) {
        {
            let mut state = self.state.lock();
            if state.suspects.is_empty() {
                return;
            }
            state.suspects.record_sign(node.now());
        }
        self.start(node, connections, entry);
    }

    fn record_alive(&self, node: &Node) {
        let mut state = self.state.lock();
        if !state.suspects.is_empty() {
            state.suspects.record_alive(node.now());
        }
    }

    fn add(
        &self,
        node: &Arc<Node>,
        connections: &Arc<UpstreamConnections>,
        entry: &Arc<Entry>,
        suspect: Suspect,
        exposure: Exposure,
    ) {
        // The connection of the attempt itself still counts as open.
        let connected = connections.open() > 1;
        let dropped = self.state.lock().suspects.add(node.now(), suspect, exposure, connected);
        if let Some(dropped) = dropped {
            crash::dropped(node, Some(dropped.fingerprint), 1, crash::DropCause::SuspectsFull);
        }
        node.suspected_upstreams.add(entry, connections);
        self.start(node, connections, entry);
    }

    /// Starts a task that checks the upstream, unless one is running.
    fn start(&self, node: &Arc<Node>, connections: &Arc<UpstreamConnections>, entry: &Arc<Entry>) {
        if std::mem::replace(&mut self.state.lock().watching, true) {
            self.changed.notify_one();
            return;
        }
        // Attempts are also dropped with the runtime, when nothing is left to check.
        let Ok(runtime) = Handle::try_current() else { return };
        runtime.spawn(watch(node.clone(), connections.clone(), entry.clone()));
    }

    /// Reports the suspects of an upstream in whose place another process has been found.
    pub(crate) fn record_replaced(&self, node: &Node, entry: &Entry) {
        let suspects = self.state.lock().suspects.len();
        if suspects > 0 {
            crash::checked(node, entry, suspects, "replaced", None);
            self.report(node, entry, Proof::Replaced);
        }
    }

    /// Reports the suspects of a silent upstream that the platform no longer lists.
    fn record_gone(&self, node: &Node, entry: &Entry) {
        let silent = self.state.lock().suspects.silent_len();
        if silent > 0 {
            crash::checked(node, entry, silent, "gone", None);
            self.report(node, entry, Proof::Gone);
        }
    }

    /// Reports the suspects, as the upstream has crashed.
    fn report(&self, node: &Node, entry: &Entry, proof: Proof) {
        let suspects = self.state.lock().suspects.take(node.now(), proof);
        crash::upstream_crashed(node, entry, &suspects);
    }
}

/// Upstreams with suspects, whose registry entries are watched.
#[derive(Debug, Default)]
pub(crate) struct SuspectedUpstreams {
    upstreams: Mutex<Vec<(Arc<Entry>, Arc<UpstreamConnections>)>>,
}

impl SuspectedUpstreams {
    fn add(&self, entry: &Arc<Entry>, connections: &Arc<UpstreamConnections>) {
        let mut upstreams = self.upstreams.lock();
        if !upstreams.iter().any(|(_, known)| Arc::ptr_eq(known, connections)) {
            upstreams.push((entry.clone(), connections.clone()));
        }
    }

    /// Reports the suspects of upstreams that `node`'s registry shows to have been replaced or to
    /// have gone. To be called after each change of the registry.
    pub(crate) fn check_registry(&self, node: &Node) {
        let now = node.now();
        let mut unresolved = 0;
        self.upstreams.lock().retain(|(_, connections)| {
            let suspects = &mut connections.crash_watch.state.lock().suspects;
            suspects.expire(now);
            unresolved += suspects.take_unresolved();
            !suspects.is_empty()
        });
        if unresolved > 0 {
            crash::dropped(node, None, unresolved, crash::DropCause::CutOff);
        }
        let (replaced, gone): (Vec<_>, Vec<_>) = {
            let registry = node.registry.lock();
            let upstreams = self.upstreams.lock();
            let ended = |(entry, _): &&(Arc<Entry>, _)| {
                registry.is_replaced(entry) || registry.has_gone(entry)
            };
            let ended = upstreams.iter().filter(ended).cloned();
            ended.partition(|(entry, _)| registry.is_replaced(entry))
        };
        for (entry, connections) in replaced {
            connections.crash_watch.record_replaced(node, &entry);
        }
        for (entry, connections) in gone {
            connections.crash_watch.record_gone(node, &entry);
        }
    }
}

/// Checks the upstream of `connections` as often as its suspects require.
async fn watch(node: Arc<Node>, connections: Arc<UpstreamConnections>, entry: Arc<Entry>) {
    let watch = &connections.crash_watch;
    loop {
        let now = node.now();
        let next_check = {
            let mut state = watch.state.lock();
            state.suspects.expire(now);
            let next_check = state.suspects.next_check();
            state.watching = next_check.is_some();
            next_check
        };
        let Some(next_check) = next_check else { return };
        let wait = next_check.saturating_duration_since(now);
        if !wait.is_zero() {
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = watch.changed.notified() => {}
            }
            continue;
        }
        if node.pools.lock().is_evacuated(&entry.domain) {
            watch.state.lock().suspects.record_silence(node.now());
            continue;
        }
        let suspects = watch.state.lock().suspects.len();
        let last_reply = *node.last_reply.lock();
        match connections.accepts_connection(&node, &entry).await {
            Ok(()) => {
                crash::checked(&node, &entry, suspects, "accepted", None);
                watch.state.lock().suspects.record_check(node.now());
            }
            Err(e) => {
                let timed_out = |e: &io::Error| e.kind() == io::ErrorKind::TimedOut;
                let silent = matches!(&e, ConnectError::Socket(e) if timed_out(e));
                let (proof, result) = match silent {
                    true => (Proof::Silent, "silent"),
                    false => (Proof::Unreachable, "refused"),
                };
                let cause = e.to_string();
                crash::checked(&node, &entry, suspects, result, Some(&cause));
                let latest = *node.last_reply.lock();
                let is_crash =
                    proof.is_crash(crash_suspects::others_reply(now, last_reply, latest));
                // A node that is cut off loses its connections, too.
                if is_crash && !isolation::may_be_cut_off(&node) {
                    crash::unreachable(&node, &entry, suspects, &cause);
                    watch.report(&node, &entry, proof);
                } else {
                    watch.state.lock().suspects.record_silence(node.now());
                }
            }
        }
    }
}

/// Makes a request that was sent to an upstream a suspect, unless the attempt ends with a reply.
#[derive(Debug)]
pub(crate) struct RunGuard {
    node: Arc<Node>,
    connections: Arc<UpstreamConnections>,
    entry: Arc<Entry>,
    /// `None` once the attempt has ended.
    suspect: Option<Suspect>,
}

impl RunGuard {
    pub(crate) fn new(
        node: Arc<Node>,
        connections: Arc<UpstreamConnections>,
        entry: Arc<Entry>,
        suspect: Suspect,
    ) -> RunGuard {
        RunGuard { node, connections, entry, suspect: Some(suspect) }
    }

    /// Records how the attempt ended.
    pub(crate) fn ended(mut self, end: AttemptEnd) {
        let Some(suspect) = self.suspect.take() else { return };
        let RunGuard { node, connections, entry, .. } = &self;
        match end {
            AttemptEnd::Reply { .. } | AttemptEnd::Refused => {
                if end != AttemptEnd::Refused {
                    suspect.arrival.record_reply();
                }
                *node.last_reply.lock() = Some(node.now());
                connections.crash_watch.record_alive(node);
            }
            AttemptEnd::NotSent | AttemptEnd::Withheld => {}
            AttemptEnd::InstanceReplaced => connections.crash_watch.record_replaced(node, entry),
            AttemptEnd::ConnectionLost | AttemptEnd::BadReply | AttemptEnd::NoReply => {
                crash::lost(node, entry, &suspect, end);
                connections.crash_watch.add(node, connections, entry, suspect, Exposure::Lost);
            }
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let Some(suspect) = self.suspect.take() else { return };
        let RunGuard { node, connections, entry, .. } = &*self;
        // Not logged: callers may leave in large numbers. A crash is logged with its suspects.
        node.metrics.crash_losses.with_label_values(&["abandoned"]).inc();
        connections.crash_watch.add(node, connections, entry, suspect, Exposure::Abandoned);
    }
}
