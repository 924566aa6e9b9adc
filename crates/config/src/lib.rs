//! Questionnaire, published configuration and settings of a node: parsing, generation, checks.
//!
//! This crate must not know how a node uses a configuration, and reads no files itself: text
//! goes in, values or errors with file, line and field come out.

pub mod deployment;
pub mod diff;
pub mod explain;
pub mod field;
pub mod questionnaire;
pub mod relay;
pub mod settings;

mod ini;
