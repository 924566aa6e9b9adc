//! Types that every other crate uses: identifiers, units, the key space and clocks.
//!
//! This crate must not depend on the structure of queries, nodes or configurations, and performs
//! no I/O.

pub mod clock;
pub mod hash;
pub mod id;
pub mod keyspace;
pub mod unit;

mod number;
