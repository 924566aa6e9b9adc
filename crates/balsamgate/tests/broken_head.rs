//! Nodes as processes with an upstream that stops at each byte of its reply, and closes or resets the
//! connection.
//!
//! Guards against a success with an empty or short body that is framed as whole.

mod fleet;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fleet::{Fleet, HOST, config, pool};
use platform_standin::{
    caller::{CONFIG_KEY, CallerRequest, Connection},
    store::Store,
    upstream::RECORD_BYTES,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// How the length of a reply's body is stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

/// What the upstream does to the replies to come.
#[derive(Debug)]
struct Break {
    framing: Framing,
    /// Whether the first request of a connection gets its reply, and the second the broken one.
    kept: bool,
    /// Whether the connection is reset, rather than closed.
    reset: bool,
    /// Bytes of the reply that are sent.
    sent: AtomicUsize,
}

const BODY: [u8; RECORD_BYTES] = *b"0123456789abcdef";

fn reply(id: &str, framing: Framing) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s-{id}\r\n");
    let body = String::from_utf8_lossy(&BODY);
    let text = match framing {
        Framing::Length => format!("{head}content-length: {RECORD_BYTES}\r\n\r\n{body}"),
        Framing::Chunks => {
            let (first, second) = body.split_at(6);
            format!(
                "{head}transfer-encoding: chunked\r\n\r\n6\r\n{first}\r\na\r\n{second}\r\n0\r\n\r\n"
            )
        }
    };
    text.into_bytes()
}

async fn serve(mut stream: TcpStream, how: Arc<Break>) {
    let mut buffer = vec![0; 8_192];
    loop {
        let Ok(size @ 1..) = stream.read(&mut buffer).await else { return };
        let text = String::from_utf8_lossy(&buffer[..size]).into_owned();
        let id = text.lines().find_map(|l| l.strip_prefix("request-id: ")).unwrap_or("none");
        let reply = reply(id, how.framing);
        let is_whole = how.kept && id.starts_with("whole");
        let sent = if is_whole { reply.len() } else { how.sent.load(Ordering::Relaxed) };
        if stream.write_all(&reply[..sent.min(reply.len())]).await.is_err() {
            return;
        }
        if is_whole {
            continue;
        }
        if how.reset {
            // The node is to read what was sent before the reset.
            tokio::time::sleep(Duration::from_millis(2)).await;
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        return;
    }
}

async fn check(framing: Framing, kept: bool, reset: bool) {
    let cancel = CancellationToken::new();
    let _stop = cancel.clone().drop_guard();
    let store = Store::start(cancel).await.expect("a store");
    store.put(CONFIG_KEY, config(1, 1).to_json().as_bytes());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    for service in [pool(0), "single".to_owned()] {
        let entry = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"a","slots":3,"state":"ready","born":1}}"#
        );
        store.put(&format!("servers/{service}"), entry.as_bytes());
    }
    let how = Arc::new(Break { framing, kept, reset, sent: AtomicUsize::new(0) });
    let serving = how.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, serving.clone()));
        }
    });
    let mut fleet = Fleet::start(1, store.address());
    fleet.ready().await;
    let address = fleet.nodes[0].callers();
    let send = async |path: String, id: String| {
        let mut caller = Connection::connect(address).await.expect("a connection");
        let request = CallerRequest {
            host: HOST.to_owned(),
            body: if path.starts_with("/once/") { Bytes::from("x") } else { Bytes::new() },
            path,
            id,
            timeout: Duration::from_millis(1_500),
        };
        caller.send(&request).await
    };
    let len = reply("broken-search-000", framing).len();
    let mut broken = 0;
    for sent in 0..len {
        how.sent.store(sent, Ordering::Relaxed);
        for route in ["search", "once", "mark-1"] {
            if kept {
                let id = format!("whole-{route}-{sent:03}");
                let _ = send(format!("/{route}/whole-{sent}"), id).await;
            }
            // Ids of equal length, so that replies are.
            let id = format!("broken-{route:.6}-{sent:03}");
            let whole = reply(&id, framing).len();
            match send(format!("/{route}/{sent}"), id).await {
                Ok(answer) if answer.status == 200 => {
                    let context = format!("{route}, {sent} of {whole} bytes: {answer:?}");
                    assert!(sent >= whole && answer.body.as_ref() == BODY, "{context}");
                }
                // A caller reads a broken connection as one.
                Ok(_) | Err(_) => broken += 1,
            }
        }
    }
    println!("{framing:?}, kept {kept}, reset {reset}: {broken} of {} broken", 3 * len);
    assert!(broken > 2 * len);
    fleet.assert_running();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reply_with_a_length_that_breaks_off_is_no_success() {
    for (kept, reset) in [(false, false), (false, true), (true, false)] {
        check(Framing::Length, kept, reset).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reply_in_chunks_that_breaks_off_is_no_success() {
    for (kept, reset) in [(false, false), (true, false), (true, true)] {
        check(Framing::Chunks, kept, reset).await;
    }
}
