//! Connections whose other end falls silent, and those whose other end has no room.
//!
//! A remote end falls silent here as its system drops all that arrives for it.

use std::{io, time::Duration};

use relay::socket::{self, Stream};
use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};

/// Longest wait for the end of a connection: many times the stated time, as the machine may be busy.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Receive buffer of the remote end: smaller than what is written.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;
const WRITTEN_BYTES: usize = 60_000;

async fn connect() -> (Stream, TcpStream) {
    let listener = socket::listen(([127, 0, 0, 1], 0).into()).expect("a free port");
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a size");
    let address = listener.local_addr().expect("a bound address");
    let (stream, accepted) =
        tokio::join!(socket::connect(address, Duration::from_secs(1)), listener.accept());
    (stream.expect("it listens"), accepted.expect("a connection").0)
}

/// Drops all that arrives for `remote`.
fn silence(remote: &TcpStream) {
    const RETURN: u16 = 0x06;
    let drop_all = SockFilter::new(RETURN, 0, 0, 0);
    SockRef::from(remote).attach_filter(&[drop_all]).expect("a filter");
}

async fn write(stream: &mut Stream) {
    stream.write_all(&vec![7; WRITTEN_BYTES]).await.expect("the send buffer has room");
}

/// Reads from `stream` until it ends, as a task that waits for a request does.
fn read(mut stream: Stream) -> JoinHandle<io::Result<usize>> {
    tokio::spawn(async move { stream.read(&mut [0]).await })
}

async fn assert_ends(reading: JoinHandle<io::Result<usize>>) {
    let ended = tokio::time::timeout(WAIT_LIMIT, reading).await.expect("the connection ends");
    let ended = ended.expect("no panic").map_err(|e| e.kind());
    assert_eq!(ended, Err(io::ErrorKind::TimedOut));
}

/// Reads all that has been written to `remote`.
async fn assert_delivered(remote: &mut TcpStream) {
    let mut received = vec![0; WRITTEN_BYTES];
    remote.read_exact(&mut received).await.expect("the bytes arrive");
    assert!(received.iter().all(|b| *b == 7));
}

/// On Linux a user timeout would decide when probes give up, instead of their number.
#[tokio::test]
async fn an_idle_connection_ends_after_few_probes() {
    let (stream, remote) = connect().await;
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("set"));
    let times = [socket.tcp_keepalive_time(), socket.tcp_keepalive_interval()];
    let limit = times.map(|time| time.expect("set"));
    let probes = socket.tcp_keepalive_retries().expect("set");
    assert!(limit[0] + limit[1] * probes <= Duration::from_secs(3), "{limit:?}, {probes}");
    assert_eq!(socket.tcp_user_timeout().expect("readable"), None);
    silence(&remote);
    assert_ends(read(stream)).await;
}

/// Without a bound the system's own times of many minutes apply to sent bytes.
#[tokio::test]
async fn a_connection_ends_when_sent_bytes_are_not_acknowledged() {
    let (mut stream, remote) = connect().await;
    silence(&remote);
    write(&mut stream).await;
    assert_ends(read(stream)).await;
}

#[tokio::test]
async fn a_connection_ends_when_its_end_falls_silent_while_it_has_no_room() {
    let (mut stream, remote) = connect().await;
    write(&mut stream).await;
    let reading = read(stream);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(!reading.is_finished(), "it has no room, and is alive");
    silence(&remote);
    assert_ends(reading).await;
}

/// Guards against a bound on unacknowledged bytes that also ends receivers without room.
#[tokio::test]
async fn a_connection_whose_end_has_no_room_for_seconds_lives() {
    let (mut stream, mut remote) = connect().await;
    for _ in 0..2 {
        write(&mut stream).await;
        let reading = tokio::spawn(async move {
            let read = stream.read(&mut [0]).await;
            (stream, read)
        });
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert!(!reading.is_finished());
        assert_delivered(&mut remote).await;
        remote.write_all(&[1]).await.expect("it is open");
        let (returned, read) = reading.await.expect("no panic");
        assert_eq!(read.expect("it is open"), 1);
        stream = returned;
    }
}

/// Guards against the loss of what the system still holds when a connection is closed.
#[tokio::test]
async fn what_was_written_before_the_close_reaches_an_end_without_room() {
    let (mut stream, mut remote) = connect().await;
    write(&mut stream).await;
    drop(stream);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_delivered(&mut remote).await;
    assert_eq!(remote.read(&mut [0]).await.expect("the end"), 0);
}
