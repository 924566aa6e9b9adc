//! Links between nodes and servers, which a case cuts for chosen nodes by resetting connections.
//!
//! All nodes connect from the same loopback address. The node that has opened a connection is found by
//! the socket that its process holds, as the system lists it under `/proc`.

use std::{
    net::{SocketAddr, TcpStream},
    os::{fd::AsRawFd, raw::c_int},
    sync::{Arc, Mutex, MutexGuard},
};

#[repr(C)]
struct Unspecified {
    family: u16,
    data: [u8; 14],
}

extern "C" {
    fn connect(socket: c_int, address: *const Unspecified, length: u32) -> c_int;
    fn setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_int, length: u32) -> c_int;
}

/// Sets the size of a connection's receive buffer.
pub fn set_receive_buffer(stream: &TcpStream, bytes: c_int) {
    const SOL_SOCKET: c_int = 1;
    const SO_RCVBUF: c_int = 8;
    // SAFETY: the descriptor is open, and the value has the stated length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Resets a connection.
pub fn reset(stream: &TcpStream) {
    // Connecting a socket to no address makes the system send a reset.
    let address = Unspecified { family: 0, data: [0; 14] };
    // SAFETY: the descriptor is open, and the address has the stated length.
    unsafe { connect(stream.as_raw_fd(), &address, 16) };
}

#[derive(Debug, Default)]
struct State {
    connections: Vec<TcpStream>,
    /// Processes whose connections are reset.
    cut: Vec<u32>,
}

#[derive(Debug, Clone, Default)]
pub struct Links(Arc<Mutex<State>>);

impl Links {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds a connection that a server has accepted. Returns whether it is cut off, and then resets it.
    pub fn add(&self, stream: &TcpStream) -> bool {
        let cut = self.lock().cut.clone();
        if !cut.is_empty() && owner(stream, &cut).is_some() {
            reset(stream);
            return true;
        }
        if let Ok(stream) = stream.try_clone() {
            self.lock().connections.push(stream);
        }
        false
    }

    /// Resets the connections of `processes`, also those that they open from now on.
    pub fn cut(&self, processes: &[u32]) {
        let connections = {
            let mut state = self.lock();
            state.cut = processes.to_vec();
            std::mem::take(&mut state.connections)
        };
        let (cut, kept): (Vec<_>, Vec<_>) =
            connections.into_iter().partition(|c| owner(c, processes).is_some());
        cut.iter().for_each(reset);
        self.lock().connections.extend(kept);
    }
}

/// Returns which of `processes` has the other end of `stream`.
fn owner(stream: &TcpStream, processes: &[u32]) -> Option<u32> {
    let (near, far) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
    let inode = inode(far, near)?;
    let holds = |process: &&u32| {
        let Ok(files) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return false };
        let name = format!("socket:[{inode}]");
        let links = files.flatten().filter_map(|f| std::fs::read_link(f.path()).ok());
        links.into_iter().any(|l| l.to_str() == Some(&name))
    };
    processes.iter().find(holds).copied()
}

/// Returns the inode of the socket at `local` that is connected to `remote`.
fn inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let text = |address: SocketAddr| match address {
        SocketAddr::V4(a) => format!("{:08X}:{:04X}", u32::from(*a.ip()).swap_bytes(), a.port()),
        SocketAddr::V6(_) => String::new(),
    };
    let (local, remote) = (text(local), text(remote));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let fields = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let mut found = fields.filter(|f| f.len() > 9 && f[1] == local && f[2] == remote);
    found.next().map(|f| f[9].to_owned())
}
