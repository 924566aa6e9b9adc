//! Relays callers' requests unchanged, on tokio: to one upstream, or to one upstream of each of
//! several pools whose replies are merged.
//!
//! Decisions are made in [`policy::relay`]; this crate does the I/O. It does not depend on the
//! names and formats that callers, upstreams and the platform use: those are behind
//! [`interface::Codec`] and [`interface::PlatformSource`]. It does not depend on command lines
//! either.

pub mod connection;
mod crash;
mod crash_watch;
pub mod explain;
pub mod forward;
pub mod http_server;
pub mod interface;
pub mod isolation;
mod limit_exchange;
pub mod log_limiter;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod node;
mod notice;
pub mod peer;
pub mod platform_watch;
mod reachability;
mod request_log;
pub mod response;
pub mod socket;
mod stream;
pub mod supervisor;
mod tcp_info;
