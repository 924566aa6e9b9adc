//! Experiments, fault injection and history checks that drive real nodes against simulated
//! upstreams, platform and network.

pub mod bound;
pub mod chaos;
pub mod check;
pub mod cluster;
pub mod load;
pub mod local;
