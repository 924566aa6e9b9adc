//! Questionnaire, published configuration and node settings: parsing, generation, validation.
//!
//! This crate must not depend on how a node uses a configuration, and reads no files: it turns
//! text into values, or into errors with file, line and field.

pub mod deployment;
pub mod diff;
pub mod explain;
pub mod field;
pub mod questionnaire;
pub mod relay;
pub mod settings;

mod ini;
