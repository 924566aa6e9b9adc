//! Links between nodes, which a test can cut.

use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
};

use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Links to the nodes of a fleet.
#[derive(Debug)]
pub(crate) struct Links {
    /// Nodes that are cut off from the others.
    cut: watch::Sender<HashSet<IpAddr>>,
    _stop: DropGuard,
}

impl Links {
    /// Starts a link for each pair of the address that a node advertises and the one that it
    /// listens on.
    pub(crate) fn start(nodes: impl IntoIterator<Item = (SocketAddr, SocketAddr)>) -> Links {
        let stop = CancellationToken::new();
        let cut = watch::Sender::new(HashSet::new());
        for (advertised, target) in nodes {
            let datagrams = std::net::UdpSocket::bind(advertised).expect("a free address");
            let calls = std::net::TcpListener::bind(advertised).expect("a free address");
            datagrams.set_nonblocking(true).expect("a socket");
            calls.set_nonblocking(true).expect("a socket");
            let datagrams = UdpSocket::from_std(datagrams).expect("a runtime");
            let calls = TcpListener::from_std(calls).expect("a runtime");
            let (stop, cut) = (stop.clone(), cut.subscribe());
            tokio::spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = forward_datagrams(datagrams, target, cut.clone()) => {}
                    () = forward_calls(calls, target, cut) => {}
                }
            });
        }
        Links { cut, _stop: stop.drop_guard() }
    }

    /// Cuts `node` off from the other nodes, or ends that. While any node is cut off, calls between
    /// all nodes fail, as their connections do not tell which node has opened them.
    pub(crate) fn set_cut(&self, node: IpAddr, is_cut: bool) {
        self.cut.send_modify(|nodes| {
            match is_cut {
                true => nodes.insert(node),
                false => nodes.remove(&node),
            };
        });
    }
}

async fn forward_datagrams(
    socket: UdpSocket,
    target: SocketAddr,
    cut: watch::Receiver<HashSet<IpAddr>>,
) {
    let mut buffer = vec![0; 1 << 16];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut buffer).await else { continue };
        let is_cut = {
            let nodes = cut.borrow();
            nodes.contains(&from.ip()) || nodes.contains(&target.ip())
        };
        if !is_cut {
            // A datagram that cannot be sent is lost, as in a network.
            let _ = socket.send_to(&buffer[..size], target).await;
        }
    }
}

async fn forward_calls(
    listener: TcpListener,
    target: SocketAddr,
    cut: watch::Receiver<HashSet<IpAddr>>,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        tokio::spawn(forward_call(near, target, cut.clone()));
    }
}

async fn forward_call(
    mut near: TcpStream,
    target: SocketAddr,
    mut cut: watch::Receiver<HashSet<IpAddr>>,
) {
    if !cut.borrow().is_empty() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    tokio::select! {
        // Both ends see how the connection has ended.
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        _ = cut.wait_for(|nodes| !nodes.is_empty()) => {}
    }
}
