//! Identifiers.

use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::number::numbers;

/// An identifier that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: read {input:?}, allowed {allowed}")]
pub struct Error {
    /// What was to be parsed.
    pub kind: &'static str,
    /// The text as read.
    pub input: String,
    /// What would have been accepted.
    pub allowed: &'static str,
}

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// What a name of the product's own may be.
pub const NAME_RULE: &str = "1 to 64 of a-z, 0-9 and -, starting with a letter";
/// What the name of a failure domain may be: it is given by whoever runs the VMs.
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

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $kind:literal, $is_allowed:path, $allowed:path;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The name as text.
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

names! {
    /// Name of a deployment: one user's region.
    Deployment, "deployment", is_name, NAME_RULE;
    /// Name of a failure domain.
    Domain, "failure domain", is_domain_name, DOMAIN_NAME_RULE;
    /// Name of a service behind the query tier.
    Service, "service", is_name, NAME_RULE;
    /// Name of a search class.
    Class, "class", is_name, NAME_RULE;
    /// Name of a set of callers.
    Caller, "caller", is_name, NAME_RULE;
}

/// Name of a set of interchangeable upstreams that requests are relayed to.
///
/// Unlike the product's own names, it is taken from outside as it is: any text without
/// control characters, up to [`MAX_POOL_NAME_BYTES`] bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pool(SmolStr);

/// Longest name of a pool, in bytes.
pub const MAX_POOL_NAME_BYTES: usize = 200;

impl Pool {
    /// The name as text.
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

/// Name that one process of an upstream has given itself. Says which process is meant when
/// an address is used again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instance(pub SmolStr);

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

numbers! {
    /// Index of a shard group within its service's map.
    Group(u16), "group";
    /// One search by one caller.
    Query(u64), "query";
    /// One request sent to one upstream. Unique within a node's incarnation.
    Attempt(u64), "attempt";
    /// Distinguishes successive processes on one address; later ones are higher.
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

/// Address on which a node serves its peers.
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
