//! Identifiers and their text forms.

use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::number::integer_newtypes;

/// Error for text that is not a valid identifier or value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: read {input:?}, allowed {allowed}")]
pub struct Error {
    /// Kind of the expected value, such as `pool`.
    pub kind: &'static str,
    /// Rejected text.
    pub input: String,
    /// Description of the accepted texts.
    pub allowed: &'static str,
}

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Rule for names that are defined in the configuration, as shown in errors.
pub const NAME_RULE: &str = "1 to 64 of a-z, 0-9 and -, starting with a letter";
/// Rule for names of failure domains, as shown in errors. It is wider than [`NAME_RULE`],
/// because whoever runs the VMs names the failure domains.
pub const DOMAIN_NAME_RULE: &str =
    "1 to 64 of a-z, A-Z, 0-9, -, _ and ., starting with a letter or digit";

fn is_name(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_lowercase())
        && text.chars().all(ok)
}

fn is_domain_name(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(ok)
}

macro_rules! name_newtypes {
    ($($(#[$doc:meta])* $name:ident, $kind:literal, $is_allowed:path, $allowed:path;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<$name, Error> {
                if !$is_allowed(text) {
                    return Err(Error { kind: $kind, input: text.to_owned(), allowed: $allowed });
                }
                Ok($name(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = Error;

            fn try_from(text: SmolStr) -> Result<$name, Error> {
                text.parse()
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> SmolStr {
                name.0
            }
        }
    )*};
}

name_newtypes! {
    /// Name of a deployment: the query tier of one user in one region.
    Deployment, "deployment", is_name, NAME_RULE;
    /// Name of a failure domain.
    Domain, "failure domain", is_domain_name, DOMAIN_NAME_RULE;
    /// Name of a region: a set of failure domains.
    Region, "region", is_domain_name, DOMAIN_NAME_RULE;
    /// Name of a service behind the query tier.
    Service, "service", is_name, NAME_RULE;
    /// Name of a search class.
    Class, "class", is_name, NAME_RULE;
    /// Name of a set of callers.
    Caller, "caller", is_name, NAME_RULE;
}

/// Name of a set of interchangeable upstreams that requests are relayed to.
///
/// The name is defined outside the query tier, so it may be any text without control characters,
/// up to [`MAX_POOL_NAME_BYTES`] bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pool(SmolStr);

/// Longest pool name, in bytes.
pub const MAX_POOL_NAME_BYTES: usize = 200;

impl Pool {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Pool {
    type Err = Error;

    fn from_str(text: &str) -> Result<Pool, Error> {
        if text.is_empty() || text.len() > MAX_POOL_NAME_BYTES || text.chars().any(char::is_control)
        {
            let allowed = "1 to 200 bytes without control characters";
            return Err(Error { kind: "pool", input: text.to_owned(), allowed });
        }
        Ok(Pool(SmolStr::new(text)))
    }
}

/// Name that an upstream process chose for itself. Distinguishes successive processes on one
/// address.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instance(pub SmolStr);

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

integer_newtypes! {
    /// Index of a shard group in the shard map of its service.
    Group(u16), "group";
    /// Number of a search.
    Query(u64), "query";
    /// Number of a request sent to an upstream. Unique within a node's incarnation.
    Attempt(u64), "attempt";
    /// Number that distinguishes successive processes on one address; a later process has a
    /// higher one.
    Incarnation(u64), "incarnation";
}

/// Address of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Upstream(pub SocketAddr);

impl fmt::Display for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Upstream {
    type Err = Error;

    fn from_str(text: &str) -> Result<Upstream, Error> {
        parse_addr("upstream", text).map(Upstream)
    }
}

/// Address at which a node listens for its peers; identifies the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Node(pub SocketAddr);

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Node {
    type Err = Error;

    fn from_str(text: &str) -> Result<Node, Error> {
        parse_addr("node", text).map(Node)
    }
}

fn parse_addr(kind: &'static str, text: &str) -> Result<SocketAddr, Error> {
    let allowed = "IP:port, such as 10.0.0.1:7000";
    text.parse().map_err(|_| Error { kind, input: text.to_owned(), allowed })
}
