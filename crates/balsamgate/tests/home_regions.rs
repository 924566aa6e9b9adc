//! End-to-end test of home regions.
//!
//! Guards against requests of a route with home regions that reach upstreams elsewhere, and against
//! address answers that name nodes elsewhere.

mod fleet;

use std::{io::Write, time::Duration};

use bytes::Bytes;
use fleet::{Fleet, HOST, ZONES, config, eventually, upstreams};
use platform_standin::{
    caller::{self, CONFIG_KEY, CallerRequest, Connection},
    store::Store,
};
use tokio_util::sync::CancellationToken;

const POOLS: usize = 2;
/// The failure domain a is in the north, the others are in the south.
const REGIONS: &str = "[regions]\na = north\nb = south\nc = south\n";

#[tokio::test(flavor = "multi_thread")]
async fn requests_stay_in_the_home_regions_of_their_route() {
    let cancel = CancellationToken::new();
    let _guard = cancel.clone().drop_guard();
    let store = Store::start(cancel).await.expect("a store");
    let at_home = |version| {
        let text = config(version, POOLS).to_json();
        text.replace(r#""prefix":"#, r#""home-regions":["north"],"prefix":"#)
    };
    store.put(CONFIG_KEY, at_home(1).as_bytes());
    let upstreams = upstreams(&store, POOLS, ZONES.len()).await;
    let mut fleet = Fleet::start(3, store.address());
    fleet.ready().await;
    for n in 0..3 {
        fleet.nodes[n].kill();
        let settings = fleet.directory().join(format!("node-{n}.ini"));
        let file = std::fs::File::options().append(true).open(settings);
        file.expect("settings file").write_all(REGIONS.as_bytes()).expect("settings written");
        fleet.nodes[n].start();
    }
    fleet.ready().await;

    let directory = fleet.nodes[2].directory();
    let named = async |host: &str, region: &str, zone: &str| {
        let answer = caller::lookup_nodes_for(directory, host, region, zone).await;
        let mut nodes = answer.map(|(nodes, _)| nodes).unwrap_or_default();
        nodes.sort();
        nodes
    };
    let all: Vec<_> = fleet.nodes.iter().map(|n| n.callers()).collect();
    eventually("all nodes are named", async || named("any", "x", "x").await == all).await;
    assert_eq!(named(HOST, "west", "x").await, all[..1]);
    assert_eq!(named(HOST, "south", "x").await, all);

    let mut connection = Connection::connect(fleet.nodes[2].callers()).await.expect("it listens");
    let mut send = async |n: u32, path: &str| {
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: path.to_owned(),
            id: format!("request-{n}"),
            timeout: Duration::from_millis(1_500),
            body: Bytes::new(),
        };
        connection.send(&request).await.expect("the node answers").status
    };
    for n in 0..30 {
        assert_eq!(send(n, ["/search/x", "/mark-1/x"][n as usize % 2]).await, 200);
    }
    let away = upstreams.iter().filter(|u| !u.instance().ends_with("-0"));
    assert!(away.clone().all(|u| u.arrivals().is_empty()), "requests left their home region");

    // Upstreams elsewhere do not stand in for those at home.
    upstreams.iter().filter(|u| u.instance().ends_with("-0")).for_each(|u| u.crash(true));
    for n in 100..110 {
        assert_ne!(send(n, "/mark-1/x").await, 200);
    }
    assert!(away.clone().all(|u| u.arrivals().is_empty()), "requests left their home region");
}
