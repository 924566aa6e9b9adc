//! Odd values in the platform's store, and odd datagrams, as other writers may leave or send them.
//!
//! Guards against nodes that end again and again, or that stop following the store.

mod fleet;

use std::{net::UdpSocket, time::Duration};

use bytes::Bytes;
use fleet::{Fleet, HOST, config, eventually, spec, upstreams};
use platform_standin::{
    caller::{CONFIG_KEY, CallerRequest, Connection, lookup_nodes},
    store::Store,
    upstream::Upstream,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

const POOLS: usize = 2;
const NODES: u8 = 2;

fn odd_values() -> Vec<Vec<u8>> {
    let entry = |addr: &str, slots: &str, more: &str| {
        format!(
            r#"{{"service":"shard-0","addr":"{addr}","zone":"a","slots":{slots},"state":"ready"{more}}}"#
        )
    };
    let texts = [
        "[".repeat(100_000) + &"]".repeat(100_000),
        r#"{"a":"#.repeat(100_000),
        entry("127.0.0.1:80", "3", &format!(r#","more":{}"#, "[".repeat(100_000))),
        entry("127.0.0.1:80", "99999999999999999999999", ""),
        entry("127.0.0.1:80", "1e400", ""),
        entry("127.0.0.1:80", "3", r#","born":1e400"#),
        // A proper entry, of a pool without requests, as nothing listens at its address.
        entry("127.0.0.1:1", "65535", r#","born":18446744073709551615,"cold-left-ms":1e308"#)
            .replace("shard-0", "unused"),
        entry("127.0.0.1:65536", "3", ""),
        entry("127.0.0.1:0", "3", ""),
        entry("0.0.0.0:0", "0", ""),
        "null".to_owned(),
    ];
    let mut values: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    values.extend([Vec::new(), vec![0xff; 1_000]]);
    values
}

async fn status(node: &fleet::Process, path: &str, id: String) -> Option<u16> {
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: path.to_owned(),
        id,
        timeout: Duration::from_millis(1_500),
        body: Bytes::new(),
    };
    let mut connection = Connection::connect(node.callers()).await.ok()?;
    Some(connection.send(&request).await.ok()?.status)
}

/// Checks that all nodes run, serve, and follow the store to the configuration `version`.
async fn check_following(store: &Store, fleet: &mut Fleet, version: u64, odd: &str) {
    store.put(CONFIG_KEY, config(version, POOLS).to_json().as_bytes());
    for n in 0..fleet.nodes.len() {
        let node = &fleet.nodes[n];
        let path = format!("/mark-{version}/x");
        eventually(odd, async || {
            status(node, &path, format!("mark-{version}-{n}")).await == Some(200)
        })
        .await;
        let search = status(node, &format!("/search/{version}"), format!("s-{version}-{n}")).await;
        assert_eq!(search, Some(200), "{odd}");
        assert!(lookup_nodes(node.directory(), "a").await.is_some(), "{odd}");
    }
    fleet.assert_running();
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_survive_odd_values_in_the_store_and_go_on_following_it() {
    let cancel = CancellationToken::new();
    let _stop = cancel.clone().drop_guard();
    let store = Store::start(cancel).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let _upstreams = upstreams(&store, POOLS, 2).await;
    let mut fleet = Fleet::start(NODES, store.address());
    fleet.ready().await;
    let mut version = 1;
    for value in odd_values() {
        let odd = String::from_utf8_lossy(&value[..value.len().min(100)]).into_owned();
        store.put(&format!("servers/odd-{version}"), &value);
        // It replaces the entry of an upstream that serves; the others hold.
        store.put("servers/i-shard-0-1", &value);
        store.put("op/evacuate/", &value);
        store.put(CONFIG_KEY, &value);
        version += 1;
        check_following(&store, &mut fleet, version, &odd).await;
    }
    let nested = "[".repeat(1_000) + &"]".repeat(1_000);
    for item in [r#"{"key":"servers/odd","rev":1e400,"value":7}"#.to_owned(), nested] {
        store.put_text("servers/odd", &item);
        version += 1;
        check_following(&store, &mut fleet, version, &item[..20]).await;
    }
    // A node that has read nothing yet.
    fleet.nodes[0].kill();
    fleet.nodes[0].start();
    fleet.ready().await;
    let _later = Upstream::start(spec("shard-0", 7), &store).await.expect("an upstream");
    check_following(&store, &mut fleet, version + 1, "a new process").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_survive_odd_datagrams_of_peers() {
    let cancel = CancellationToken::new();
    let _stop = cancel.clone().drop_guard();
    let store = Store::start(cancel).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let _upstreams = upstreams(&store, POOLS, 2).await;
    let mut fleet = Fleet::start_relaying(&[1.0, 1.0], store.address());
    fleet.ready().await;
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for round in 0..2_000 {
        let mut bytes = vec![0; rng.random_range(0..1_500)];
        rng.fill(&mut bytes[..]);
        // Heads that decoders read further, by their protocol version.
        let head: &[u8] = match round % 4 {
            0 => &[2, 4, b't', b'e', b's', b't'],
            1 => &[0x81, 0x88, 0x01, 4, b't', b'e', b's', b't'],
            2 => &[0x81, 0xa4, 0x01, 4, b't', b'e', b's', b't'],
            _ => &[],
        };
        let bytes = [head, &bytes].concat();
        for node in &fleet.nodes {
            let _ = socket.send_to(&bytes, (node.ip, fleet::PEER_PORT));
        }
        if round % 200 == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    check_following(&store, &mut fleet, 2, "random datagrams").await;
}
