//! Options of sockets.

use std::time::Duration;

use relay::socket;
use socket2::SockRef;

/// Guards against connections that fall silent without notice: on Linux the user timeout decides
/// when probes give up, and without it the system's own times of many minutes apply to sent bytes.
#[tokio::test]
async fn silent_connections_end_within_seconds() {
    let listener = socket::listen(([127, 0, 0, 1], 0).into()).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let stream = socket::connect(address, Duration::from_secs(1)).await.expect("it listens");
    let socket = SockRef::from(&stream);
    assert_eq!(socket.tcp_user_timeout().expect("set"), Some(Duration::from_millis(2_500)));
    assert!(socket.keepalive().expect("set"));
    assert_eq!(socket.tcp_keepalive_time().expect("set"), Duration::from_secs(1));
    assert_eq!(socket.tcp_keepalive_interval().expect("set"), Duration::from_secs(1));
}
