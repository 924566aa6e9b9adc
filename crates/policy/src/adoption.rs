//! Which published configuration is in force.

use std::{cmp::Ordering, sync::Arc};

use base::{hash, id, unit::Generation};
use config::deployment::{self, Deployment, Service};
use serde::{Deserialize, Serialize};

/// A checked configuration with its text.
#[derive(Debug)]
pub struct ValidatedConfig {
    /// The configuration.
    pub deployment: Deployment,
    /// Its services, for plans to share.
    services: Vec<Arc<Service>>,
    /// The published text.
    pub bytes: Vec<u8>,
    /// Where it stands among all values.
    pub stamp: Stamp,
}

impl ValidatedConfig {
    /// The service named `name`.
    pub fn service(&self, name: &id::Service) -> Option<&Arc<Service>> {
        self.services.iter().find(|s| s.name == *name)
    }
}

/// Place of a value in the order of adoption: by generation, then by content.
///
/// The content only decides between two values that were published under one generation by
/// mistake, so that all nodes settle on the same one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stamp {
    /// The generation.
    pub generation: Generation,
    /// Hash of the text.
    pub digest: u64,
}

/// What became of an offered value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// It is in force now.
    Adopted,
    /// It is in force already.
    Same,
    /// It is older than the one in force.
    Older,
    /// It is not valid.
    Refused(deployment::Error),
}

/// The configuration in force; it never goes back to an older one.
#[derive(Debug)]
pub struct ActiveConfig {
    name: id::Deployment,
    current: Option<Arc<ValidatedConfig>>,
}

impl ActiveConfig {
    /// Holder for the deployment `name`, with nothing in force yet.
    pub fn new(name: id::Deployment) -> ActiveConfig {
        ActiveConfig { name, current: None }
    }

    /// The value in force.
    pub fn current(&self) -> Option<&Arc<ValidatedConfig>> {
        self.current.as_ref()
    }

    /// Place of the value in force; the lowest if there is none.
    pub fn stamp(&self) -> Stamp {
        self.current.as_ref().map(|v| v.stamp).unwrap_or_default()
    }

    /// Offers a published text.
    pub fn offer(&mut self, bytes: &[u8]) -> OfferResult {
        let value = match self.check(bytes) {
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

    fn check(&self, bytes: &[u8]) -> Result<ValidatedConfig, deployment::Error> {
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
