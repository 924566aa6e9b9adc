//! Decisions on requests that are relayed as they are: opaque bytes to one upstream, or to one
//! upstream of each of several pools whose records are merged.
//!
//! A **pool** is a set of interchangeable upstreams. Routes name pools; the registry says which
//! upstreams a pool has.

pub mod accusation;
pub mod admission;
pub mod job;
pub mod merge;
pub mod naming;
pub mod pool;
pub mod registry;
pub mod retry;
pub mod route;
pub mod spend;
pub mod upstream;
pub mod watch;
