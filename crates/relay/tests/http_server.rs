//! Planned stop of a server of callers.
//!
//! Guards against requests that are cut off although they had arrived before the stop.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use base::unit::Revision;
use policy::relay::route::RouteTable;
use relay::{
    http_server::{self, MetricsHandler},
    interface::{BoxFuture, PlatformChanges, PlatformSource, SourceError},
    socket,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

const CALLERS: usize = 50;

/// A service that is not called.
#[derive(Debug)]
struct NoPlatform;

impl PlatformSource for NoPlatform {
    fn read(&self, _: bool) -> BoxFuture<'_, Result<PlatformChanges, SourceError>> {
        unreachable!("nothing is read")
    }

    fn watch(
        &self,
        _: Revision,
        _: Duration,
    ) -> BoxFuture<'_, Result<PlatformChanges, SourceError>> {
        unreachable!("nothing is watched")
    }

    fn parse_config(&self, _: &[u8]) -> Result<RouteTable, String> {
        unreachable!("nothing is published")
    }
}

/// A connection whose request has reached the server's machine when this returns.
fn send(address: SocketAddr, stream: Option<TcpStream>) -> TcpStream {
    let mut stream = stream.unwrap_or_else(|| TcpStream::connect(address).expect("a connection"));
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n").expect("a request");
    stream
}

/// Starts of the answers on `streams`, each read up to its end or the first buffer.
async fn answers(streams: Vec<TcpStream>) -> Vec<String> {
    let read = |mut stream: TcpStream| {
        let mut buffer = [0; 64];
        let size = stream.read(&mut buffer).unwrap_or(0);
        String::from_utf8_lossy(&buffer[..size]).into_owned()
    };
    let reading = tokio::task::spawn_blocking(move || streams.into_iter().map(read).collect());
    reading.await.expect("the answers are read")
}

/// Requests arrive on new or on kept connections, and the server has not got to them when it is
/// told to stop.
#[tokio::test]
async fn requests_that_have_arrived_before_a_stop_are_answered() {
    for kept in [false, true] {
        let node = common::node(Arc::new(NoPlatform), Duration::from_secs(3));
        let listener = socket::listen(([127, 0, 0, 1], 0).into()).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let handler = Arc::new(MetricsHandler(node.clone()));
        let serving =
            http_server::serve(node.clone(), handler, listener, stop.clone(), tasks.clone());
        let serving = tokio::spawn(serving);
        let mut streams: Vec<Option<TcpStream>> = (0..CALLERS).map(|_| None).collect();
        if kept {
            let first = streams.drain(..).map(|s| send(address, s)).collect::<Vec<_>>();
            let clones = first.iter().map(|s| s.try_clone().expect("a connection")).collect();
            assert!(answers(clones).await.iter().all(|a| a.starts_with("HTTP/1.1 200")));
            // What is left of the first answers must not be taken for the second ones.
            tokio::time::sleep(Duration::from_millis(50)).await;
            streams = first.into_iter().map(Some).collect();
            for stream in streams.iter_mut().flatten() {
                stream.set_nonblocking(true).expect("a connection");
                let mut rest = vec![0; 1 << 20];
                while stream.read(&mut rest).is_ok_and(|size| size > 0) {}
                stream.set_nonblocking(false).expect("a connection");
            }
        }
        // No await from here to the stop: the server cannot run in between.
        let streams: Vec<TcpStream> = streams.into_iter().map(|s| send(address, s)).collect();
        node.start_draining(Duration::from_secs(5));
        stop.cancel();
        tasks.close();
        serving.await.expect("the server ends");
        let answered = answers(streams).await;
        let cut = answered.iter().filter(|a| !a.starts_with("HTTP/1.1 200")).count();
        assert_eq!(cut, 0, "of {CALLERS} requests on connections, kept: {kept}");
        tasks.wait().await;
    }
}
