//! Vocabulary shared by every other crate: identifiers, units, the key space, the clock.
//!
//! This crate must not know what a query, a node or a configuration is made of, and performs
//! no I/O.

pub mod clock;
pub mod hash;
pub mod id;
pub mod keyspace;
pub mod unit;

mod number;
