//! Decision logic without I/O: routing, replica choice, concurrency limits, hedged requests,
//! retries, membership and adoption of configurations.
//!
//! This crate must not depend on sockets, tasks or HTTP. Time and randomness are arguments, so
//! that every decision can be tested deterministically.

pub mod address;
pub mod admission;
pub mod adoption;
pub mod budget;
pub mod coverage;
pub mod departure;
pub mod group;
pub mod home;
pub mod job;
pub mod latency;
pub mod limit;
pub mod membership;
pub mod outcome;
pub mod quarantine;
pub mod relay;
pub mod replica;
pub mod rotation;
pub mod routing;
pub mod version;
