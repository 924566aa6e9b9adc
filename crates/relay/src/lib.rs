//! Relays callers' requests as they are, on tokio: to one upstream, or to one upstream of each
//! of several pools whose records are merged.
//!
//! The decisions are [`policy::relay`]'s; this crate carries them out. It must not know names
//! and formats of what callers, upstreams and the platform speak: those are behind
//! [`interface::Codec`] and [`interface::Source`]. It must not know command lines either.

pub mod connection;
pub mod forward;
pub mod http_server;
pub mod interface;
pub mod log_limiter;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod platform_watch;
mod request_log;
pub mod response;
pub mod socket;
