//! Exchange of platform state between relay nodes.
//!
//! A node whose connection to the platform's service is slow or broken fetches newer
//! configurations and registry changes from a peer.

use base::unit::{Era, Generation, Position, Revision};
use policy::{
    membership::Record,
    relay::{crash_quarantine::CrashReport, registry::Event, restored::Exception},
};
use serde::{Deserialize, Serialize};

use crate::peer::{Hello, Refusal};

/// Published configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// Revision of its last change in the platform's change history.
    pub revision: Revision,
    /// Published text.
    pub bytes: Vec<u8>,
}

/// Platform state that is newer than the requester's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// Configuration in force, if it is newer.
    pub config: Option<PublishedConfig>,
    /// Registered upstreams: the changes, or all entries if `whole` is set.
    pub events: Vec<Event>,
    /// Whether `events` lists all entries instead of the changes.
    pub whole: bool,
    /// Revision up to which the sender knows the change history.
    pub until: Revision,
}

/// Platform state with the era that its revisions belong to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraUpdate {
    /// The era.
    pub era: Era,
    /// The state.
    pub update: PlatformUpdate,
    /// What the sender knows better than the platform since it came back from an earlier copy.
    pub exceptions: Vec<Exception>,
}

/// Interface that a relay node serves to its peers.
#[tarpc::service]
pub trait Feed {
    /// Returns a configuration above `have` and the registered upstreams changed after `after`.
    async fn news(
        hello: Hello,
        have: Generation,
        after: Revision,
    ) -> Result<PlatformUpdate, Refusal>;
    /// Returns all membership records, including the node's own.
    async fn members(hello: Hello) -> Result<Vec<Record>, Refusal>;
    /// Returns all valid crash reports.
    async fn crash_reports(hello: Hello) -> Result<Vec<CrashReport>, Refusal>;
    /// Returns a configuration above `have` and the registered upstreams changed after `after`.
    /// Called instead of `news` at peers that announce an era.
    async fn era_news(
        hello: Hello,
        have: Generation,
        after: Position,
    ) -> Result<EraUpdate, Refusal>;
}
