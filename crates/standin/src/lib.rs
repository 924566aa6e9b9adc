//! In-memory replacements for upstreams, the platform and the network between nodes, and HTTP
//! servers for the first two. Used by tests, experiments and the quick start; never part of a
//! shipped binary.

pub mod event_log;
pub mod http;
pub mod mesh;
pub mod platform;
pub mod service_time;
pub mod upstream;
pub mod upstream_set;
