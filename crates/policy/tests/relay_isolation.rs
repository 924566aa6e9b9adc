//! Whether a node is cut off from the upstreams.
//!
//! Guards against nodes that keep failing callers while they are cut off, that take an outage, a
//! slow upstream, a crash or a suspension of the process for that, or that do not return.

use std::time::{Duration, Instant};

use base::id;
use policy::relay::isolation::{Belief, Change, Isolation, Observation, Server, TICK_INTERVAL};

const KNOWN: usize = 10;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn upstream(n: u16) -> id::Upstream {
    id::Upstream(([127, 0, 0, 1], 7_000 + n).into())
}

struct Case {
    now: Instant,
    isolation: Isolation,
    seen: Observation,
    /// Attempts in flight.
    in_flight: Vec<(id::Upstream, Instant)>,
}

impl Case {
    /// A node to which an upstream has just replied.
    fn new() -> Case {
        let now = Instant::now();
        let last_reply = now.checked_sub(ms(1));
        let seen = Observation { last_reply, known: KNOWN, ..Observation::default() };
        Case { now, isolation: Isolation::new(now), seen, in_flight: Vec::new() }
    }

    fn send(&mut self, upstreams: impl IntoIterator<Item = u16>) {
        self.in_flight.extend(upstreams.into_iter().map(|n| (upstream(n), self.now)));
    }

    fn lose(&mut self, upstreams: impl IntoIterator<Item = u16>) {
        for n in upstreams {
            self.isolation.record_loss(self.now, upstream(n), self.now);
        }
    }

    fn reply(&mut self) {
        self.seen.last_reply = Some(self.now);
    }

    fn connect(&mut self, n: u16, accepted: bool) {
        self.isolation.record_connection(self.now, upstream(n), self.now, accepted);
    }

    fn step(&mut self, time: Duration) -> Option<Change> {
        self.now += time;
        let now = self.now;
        let overdue = self.in_flight.iter().filter(|(_, sent)| now - *sent >= ms(250)).copied();
        self.seen.overdue = overdue.collect();
        self.isolation.tick(now, &self.seen)
    }

    /// Returns the changes within `time`.
    fn run(&mut self, time: Duration) -> Vec<Change> {
        let ticks = time.as_millis() / TICK_INTERVAL.as_millis();
        (0..ticks).filter_map(|_| self.step(TICK_INTERVAL)).collect()
    }

    /// A node that is isolated, by attempts that hang.
    fn isolated() -> Case {
        let mut case = Case::new();
        case.isolate();
        case
    }

    fn isolate(&mut self) {
        self.send(0..4);
        assert_eq!(self.run(ms(600)), [Change::Suspected]);
        self.isolation.record_peer(self.now, true);
        self.send(4..6);
        assert_eq!(self.run(ms(400)), [Change::Isolated]);
        self.in_flight.clear();
    }

    /// Lets upstreams accept connections for `time`, in rounds of probes.
    fn accept(&mut self, time: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        for _ in 0..time.as_millis() / 250 {
            self.connect(0, true);
            self.connect(1, true);
            changes.extend(self.run(ms(250)));
        }
        changes
    }
}

#[test]
fn attempts_without_replies_and_the_success_of_a_peer_show_isolation() {
    let case = Case::isolated();
    assert_eq!(case.isolation.belief(), Belief::Isolated);
    // Connections that are reset.
    let mut case = Case::new();
    case.lose(0..3);
    assert_eq!(case.run(ms(500)), [Change::Suspected]);
    case.isolation.record_peer(case.now, true);
    assert_eq!(case.run(ms(200)), [], "only attempts from before the peer's success failed");
    case.lose([3, 3]);
    assert_eq!(case.run(ms(200)), [], "a single upstream");
    case.lose([4]);
    assert_eq!(case.run(ms(200)), [Change::Isolated]);
}

/// Under load, each upstream is asked again and again.
#[test]
fn losses_that_come_all_the_time_are_evidence() {
    let mut case = Case::new();
    let changes = (0..10).flat_map(|_| {
        case.lose(0..9);
        case.run(ms(50))
    });
    assert_eq!(changes.collect::<Vec<_>>(), [Change::Suspected]);
}

#[test]
fn slow_upstreams_and_idle_nodes_are_not_suspicious() {
    let mut slow = Case::new();
    slow.send([0, 0, 0, 1]);
    slow.lose([1]);
    assert_eq!(slow.run(ms(3_000)), [], "two upstreams");
    let mut busy = Case::new();
    busy.send(0..9);
    for _ in 0..20 {
        busy.reply();
        assert_eq!(busy.run(ms(200)), [], "others reply");
    }
    let mut idle = Case::new();
    assert_eq!(idle.run(ms(60_000)), []);
    idle.lose(0..2);
    assert_eq!(idle.run(ms(5_000)), []);
    idle.lose(2..4);
    assert_eq!(idle.run(ms(5_000)), [], "evidence of the last 3 s counts together only");
}

#[test]
fn a_crash_under_a_search_is_cleared_by_the_next_reply() {
    let mut case = Case::new();
    case.lose(0..9);
    assert!(case.isolation.may_be_cut_off(case.now, case.seen.last_reply, KNOWN));
    assert_eq!(case.run(ms(500)), [Change::Suspected]);
    case.isolation.record_peer(case.now, true);
    case.step(TICK_INTERVAL);
    case.reply();
    assert_eq!(case.step(TICK_INTERVAL), Some(Change::Cleared));
    assert!(!case.isolation.may_be_cut_off(case.now, case.seen.last_reply, KNOWN));
}

#[test]
fn an_outage_of_all_upstreams_is_not_isolation() {
    let mut case = Case::new();
    for _ in 0..5 {
        case.send(0..9);
        case.lose(0..9);
        let changes = case.run(ms(1_200));
        assert_eq!(changes.last(), Some(&Change::Suspected), "{changes:?}");
        for _ in 0..3 {
            case.isolation.record_peer(case.now, false);
        }
        assert_eq!(case.run(ms(100)), [Change::Outage]);
        assert_eq!(case.isolation.next_server(false, true), Server::Own);
        assert!(!case.isolation.may_be_cut_off(case.now, case.seen.last_reply, KNOWN));
    }
    // Upstreams come back to a peer first, and then to this node.
    assert_eq!(case.run(ms(1_000)), [Change::Suspected]);
    case.isolation.record_peer(case.now, true);
    assert_eq!(case.run(ms(1_000)), []);
    case.reply();
    case.in_flight.clear();
    assert_eq!(case.run(ms(1_000)), [Change::Cleared]);
}

#[test]
fn a_suspension_of_the_process_is_no_evidence() {
    let mut case = Case::new();
    case.send(0..9);
    assert_eq!(case.step(ms(5_000)), None);
    // What was in flight ends now.
    let sent = case.in_flight[0].1;
    for n in 0..9 {
        case.isolation.record_loss(case.now, upstream(n), sent);
    }
    assert_eq!(case.run(ms(1_000)), []);
    // A process that gets a part of the processor's time may not have read the replies.
    let mut case = Case::new();
    case.send(0..9);
    assert_eq!(case.step(ms(300)), None);
    case.reply();
    assert_eq!(case.run(ms(200)), []);
}

#[test]
fn refused_connections_to_upstreams_that_reply_show_isolation() {
    let mut case = Case::new();
    let refuse = |case: &mut Case, upstreams: std::ops::Range<u16>| {
        upstreams.for_each(|n| case.connect(n, false));
        case.reply();
    };
    refuse(&mut case, 0..3);
    assert_eq!(case.run(ms(400)), [Change::Suspected]);
    case.isolation.record_peer(case.now, true);
    refuse(&mut case, 0..9);
    assert_eq!(case.run(ms(200)), [], "the upstreams that refuse may be down");
    case.seen.replied = vec![upstream(3), upstream(4)];
    refuse(&mut case, 3..5);
    assert_eq!(case.run(ms(200)), [Change::Isolated]);
    // Some upstreams are down, but others accept connections.
    let mut case = Case::new();
    refuse(&mut case, 0..3);
    assert_eq!(case.run(ms(400)), [Change::Suspected]);
    case.isolation.record_peer(case.now, true);
    case.connect(5, true);
    assert_eq!(case.run(ms(100)), [Change::Cleared]);
    refuse(&mut case, 0..3);
    assert_eq!(case.run(ms(600)), [], "not again at once");
}

/// Guards against requests that are lost at a node whose links carry nothing, and against a node that
/// would never see a reply again.
#[test]
fn requests_go_to_peers_that_reach_upstreams_while_isolation_is_suspected() {
    let own = |case: &mut Case, peers| {
        (0..100).filter(|_| case.isolation.next_server(peers, true) == Server::Own).count()
    };
    let mut case = Case::new();
    assert_eq!(own(&mut case, true), 100);
    case.send(0..4);
    case.run(ms(600));
    assert_eq!(own(&mut case, false), 100, "no peer is known to reach upstreams");
    assert_eq!(own(&mut case, true), 0);
    case.connect(9, true);
    assert_eq!(own(&mut case, true), 25, "upstreams accept connections and may reply");
    assert_eq!(own(&mut Case::isolated(), false), 0);
}

/// Guards against nodes that wait for a request of their own to find out that they are cut off.
#[test]
fn contacts_of_peers_and_failed_probes_show_isolation_without_requests() {
    let mut case = Case::new();
    (0..3).for_each(|n| case.connect(n, false));
    assert_eq!(case.run(ms(500)), [Change::Suspected]);
    case.seen.peers.accepted = Some(case.now);
    assert_eq!(case.run(ms(100)), [], "only probes from before the contact failed");
    case.now += ms(1);
    (3..5).for_each(|n| case.connect(n, false));
    assert_eq!(case.run(ms(100)), [Change::Isolated]);
}

/// Upstreams that accept connections and do not reply are down for peers, too.
#[test]
fn connections_that_peers_open_are_no_evidence_against_upstreams_that_do_not_reply() {
    let mut case = Case::new();
    case.send(0..4);
    assert_eq!(case.run(ms(600)), [Change::Suspected]);
    case.connect(0, true);
    case.seen.peers.accepted = Some(case.now);
    case.send(4..9);
    assert_eq!(case.run(ms(600)), []);
    case.seen.peers.replied = Some(case.now);
    case.send(4..9);
    assert_eq!(case.run(ms(600)), [Change::Isolated]);
}

/// Guards against a node that suspects isolation for ever, as one reply came at the beginning and all
/// requests go to peers since.
#[test]
fn a_reply_at_the_start_of_a_suspicion_does_not_outweigh_what_fails_afterwards() {
    let mut case = Case::new();
    (0..3).for_each(|n| case.connect(n, false));
    case.reply();
    assert_eq!(case.run(ms(400)), [Change::Suspected]);
    case.reply();
    case.isolation.record_peer(case.now, true);
    let mut changes = Vec::new();
    for _ in 0..4 {
        changes.extend(case.run(ms(250)));
        (3..6).for_each(|n| case.connect(n, false));
    }
    assert_eq!(changes, [Change::Isolated]);
}

/// Links may accept connections and carry nothing.
#[test]
fn accepted_connections_are_no_contact_after_a_lost_attempt() {
    let mut case = Case::new();
    case.connect(0, true);
    let accepted = |case: &Case| case.isolation.contact(case.seen.last_reply).accepted;
    assert!(accepted(&case).is_some());
    case.lose([1]);
    case.connect(0, true);
    assert_eq!(accepted(&case), None);
    case.now += ms(1);
    case.reply();
    assert!(accepted(&case).is_some());
}

#[test]
fn contacts_from_before_the_suspicion_are_no_evidence() {
    let mut case = Case::new();
    case.seen.peers.replied = Some(case.now);
    case.send(0..4);
    assert_eq!(case.run(ms(600)), [Change::Suspected]);
    case.send(4..9);
    assert_eq!(case.run(ms(1_000)), []);
}

#[test]
fn an_outage_is_over_once_peers_have_contact() {
    let mut case = Case::new();
    case.send(0..9);
    assert_eq!(case.run(ms(600)), [Change::Suspected]);
    case.seen.peers_deny = true;
    assert_eq!(case.step(TICK_INTERVAL), Some(Change::Outage));
    case.seen.peers_deny = false;
    assert_eq!(case.run(ms(500)), [], "not at once again");
    case.seen.peers.replied = Some(case.now);
    assert_eq!(case.run(ms(100)), [Change::Suspected]);
}

#[test]
fn isolation_ends_when_two_upstreams_accept_connections() {
    let mut case = Case::isolated();
    assert_eq!(case.run(ms(30_000)), [], "it has no end in time");
    assert_eq!(case.step(ms(5_000)), None, "nor by a suspension");
    case.connect(0, true);
    case.connect(0, true);
    assert_eq!(case.run(ms(100)), []);
    case.connect(0, false);
    case.connect(1, true);
    assert_eq!(case.run(ms(100)), []);
    case.connect(2, true);
    assert_eq!(case.run(ms(100)), [Change::Recovered]);
    // A node that knows a single upstream.
    let mut case = Case::isolated();
    case.seen.known = 1;
    case.connect(0, true);
    assert_eq!(case.run(ms(100)), [Change::Recovered]);
}

/// Links that accept connections and carry nothing would let the node return again and again.
#[test]
fn a_node_that_relapses_returns_after_a_reply_or_ever_later() {
    let mut case = Case::isolated();
    assert_eq!(case.accept(ms(250)), [Change::Recovered]);
    case.isolate();
    let mut trials = 0;
    for _ in 0..12 {
        assert_eq!(case.accept(ms(250)), []);
        assert_eq!(case.isolation.next_server(true, false), Server::Peer, "it must not be lost");
        if case.isolation.next_server(true, true) == Server::Own {
            trials += 1;
            case.lose([7]);
        }
    }
    assert!((1..=3).contains(&trials), "{trials} trials in 3 s");
    // The links carry replies again.
    case.accept(ms(250));
    case.reply();
    assert_eq!(case.accept(ms(250)), [Change::Recovered]);
    // Links that accept connections while isolation is suspected are not trusted at all.
    let mut case = Case::new();
    case.send(0..4);
    case.run(ms(600));
    case.connect(0, true);
    case.isolation.record_peer(case.now, true);
    case.send(4..6);
    assert_eq!(case.run(ms(400)), [Change::Isolated]);
    case.in_flight.clear();
    assert_eq!(case.accept(ms(750)), []);
    case.reply();
    assert_eq!(case.accept(ms(250)), [Change::Recovered]);
    // Without callers, the time decides.
    case.isolate();
    assert_eq!(case.accept(ms(10_000)), [Change::Recovered]);
}

/// Guards against a node that returns while the request that is to show whether it may is in flight.
#[test]
fn a_node_does_not_return_before_it_knows_how_its_trial_has_ended() {
    let mut case = Case::isolated();
    assert_eq!(case.accept(ms(250)), [Change::Recovered]);
    case.isolate();
    assert_eq!(case.accept(ms(750)), []);
    assert_eq!(case.run(ms(100)), []);
    assert_eq!(case.isolation.next_server(true, true), Server::Own);
    case.send([8]);
    assert_eq!(case.run(ms(200)), [], "a second has passed since connections are accepted");
    case.connect(0, true);
    case.connect(1, true);
    assert_eq!(case.run(ms(200)), [], "it has failed");
}
