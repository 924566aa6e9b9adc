//! What the system tells of a TCP connection (`TCP_INFO`).

use std::{io, time::Duration};

use nix::{
    getsockopt_impl, libc,
    sys::socket::{GetSockOpt, sockopt::GetStruct},
};
use policy::relay::delivery::Sample;
use tokio::net::TcpStream;

#[derive(Debug, Clone, Copy)]
struct TcpInfo;

getsockopt_impl!(
    TcpInfo,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info,
    GetStruct<libc::tcp_info>
);

/// Returns what the system tells of the bytes that were written to `stream`.
pub(crate) fn sample(stream: &TcpStream) -> io::Result<Sample> {
    let info = TcpInfo.get(stream)?;
    let sent_ago = Duration::from_millis(info.tcpi_last_data_sent.into());
    Ok(Sample {
        is_unacknowledged: info.tcpi_unacked > 0 || info.tcpi_probes > 0,
        // With nothing in flight, only the probes of an end without room are backed off.
        stalled_for: (info.tcpi_unacked == 0 && info.tcpi_backoff > 0).then_some(sent_ago),
        acknowledged_ago: Duration::from_millis(info.tcpi_last_ack_recv.into()),
    })
}
