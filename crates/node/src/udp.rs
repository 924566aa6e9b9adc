//! Transport of heartbeats over UDP.

use std::{net::SocketAddr, sync::Arc};

use base::id;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use wire::heartbeat;

use crate::{external, node::Node};

/// UDP socket for heartbeats.
#[derive(Debug, Clone)]
pub struct HeartbeatSocket {
    socket: Arc<UdpSocket>,
}

impl HeartbeatSocket {
    /// Binds a socket to `address`.
    pub async fn bind(address: SocketAddr) -> std::io::Result<HeartbeatSocket> {
        Ok(HeartbeatSocket { socket: Arc::new(UdpSocket::bind(address).await?) })
    }

    /// Passes received datagrams to `node` until `cancel`.
    pub async fn receive(self, node: Arc<Node>, cancel: CancellationToken) {
        // One byte more than the limit, so that the decoder sees that a datagram is too large.
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
        // Drops the datagram if the send buffer is full; membership tolerates lost datagrams.
        let _ = self.socket.try_send_to(&bytes, to.0);
    }
}
