//! Small stand-ins for upstreams and the platform, in memory or over HTTP, and in-memory links
//! between nodes. For tests, experiments and the quick start; never part of a shipped binary.

pub mod event_log;
pub mod http;
pub mod mesh;
pub mod platform;
pub mod service_time;
pub mod upstream;
pub mod upstream_set;
