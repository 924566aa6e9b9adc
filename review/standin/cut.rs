//! Partitions one node from all servers: its connections to them are reset, and new ones are refused.

use std::{
    collections::HashSet,
    fs,
    net::{Shutdown, TcpStream},
    os::fd::AsRawFd,
    sync::atomic::{AtomicU32, Ordering},
};

/// Process of the node that is cut off; 0 if none is.
static PROCESS: AtomicU32 = AtomicU32::new(0);

/// Cuts off the node with this process.
pub fn begin(process: u32) {
    PROCESS.store(process, Ordering::SeqCst);
}

pub fn end() {
    PROCESS.store(0, Ordering::SeqCst);
}

/// Returns whether the node that is cut off is at the other end of `stream`.
pub fn is_cut(stream: &TcpStream) -> bool {
    let process = PROCESS.load(Ordering::SeqCst);
    let Ok(peer) = stream.peer_addr() else { return false };
    process != 0 && ports(process).contains(&peer.port())
}

/// Resets `stream` instead of closing it.
pub fn reset(stream: &TcpStream) {
    extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // A `struct linger`: on, for 0 seconds.
    let linger = [1, 0];
    // SAFETY: the pointer and the length are those of `linger`.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    let _ = stream.shutdown(Shutdown::Both);
}

/// Returns the local ports of the TCP connections of `process`.
fn ports(process: u32) -> HashSet<u16> {
    let descriptors = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    let links = descriptors.filter_map(|d| fs::read_link(d.path()).ok());
    let sockets: HashSet<String> = links.map(|l| l.to_string_lossy().into_owned()).collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode = fields.get(9)?;
        let port = fields.get(1)?.rsplit(':').next()?;
        let is_its = sockets.contains(&format!("socket:[{inode}]"));
        is_its.then(|| u16::from_str_radix(port, 16).ok()).flatten()
    };
    table.lines().filter_map(port).collect()
}
