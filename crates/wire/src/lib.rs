//! Messages of every interface, with one small codec module for each.
//!
//! This crate must not depend on how messages are transported or acted upon. A module can be
//! replaced to support another form of its interface.

pub mod answer;
pub mod caller;
pub mod datagram;
pub mod demand;
pub mod feed;
pub mod heartbeat;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod reachability;
pub mod upstream;
