//! What nodes that relay requests pass on to each other of the platform's service.

use base::unit::{Generation, Revision};
use policy::{membership::Record, relay::registry::Event};
use serde::{Deserialize, Serialize};

use crate::peer::{Hello, Refusal};

/// A published configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// Place of its last change in the platform's history.
    pub revision: Revision,
    /// The published text.
    pub bytes: Vec<u8>,
}

/// What a node knows beyond what it was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// The configuration in force, if it is newer.
    pub config: Option<PublishedConfig>,
    /// Changes of registered upstreams.
    pub events: Vec<Event>,
    /// Whether `events` are all entries rather than the changes.
    pub whole: bool,
    /// The history is known up to here.
    pub until: Revision,
}

/// What a node that relays requests serves to others.
#[tarpc::service]
pub trait Feed {
    /// Configurations above `have` and registered upstreams changed after `after`.
    async fn news(
        hello: Hello,
        have: Generation,
        after: Revision,
    ) -> Result<PlatformUpdate, Refusal>;
    /// All membership records, the own one included.
    async fn members(hello: Hello) -> Result<Vec<Record>, Refusal>;
}
