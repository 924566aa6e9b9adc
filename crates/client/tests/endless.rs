//! Responses that never end.

use std::{net::SocketAddr, time::Duration};

use client::{Client, Error, MAX_RESPONSE_BYTES};
use http::HeaderMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use wire::caller;

const CHUNK_BYTES: usize = 64 << 10;

/// Serves one connection with a response without end. Returns the bytes sent until the client
/// closes it, or until twice the limit.
async fn serve(listener: TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 4_096];
    let size = stream.read(&mut request).await.expect("a request");
    assert!(size > 0, "the client closed the connection");
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head).await.expect("the head is sent");
    let chunk = [format!("{CHUNK_BYTES:x}\r\n").as_bytes(), &[b'x'; CHUNK_BYTES], b"\r\n"].concat();
    let mut sent = 0;
    while sent < 2 * MAX_RESPONSE_BYTES && stream.write_all(&chunk).await.is_ok() {
        sent += CHUNK_BYTES;
    }
    sent
}

/// The client would otherwise hold all that a node sends.
#[tokio::test]
async fn an_endless_response_is_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let node: SocketAddr = listener.local_addr().expect("an address");
    let server = tokio::spawn(serve(listener));
    let client = Client::new("c", vec![node]);
    let run = caller::Run {
        caller: "c".parse().expect("valid name"),
        class: "c".parse().expect("valid name"),
        service: "s".parse().expect("valid name"),
        key: "k".to_owned(),
        body: "q".to_owned(),
        id: None,
        deadline_ms: None,
    };
    let headers = HeaderMap::new();
    let answer = client.run(node, &run, &headers);
    let answer = tokio::time::timeout(Duration::from_secs(20), answer).await;
    assert!(matches!(answer, Ok(Err(Error::ConnectionLost(_)))), "{answer:?}");
    let sent = server.await.expect("the server does not panic");
    // The rest is in buffers of the sockets.
    assert!(sent < MAX_RESPONSE_BYTES * 3 / 2, "{sent} bytes sent");
}
