//! Tests of a whole fleet on virtual time: configuration, membership, address lists, node stops and
//! upstream drains.

use std::{sync::Arc, time::Duration};

use base::{id, unit::Generation};
use lab::cluster::{self, Cluster, FIRST_CLASS, Options};
use node::node::Node;
use parking_lot::Mutex;
use policy::{membership::Status, outcome::Outcome};
use standin::{event_log::Event, service_time::ServiceTime};
use tokio::time::Instant;
use wire::platform::{State, Vm};

const NODES: usize = 18;
const GROUPS: usize = 25;
/// Time limit for an accepted configuration to be in force at every node.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for work to stop arriving at an upstream that is announced as leaving.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time limit for the membership views to agree after a partition has healed.
const HEAL_LIMIT: Duration = Duration::from_secs(15);

/// Runs `test` with 18 nodes on virtual time.
fn with_cluster<F: Future<Output = ()>>(seed: u64, test: impl FnOnce(Arc<Cluster>) -> F) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime =
        runtime.enable_all().start_paused(true).build().expect("the runtime should build");
    runtime.block_on(async {
        let mut options = Options::new(ServiceTime::Fixed(Duration::from_millis(8)), seed);
        options.coverage = config::deployment::CoverageRule::Complete;
        let cluster = Arc::new(Cluster::start(options).await);
        assert_eq!(cluster.nodes().len(), NODES);
        assert!(cluster.in_force(Generation(1)));
        test(cluster).await;
    });
}

async fn search(cluster: &Cluster, node: &Arc<Node>, text: &str) -> Option<Outcome> {
    let answer = cluster.search(node, cluster::search_request(FIRST_CLASS, text)).await;
    answer.ok().map(|a| a.outcome)
}

fn alive(node: &Node) -> usize {
    node.context.view().iter().filter(|r| r.status == Status::Alive).count()
}

/// Returns whether each running node sees all the others alive and no other node.
fn views_agree(cluster: &Cluster) -> bool {
    let nodes = cluster.nodes();
    nodes.iter().all(|n| alive(n) == nodes.len() - 1)
}

#[test]
fn a_configuration_is_in_force_at_every_node_within_the_limit() {
    with_cluster(1, |cluster| async move {
        for generation in 2..6 {
            cluster.publish(Generation(generation), Generation(1), GROUPS);
            let took =
                cluster.wait_until(IN_FORCE_LIMIT, |c| c.in_force(Generation(generation))).await;
            assert!(took.is_some(), "generation {generation}");
        }
    });
}

#[test]
fn a_configuration_reaches_every_node_despite_lost_heartbeats() {
    with_cluster(2, |cluster| async move {
        cluster.mesh.set_datagram_loss(0.3);
        cluster.publish(Generation(2), Generation(1), GROUPS);
        assert!(cluster.wait_until(IN_FORCE_LIMIT, |c| c.in_force(Generation(2))).await.is_some());
    });
}

#[test]
fn a_stale_flapping_or_invalid_platform_does_not_revert_the_configuration() {
    with_cluster(3, |cluster| async move {
        cluster.publish(Generation(5), Generation(1), GROUPS);
        assert!(cluster.wait_until(IN_FORCE_LIMIT, |c| c.in_force(Generation(5))).await.is_some());
        for step in 0..40 {
            match step % 4 {
                0 => drop(cluster.publish(Generation(3), Generation(1), GROUPS)),
                1 => cluster.platform.change(|s| s.down = true),
                2 => cluster.platform.publish(Generation(50 + step), b"garbage".to_vec()),
                _ => cluster.platform.change(|s| s.down = false),
            }
            tokio::time::sleep(Duration::from_secs(90)).await;
            assert!(cluster.in_force(Generation(5)), "step {step}");
        }
    });
}

#[test]
fn the_newest_generation_survives_the_replacement_of_every_node_while_the_platform_is_stale() {
    with_cluster(4, |cluster| async move {
        cluster.publish(Generation(7), Generation(1), GROUPS);
        assert!(cluster.wait_until(IN_FORCE_LIMIT, |c| c.in_force(Generation(7))).await.is_some());
        cluster.publish(Generation(2), Generation(1), GROUPS);
        for index in 0..NODES {
            cluster.kill(index);
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.restart(index);
            assert!(
                cluster.wait_until(IN_FORCE_LIMIT, |c| c.in_force(Generation(7))).await.is_some(),
                "{index}"
            );
        }
    });
}

#[test]
fn a_partition_heals_to_one_view_and_one_configuration() {
    with_cluster(5, |cluster| async move {
        let nodes = cluster.peer_addresses();
        let (one, rest) = nodes.split_at(7);
        let (two, three) = rest.split_at(5);
        cluster.mesh.partition(one, rest);
        cluster.mesh.partition(two, three);
        tokio::time::sleep(Duration::from_secs(60)).await;
        for (index, node) in cluster.nodes().iter().enumerate() {
            assert_eq!(
                search(&cluster, node, &format!("parted-{index}")).await,
                Some(Outcome::Complete)
            );
            let listed = node.addresses("c").addresses;
            assert!(!listed.is_empty());
        }
        cluster.publish(Generation(2), Generation(1), GROUPS);
        cluster.mesh.heal();
        let healed = |c: &Cluster| views_agree(c) && c.in_force(Generation(2));
        assert!(cluster.wait_until(HEAL_LIMIT, healed).await.is_some());
    });
}

#[test]
fn a_link_cut_in_one_direction_does_not_mark_a_node_dead() {
    with_cluster(6, |cluster| async move {
        let nodes = cluster.peer_addresses();
        cluster.mesh.cut(nodes[0], nodes[1]);
        tokio::time::sleep(Duration::from_secs(60)).await;
        let sees = |n: &Arc<Node>, other: id::Node| {
            n.context.view().iter().any(|r| r.node == other && r.status == Status::Alive)
        };
        let seen =
            cluster.nodes()[2..].iter().filter(|n| sees(n, nodes[0]) && sees(n, nodes[1])).count();
        assert_eq!(seen, NODES - 2);
    });
}

#[test]
fn a_suspended_fleet_declares_no_node_dead() {
    for seconds in [1, 10, 60] {
        with_cluster(7, |cluster| async move {
            tokio::time::advance(Duration::from_secs(seconds)).await;
            for _ in 0..40 {
                let dead =
                    |n: &Arc<Node>| n.context.view().iter().any(|r| r.status == Status::Dead);
                assert!(!cluster.nodes().iter().any(dead), "after {seconds} s");
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            assert!(views_agree(&cluster));
        });
    }
}

#[test]
fn a_failure_domain_lost_is_served_by_the_others() {
    with_cluster(8, |cluster| async move {
        // Node i is in failure domain i % 3; so is replica i of each group.
        for index in (0..NODES).step_by(3) {
            cluster.kill(index);
        }
        let lost: id::Domain = "north".parse().expect("the name should be valid");
        let deployment =
            cluster::deployment(&cluster.options, Generation(1), Generation(1), GROUPS);
        let servers = deployment.services.iter().flat_map(|s| &s.groups).flat_map(|g| &g.servers);
        for server in servers.filter(|s| s.domain == lost) {
            cluster
                .upstreams
                .get(server.upstream)
                .expect("the upstream should exist")
                .update_behaviour(|b| b.down = true);
        }
        for (index, node) in cluster.nodes().iter().enumerate() {
            let outcome = search(&cluster, node, &format!("lost-{index}")).await;
            assert_eq!(outcome, Some(Outcome::Complete), "{index}");
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        for node in cluster.nodes() {
            let listed = node.addresses("caller").addresses;
            assert!(listed.len() == 3 && listed.iter().all(|a| a.domain != lost));
        }
    });
}

#[test]
fn an_isolated_node_reports_its_isolation() {
    with_cluster(9, |cluster| async move {
        let nodes = cluster.peer_addresses();
        cluster.mesh.partition(&nodes[..1], &nodes[1..]);
        tokio::time::sleep(Duration::from_secs(60)).await;
        let list = cluster.node(0).addresses("c");
        assert!(list.isolated && list.addresses.len() == 1);
        assert!(!cluster.node(1).addresses("c").isolated);
    });
}

#[test]
fn addresses_spread_over_domains_and_nodes() {
    with_cluster(10, |cluster| async move {
        let node = cluster.node(4);
        let mut first = std::collections::BTreeMap::new();
        for caller in 0..1_800 {
            let listed = node.addresses(&format!("caller-{caller}")).addresses;
            let domains: std::collections::BTreeSet<_> =
                listed.iter().map(|a| a.domain.clone()).collect();
            assert_eq!((listed.len(), domains.len()), (3, 3));
            *first.entry(listed[0].address).or_insert(0) += 1;
        }
        let (least, most) = (first.values().min(), first.values().max());
        assert!(first.len() == NODES && least > Some(&60) && most < Some(&150), "{first:?}");
    });
}

/// Runs a caller that uses the first address of each address list until the list expires. Records
/// every search that is not complete in `refused`.
async fn search_until_lists_expire(
    cluster: Arc<Cluster>,
    number: usize,
    end: Instant,
    refused: Arc<Mutex<Vec<String>>>,
) {
    let name = format!("caller-{number}");
    let mut requests = 0;
    while Instant::now() < end {
        let nodes = cluster.nodes();
        let list = nodes[(number + requests) % nodes.len()].addresses(&name);
        if list.addresses.is_empty() {
            // A node that has just started has no addresses yet; callers ask another node.
            requests += 1;
            continue;
        }
        let until = Instant::now() + Duration::from_millis(list.validity_ms);
        let address = list.addresses[0].address;
        while Instant::now() <= until {
            requests += 1;
            let all = (0..cluster.len()).map(|i| cluster.node(i));
            let node = all.into_iter().find(|n| n.context.settings.caller_addr == address);
            let node = node.expect("every listed address should belong to a node");
            let listens = !node.cancel().is_cancelled();
            let text = format!("{name}-{requests}");
            let outcome = if listens { search(&cluster, &node, &text).await } else { None };
            if outcome != Some(Outcome::Complete) {
                refused.lock().push(format!("{text} at {address}: {outcome:?}"));
            }
            tokio::time::sleep(Duration::from_millis(199)).await;
        }
    }
}

/// Replaces every node in turn under load while the mesh loses the share `loss` of datagrams. No
/// request may be refused or cut off.
fn replace_all(seed: u64, loss: f64) {
    with_cluster(seed, |cluster| async move {
        cluster.mesh.set_datagram_loss(loss);
        cluster.publish(Generation(2), Generation(1), GROUPS);
        assert!(cluster.wait_until(IN_FORCE_LIMIT, |c| c.in_force(Generation(2))).await.is_some());
        let end = Instant::now() + Duration::from_secs(190);
        let refused = Arc::new(Mutex::new(Vec::new()));
        let callers: Vec<_> = (0..24)
            .map(|n| {
                tokio::spawn(search_until_lists_expire(cluster.clone(), n, end, refused.clone()))
            })
            .collect();
        for index in 0..NODES {
            assert_eq!(cluster.stop(index).await, 0, "requests cut off");
            cluster.restart(index);
            tokio::time::sleep(Duration::from_secs(1)).await;
            assert!(cluster.in_force(Generation(2)));
        }
        for caller in callers {
            caller.await.expect("a caller should not panic");
        }
        assert!(refused.lock().is_empty(), "{:?}", refused.lock());
    });
}

#[test]
fn every_node_is_replaced_under_load_and_no_request_is_cut_off() {
    replace_all(11, 0.0);
}

#[test]
fn a_lost_leave_announcement_cuts_off_no_request() {
    replace_all(12, 0.25);
}

/// Announces by `signal` that upstream 0 of group 0 leaves, and checks that no work arrives at it
/// after [`DRAIN_LIMIT`].
fn drains_by(signal: fn(&Cluster, id::Upstream)) {
    with_cluster(13, |cluster| async move {
        let leaving = cluster.upstreams.all()[0].address();
        let load = cluster.clone();
        let loading = tokio::spawn(async move {
            for i in 0..500 {
                let node = load.node(i % NODES);
                search(&load, &node, &format!("load-{i}")).await;
            }
        });
        tokio::time::sleep(Duration::from_secs(1)).await;
        let arrived = |c: &Cluster| {
            let events = c.event_log.events();
            events
                .iter()
                .filter(|e| matches!(e, Event::Arrived { upstream, .. } if *upstream == leaving))
                .count()
        };
        assert!(arrived(&cluster) > 0);
        signal(&cluster, leaving);
        tokio::time::sleep(DRAIN_LIMIT).await;
        let before = arrived(&cluster);
        loading.await.expect("the load task should not panic");
        assert_eq!(arrived(&cluster), before, "work arrived after {DRAIN_LIMIT:?}");
    });
}

#[test]
fn an_upstream_drains_by_its_own_status() {
    drains_by(|cluster, leaving| {
        let upstream = cluster.upstreams.get(leaving).expect("the upstream should exist");
        upstream.update_behaviour(|b| b.draining = true);
    });
}

#[test]
fn an_upstream_drains_by_the_platforms_list() {
    drains_by(|cluster, leaving| {
        let vm = Vm { address: leaving.0, state: State::Leaving };
        cluster.platform.change(|s| s.vms.push(vm));
    });
}

#[test]
fn an_upstream_drains_by_the_published_map() {
    drains_by(|cluster, leaving| {
        let one = Generation(1);
        let mut deployment = cluster::deployment(&cluster.options, Generation(2), one, GROUPS);
        let servers =
            deployment.services.iter_mut().flat_map(|s| &mut s.groups).flat_map(|g| &mut g.servers);
        servers.filter(|s| s.upstream == leaving).for_each(|s| s.leaving = true);
        cluster.platform.publish(Generation(2), deployment.to_bytes());
    });
}

#[test]
fn an_upstream_drains_with_the_platform_down() {
    drains_by(|cluster, leaving| {
        cluster.platform.change(|s| s.down = true);
        let upstream = cluster.upstreams.get(leaving).expect("the upstream should exist");
        upstream.update_behaviour(|b| b.draining = true);
    });
}

#[test]
fn platform_reads_stay_bounded_when_all_nodes_start_together() {
    with_cluster(14, |cluster| async move {
        tokio::time::sleep(Duration::from_secs(120)).await;
        let before = cluster.platform.reads();
        for index in 0..NODES {
            cluster.restart(index);
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        let reads = cluster.platform.reads() - before;
        // The platform answers 2,000 reads/s over all readers; with 7,700 nodes that is 0.26
        // reads/s a node.
        let budget = 2_000.0 / 7_700.0 * NODES as f64 * 10.0;
        assert!((reads as f64) < 2.0 * budget, "{reads} reads in 10 s by {NODES} nodes");
    });
}

/// Guards against a starting node that serves the platform's stale value before it has got the
/// newer configuration from its peers.
#[test]
fn a_new_node_does_not_serve_an_older_configuration_than_its_peers() {
    with_cluster(15, |cluster| async move {
        let two = Generation(2);
        cluster.upstreams.all().iter().for_each(|u| u.update_behaviour(|b| b.maps.push(two)));
        cluster.publish(Generation(7), two, GROUPS);
        assert!(cluster.wait_until(IN_FORCE_LIMIT, |c| c.in_force(Generation(7))).await.is_some());
        cluster.publish(Generation(1), Generation(1), GROUPS);
        cluster.restart(3);
        let mut complete = 0;
        for step in 0..600 {
            let call = cluster::search_request(FIRST_CLASS, &format!("boot-{step}"));
            let answer =
                cluster.search(&cluster.node(3), call).await.expect("the node should answer");
            let maps: Vec<_> = answer.snapshot.iter().map(|s| s.map).collect();
            assert!(maps.is_empty() || maps == [two], "step {step}: {maps:?}");
            complete += usize::from(answer.outcome == Outcome::Complete);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(complete > 0, "the node never served");
    });
}

/// After a suspension the health states of upstreams are out of date. The process must refresh them
/// first, or it sends work to an upstream that began to drain meanwhile.
#[test]
fn a_resumed_process_refreshes_upstream_states_before_new_work() {
    with_cluster(16, |cluster| async move {
        for i in 0..NODES {
            search(&cluster, &cluster.node(i), &format!("before-{i}")).await;
        }
        let leaving = cluster.upstreams.all()[0].clone();
        leaving.update_behaviour(|b| b.draining = true);
        tokio::time::advance(Duration::from_secs(10)).await;
        let calls = (0..NODES).map(|i| {
            let (cluster, node) = (cluster.clone(), cluster.node(i));
            async move { search(&cluster, &node, &format!("after-{i}")).await }
        });
        let outcomes = futures::future::join_all(calls).await;
        assert!(outcomes.iter().all(|o| *o == Some(Outcome::Complete)));
        let late = |e: &Event| {
            matches!(e, Event::Arrived { upstream, body, .. }
                if *upstream == leaving.address() && body.starts_with("after"))
        };
        assert_eq!(cluster.event_log.events().iter().filter(|e| late(e)).count(), 0);
    });
}

/// Takes node 0 out of service with `lose` and searches at every other node at once, before any can
/// have detected the loss. All searches must complete.
fn searches_bypass_lost_node(lose: fn(&Cluster)) {
    with_cluster(17, |cluster| async move {
        for i in 0..NODES {
            search(&cluster, &cluster.node(i), &format!("before-{i}")).await;
        }
        lose(&cluster);
        let calls = (1..NODES).map(|i| {
            let (cluster, node) = (cluster.clone(), cluster.node(i));
            async move { search(&cluster, &node, &format!("after-{i}")).await }
        });
        let outcomes = futures::future::join_all(calls).await;
        assert!(outcomes.iter().all(|o| *o == Some(Outcome::Complete)), "{outcomes:?}");
    });
}

#[test]
fn searches_bypass_a_killed_leaf_within_the_deadline() {
    searches_bypass_lost_node(|cluster| cluster.kill(0));
}

#[test]
fn searches_bypass_a_silent_leaf_within_the_deadline() {
    searches_bypass_lost_node(|cluster| {
        let nodes = cluster.peer_addresses();
        cluster.mesh.partition(&nodes[..1], &nodes[1..]);
    });
}

#[test]
fn a_group_at_an_old_version_makes_only_its_own_keys_missing() {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime =
        runtime.enable_all().start_paused(true).build().expect("the runtime should build");
    runtime.block_on(async {
        let cluster =
            Cluster::start(Options::new(ServiceTime::Fixed(Duration::from_millis(8)), 18)).await;
        let lagging = &cluster::deployment(&cluster.options, Generation(1), Generation(1), GROUPS)
            .services[0]
            .groups[0];
        for upstream in cluster.upstreams.all() {
            let lags = lagging.servers.iter().any(|s| s.upstream == upstream.address());
            let version = base::unit::Version(if lags { 1 } else { 2 });
            let window = policy::replica::Window { oldest: version, newest: version };
            upstream.update_behaviour(|b| b.window = b.window.map(|_| window));
        }
        // Nodes read the new version windows within a few seconds. From then on every answer has
        // the keys of all other groups.
        tokio::time::sleep(Duration::from_secs(4)).await;
        for i in 0..NODES {
            let call = cluster::search_request(FIRST_CLASS, &format!("lag-{i}"));
            let answer =
                cluster.search(&cluster.node(i), call).await.expect("the node should answer");
            assert_eq!(answer.outcome, Outcome::Partial, "{i}");
            let missing: Vec<_> = answer.missing.iter().map(|g| (g.group, g.reason)).collect();
            assert_eq!(missing, [(id::Group(0), policy::outcome::Reason::Version)], "{i}");
        }
    });
}
