//! Tests of the quarantine: a request crashes every upstream that runs it, and its caller resends
//! it to every node.

use std::{sync::Arc, time::Duration};

use lab::{
    check,
    cluster::{self, Cluster, FIRST_CLASS, Options, SECOND_CLASS},
};
use policy::outcome::{Outcome, Reason};
use standin::service_time::ServiceTime;

const NODES: usize = 18;
const GROUPS: usize = 25;
/// Most upstreams that one request fingerprint may crash in the whole fleet: one in each group
/// before the fingerprint is quarantined, and one more in each while the quarantine spreads.
const MAX_CRASHED: usize = 2 * GROUPS;

fn with_cluster<F: Future<Output = ()>>(seed: u64, test: impl FnOnce(Arc<Cluster>) -> F) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime =
        runtime.enable_all().start_paused(true).build().expect("the runtime should build");
    runtime.block_on(async {
        let options =
            Options::new(ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.0 }, seed);
        test(Arc::new(Cluster::start(options).await)).await;
    });
}

/// Sends the crashing search to node `node`.
async fn send_crashing_search(cluster: &Cluster, node: usize) -> (Outcome, Option<Reason>) {
    let call = cluster::search_request(SECOND_CLASS, "crash of the index");
    let answer = cluster.search(&cluster.node(node), call).await.expect("the node should answer");
    (answer.outcome, answer.reason)
}

#[test]
fn a_crashing_request_resent_to_every_node_crashes_a_bounded_number_of_upstreams() {
    for seed in 0..8 {
        with_cluster(seed, |cluster| async move {
            for node in 0..NODES {
                send_crashing_search(&cluster, node).await;
            }
            let lost =
                check::crashed_upstreams("crash of the index", &cluster.event_log.events()).len();
            println!("seed {seed}: {lost} upstreams lost");
            assert!(lost > 0 && lost <= MAX_CRASHED, "seed {seed}: {lost} upstreams lost");
            let last = send_crashing_search(&cluster, 0).await;
            assert_eq!(last, (Outcome::NotRun, Some(Reason::Quarantined)));
        });
    }
}

/// Guards against blaming the wrong requests: an upstream that crashes also loses the ordinary
/// requests that it runs at that moment, and they must not be quarantined for it.
#[test]
fn ordinary_requests_next_to_a_crashing_one_complete_and_are_not_quarantined() {
    with_cluster(9, |cluster| async move {
        let ordinary = cluster.clone();
        let load = tokio::spawn(async move {
            let mut complete = 0;
            let mut refused = 0;
            for i in 0..600 {
                let node = ordinary.node(i % NODES);
                // Only ten texts, so that the same fingerprints run next to the crashing one again.
                let call = cluster::search_request(FIRST_CLASS, &format!("ordinary-{}", i % 10));
                let answer = ordinary.search(&node, call).await.expect("the node should answer");
                complete += usize::from(answer.outcome == Outcome::Complete);
                refused += usize::from(answer.reason == Some(Reason::Quarantined));
            }
            (complete, refused)
        });
        for node in 0..NODES {
            tokio::time::sleep(Duration::from_millis(100)).await;
            send_crashing_search(&cluster, node).await;
        }
        let (complete, refused) = load.await.expect("the load task should not panic");
        let lost =
            check::crashed_upstreams("crash of the index", &cluster.event_log.events()).len();
        println!("{lost} upstreams lost, {complete} of 600 ordinary searches complete");
        assert!(lost <= MAX_CRASHED, "{lost} upstreams lost");
        assert_eq!(refused, 0, "ordinary searches quarantined");
        assert!(complete >= 594, "{complete} of 600 complete");
    });
}
