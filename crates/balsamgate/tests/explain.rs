//! Explanation of a request by a running node.
//!
//! Guards against an explanation that is not served, or that does not agree with what the node does.

mod fleet;

use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, HOST, config, eventually, upstreams};
use platform_standin::{
    caller::{CONFIG_KEY, CallerRequest, Connection},
    store::Store,
};
use relay::explain::NodeExplanation;
use tokio_util::sync::CancellationToken;

async fn get(address: std::net::SocketAddr, path: &str) -> (u16, Bytes) {
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: path.to_owned(),
        id: "q".to_owned(),
        timeout: Duration::from_secs(2),
        body: Bytes::new(),
    };
    let mut connection = Connection::connect(address).await.expect("a connection");
    let answer = connection.send(&request).await.expect("an answer");
    (answer.status, answer.body)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_explains_a_request_without_sending_it() {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, 2).to_json().as_bytes());
    let all = upstreams(&store, 2, 2).await;
    let mut fleet = Fleet::start(1, store.address());
    fleet.ready().await;
    let metrics = (fleet.nodes[0].ip, 7105).into();
    let explain = async |path: &str| {
        let (status, body) = get(metrics, &format!("/explain?host={HOST}&path={path}")).await;
        assert_eq!(status, 200, "{body:?}");
        serde_json::from_slice::<NodeExplanation>(&body).expect("an explanation")
    };
    let request = explain("%2Fsearch/x").await.request.expect("a route");
    assert_eq!((request.route.as_str(), request.pools.len()), ("search", 2));
    assert!(request.pools.iter().all(|p| p.upstreams.len() == 2 && p.upstreams[0].domain == "a"));
    assert!(all.iter().all(|u| u.arrivals().is_empty()), "nothing was sent");
    assert_eq!(explain("/none").await.request, None);
    assert_eq!(get(metrics, "/explain?host=x").await.0, 400);

    all.iter().filter(|u| u.pool() == "shard-0").for_each(|u| u.crash(true));
    eventually("the explanation agrees with a request that is refused", async || {
        let refused = get(fleet.nodes[0].callers(), "/once/x").await.0 == 200
            && get(fleet.nodes[0].callers(), "/search/x").await.0 == 503;
        let request = explain("/search/x").await.request.expect("a route");
        refused && request.usable_pools == 1 && request.admitted_share == 0.0
    })
    .await;
    cancel.cancel();
}
