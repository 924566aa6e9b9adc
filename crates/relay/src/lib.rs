//! Relays callers' requests as they are, on tokio: to one upstream, or to one upstream of each
//! of several pools whose records are merged.
//!
//! The decisions are [`policy::relay`]'s; this crate carries them out. It must not know names
//! and formats of what callers, upstreams and the platform speak: those are behind
//! [`edge::Codec`] and [`edge::Source`]. It must not know command lines either.

pub mod answer;
pub mod catalog;
pub mod connection;
pub mod edge;
pub mod fleet;
pub mod forward;
pub mod front;
pub mod journal;
pub mod memory;
pub mod metric;
pub mod node;
pub mod peer;
pub mod socket;
mod story;
