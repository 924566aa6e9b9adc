//! A request that crashes each upstream that runs it, resent by its caller to every node.

use std::{sync::Arc, time::Duration};

use lab::{
    check,
    cluster::{self, Cluster, FIRST_CLASS, Options, SECOND_CLASS},
};
use policy::outcome::{Outcome, Reason};
use standin::service_time::ServiceTime;

const NODES: usize = 18;
const GROUPS: usize = 25;
/// Upstreams that one fingerprint may bring down in the whole fleet: at first sight one in
/// each group, and one more in each while the news of it spreads.
const BOUND: usize = 2 * GROUPS;

fn with_cluster<F: Future<Output = ()>>(seed: u64, test: impl FnOnce(Arc<Cluster>) -> F) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("runtime");
    runtime.block_on(async {
        let options =
            Options::new(ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.0 }, seed);
        test(Arc::new(Cluster::start(options).await)).await;
    });
}

async fn crash(cluster: &Cluster, node: usize) -> (Outcome, Option<Reason>) {
    let call = cluster::search_request(SECOND_CLASS, "crash of the index");
    let answer = cluster.search(&cluster.node(node), call).await.expect("answered");
    (answer.outcome, answer.reason)
}

#[test]
fn a_crashing_request_resent_to_every_node_stays_under_its_bound() {
    for seed in 0..8 {
        with_cluster(seed, |cluster| async move {
            for node in 0..NODES {
                crash(&cluster, node).await;
            }
            let lost =
                check::crashed_upstreams("crash of the index", &cluster.event_log.events()).len();
            println!("seed {seed}: {lost} upstreams lost");
            assert!(lost > 0 && lost <= BOUND, "seed {seed}: {lost} upstreams lost");
            let last = crash(&cluster, 0).await;
            assert_eq!(last, (Outcome::NotRun, Some(Reason::Quarantined)));
        });
    }
}

#[test]
fn ordinary_requests_beside_it_are_answered_and_none_is_quarantined() {
    with_cluster(9, |cluster| async move {
        let ordinary = cluster.clone();
        let load = tokio::spawn(async move {
            let mut complete = 0;
            let mut refused = 0;
            for i in 0..600 {
                let node = ordinary.node(i % NODES);
                // Few texts, so that the same fingerprints run beside the crashing one again.
                let call = cluster::search_request(FIRST_CLASS, &format!("ordinary-{}", i % 10));
                let answer = ordinary.search(&node, call).await.expect("answered");
                complete += usize::from(answer.outcome == Outcome::Complete);
                refused += usize::from(answer.reason == Some(Reason::Quarantined));
            }
            (complete, refused)
        });
        for node in 0..NODES {
            tokio::time::sleep(Duration::from_millis(100)).await;
            crash(&cluster, node).await;
        }
        let (complete, refused) = load.await.expect("load runs");
        let lost =
            check::crashed_upstreams("crash of the index", &cluster.event_log.events()).len();
        println!("{lost} upstreams lost, {complete} of 600 ordinary searches complete");
        assert!(lost <= BOUND, "{lost} upstreams lost");
        assert_eq!(refused, 0, "ordinary searches quarantined");
        assert!(complete >= 594, "{complete} of 600 complete");
    });
}
