//! Decisions about relayed requests, whose bodies are opaque bytes.
//!
//! A request goes to one upstream of one pool, or to one upstream of each of several pools whose
//! replies are merged. A **pool** is a set of interchangeable upstreams. Routes name pools; the
//! registry lists the upstreams of each pool.

pub mod cold;
pub mod completed;
pub mod crash_quarantine;
pub mod crash_suspects;
pub mod delivery;
pub mod demand;
pub mod explain;
pub mod isolation;
pub mod limiter;
pub mod load;
pub mod memory;
pub mod merge;
pub mod node_selection;
pub mod notice;
pub mod pool;
pub mod reachability;
pub mod region;
pub mod registry;
pub mod request;
pub mod restored;
pub mod retry_after;
pub mod retry_budget;
pub mod route;
pub mod triage;
pub mod upstream;
pub mod watch;
