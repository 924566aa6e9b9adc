//! Messages on every interface, one small codec module each.
//!
//! This crate must not know how messages are sent or what is decided upon them. Each module
//! may be replaced to meet another form of its interface.

pub mod answer;
pub mod caller;
pub mod feed;
pub mod heartbeat;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod upstream;
