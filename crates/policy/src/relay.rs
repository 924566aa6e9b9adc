//! Decisions on requests that are relayed as they are: opaque bytes to one upstream, or to one
//! upstream of each of several pools whose records are merged.
//!
//! A **pool** is a set of interchangeable upstreams. Routes name pools; the registry says which
//! upstreams a pool has.

pub mod admission;
pub mod crash_quarantine;
pub mod merge;
pub mod node_selection;
pub mod pool;
pub mod registry;
pub mod request;
pub mod retry_after;
pub mod retry_budget;
pub mod route;
pub mod upstream;
pub mod watch;
