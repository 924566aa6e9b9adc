//! Decisions: plans, limits, hedges, retries, membership, adoption of configurations.
//!
//! Data in, decisions out. This crate must not know of sockets, tasks or HTTP; the time and
//! the randomness are arguments.

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
pub mod routing;
pub mod version;
