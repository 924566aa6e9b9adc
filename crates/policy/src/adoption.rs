//! Adoption of published configurations: decides which one is in force at a node.

use std::{cmp::Ordering, sync::Arc};

use base::{hash, id, unit::Generation};
use config::deployment::{self, Deployment, Service};
use serde::{Deserialize, Serialize};

/// A validated configuration with its published text.
#[derive(Debug)]
pub struct ValidatedConfig {
    /// The configuration.
    pub deployment: Deployment,
    /// Its services, shared with the plans of requests.
    services: Vec<Arc<Service>>,
    /// The published text.
    pub bytes: Vec<u8>,
    /// Its position in the order of adoption.
    pub stamp: Stamp,
}

impl ValidatedConfig {
    /// Returns the service named `name`.
    pub fn service(&self, name: &id::Service) -> Option<&Arc<Service>> {
        self.services.iter().find(|s| s.name == *name)
    }
}

/// Position of a configuration in the order of adoption: by generation, then by content hash.
///
/// The hash only decides between two configurations published with the same generation by
/// mistake, so that all nodes converge on the same one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stamp {
    /// The generation.
    pub generation: Generation,
    /// Hash of the published text.
    pub digest: u64,
}

/// Result of offering a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// The configuration is now in force.
    Adopted,
    /// The configuration was in force already.
    Same,
    /// The configuration is older than the one in force.
    Older,
    /// The configuration is invalid or belongs to another deployment.
    Refused(deployment::Error),
}

/// The configuration in force, which is never replaced by an older one.
#[derive(Debug)]
pub struct ActiveConfig {
    name: id::Deployment,
    current: Option<Arc<ValidatedConfig>>,
}

impl ActiveConfig {
    /// Creates the state for the deployment `name`, without a configuration in force.
    pub fn new(name: id::Deployment) -> ActiveConfig {
        ActiveConfig { name, current: None }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Arc<ValidatedConfig>> {
        self.current.as_ref()
    }

    /// Returns the stamp of the configuration in force, or the lowest stamp if there is none.
    pub fn stamp(&self) -> Stamp {
        self.current.as_ref().map(|v| v.stamp).unwrap_or_default()
    }

    /// Offers a published text, which is adopted if it is valid and newer.
    pub fn offer(&mut self, bytes: &[u8]) -> OfferResult {
        let value = match self.validate(bytes) {
            Ok(value) => value,
            Err(e) => return OfferResult::Refused(e),
        };
        match value.stamp.cmp(&self.stamp()) {
            Ordering::Less => OfferResult::Older,
            Ordering::Equal => OfferResult::Same,
            Ordering::Greater => {
                self.current = Some(Arc::new(value));
                OfferResult::Adopted
            }
        }
    }

    fn validate(&self, bytes: &[u8]) -> Result<ValidatedConfig, deployment::Error> {
        let deployment = Deployment::parse(bytes)?;
        if deployment.name != self.name {
            let allowed = self.name.clone();
            return Err(deployment::Error::Foreign { found: deployment.name, allowed });
        }
        let digest = hash::stable(&[bytes]);
        let stamp = Stamp { generation: deployment.generation, digest };
        let services = deployment.services.iter().cloned().map(Arc::new).collect();
        Ok(ValidatedConfig { services, deployment, bytes: bytes.to_vec(), stamp })
    }
}
