//! Heartbeats over UDP.

use std::{net::SocketAddr, sync::Arc};

use base::id;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use wire::heartbeat;

use crate::{external, node::Node};

/// HeartbeatSocket for heartbeats.
#[derive(Debug, Clone)]
pub struct HeartbeatSocket {
    socket: Arc<UdpSocket>,
}

impl HeartbeatSocket {
    /// Binds to `address`.
    pub async fn bind(address: SocketAddr) -> std::io::Result<HeartbeatSocket> {
        Ok(HeartbeatSocket { socket: Arc::new(UdpSocket::bind(address).await?) })
    }

    /// Hands received datagrams to `node` until `cancel`.
    pub async fn receive(self, node: Arc<Node>, cancel: CancellationToken) {
        // One byte more than allowed, so that a larger datagram is seen to be too large.
        let mut buffer = vec![0; heartbeat::MAX_DATAGRAM_BYTES + 1];
        loop {
            let received = tokio::select! {
                biased;
                () = cancel.cancelled() => return,
                received = self.socket.recv_from(&mut buffer) => received,
            };
            if let Ok((size, _)) = received {
                node.receive_heartbeat(&buffer[..size]);
            }
        }
    }
}

impl external::Network for HeartbeatSocket {
    fn send(&self, to: id::Node, bytes: Vec<u8>) {
        // A full buffer loses the datagram, as the network may.
        let _ = self.socket.try_send_to(&bytes, to.0);
    }
}
