//! Experiments and checks of concurrent runs, driving the real code with small stand-ins.

pub mod local;
