//! A node of the query tier: roots, leaves, membership and configuration, running on tokio.
//!
//! The `policy` crate makes the decisions and does no I/O; this crate carries them out. It must
//! not depend on command lines or on the stand-ins used in tests: everything outside of the
//! process is reached through the traits of [`external`].

pub mod configuration;
pub mod context;
pub mod counter;
pub mod external;
pub mod home;
pub mod http_platform;
pub mod http_server;
pub mod http_upstream;
pub mod leaf;
pub mod membership;
pub mod node;
pub mod operator;
pub mod root;
pub mod server;
pub mod tarpc_peer;
pub mod trace;
pub mod udp;

mod http_body;
mod monitored_stream;
mod plan;
mod shard_group;
mod write_timeout;
