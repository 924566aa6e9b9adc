//! Experiments and checks of concurrent runs, driving the real code with small stand-ins.

pub mod bound;
pub mod chaos;
pub mod check;
pub mod cluster;
pub mod load;
pub mod local;
