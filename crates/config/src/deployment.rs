//! The published configuration of a deployment: its text form and its checks.

use std::{collections::BTreeSet, fmt, str::FromStr, time::Duration};

use base::{
    id,
    keyspace::{self, KeyRange},
    unit::{Generation, Share},
};
use serde::{Deserialize, Serialize};

/// Largest published value, in bytes; the platform's service holds no larger one.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Version of the text form.
pub const FORMAT_VERSION: u32 = 1;
/// Longest deadline of a class.
pub const MAX_DEADLINE: Duration = Duration::from_secs(30);

/// Why a published value was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The value exceeds [`MAX_VALUE_BYTES`].
    #[error("value of {0} bytes, allowed {MAX_VALUE_BYTES}")]
    Size(usize),
    /// The value is not a configuration in this format.
    #[error("not a configuration: {0}")]
    Syntax(String),
    /// The value belongs to another deployment.
    #[error("deployment {found}, allowed {allowed}")]
    Foreign {
        /// Deployment named by the value.
        found: id::Deployment,
        /// Deployment of this node.
        allowed: id::Deployment,
    },
    /// A field holds a value that cannot work.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// What the team weighs most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Tail latency before coverage.
    TailLatency,
    /// Coverage before tail latency.
    Coverage,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::TailLatency => "tail latency",
            Priority::Coverage => "coverage",
        })
    }
}

impl FromStr for Priority {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<Priority, id::Error> {
        match text {
            "tail latency" => Ok(Priority::TailLatency),
            "coverage" => Ok(Priority::Coverage),
            _ => Err(id::Error {
                kind: "priority",
                input: text.to_owned(),
                allowed: "tail latency or coverage",
            }),
        }
    }
}

/// Which answers a class accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CoverageRule {
    /// Complete or nothing.
    Complete,
    /// Partial from this share of the key space on.
    From(Share),
    /// Whatever is there at the deadline.
    Best,
}

impl CoverageRule {
    /// Smallest share with which an answer is given.
    pub fn min_share(&self) -> Share {
        match self {
            CoverageRule::Complete => Share::ONE,
            CoverageRule::From(share) => *share,
            CoverageRule::Best => Share::ZERO,
        }
    }
}

impl fmt::Display for CoverageRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CoverageRule::Complete => f.write_str("complete"),
            CoverageRule::From(share) => write!(f, "partial from {share}"),
            CoverageRule::Best => f.write_str("best at deadline"),
        }
    }
}

impl FromStr for CoverageRule {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<CoverageRule, id::Error> {
        let error = || id::Error {
            kind: "coverage",
            input: text.to_owned(),
            allowed: "complete, partial from N%, or best at deadline",
        };
        match text {
            "complete" => Ok(CoverageRule::Complete),
            "best at deadline" => Ok(CoverageRule::Best),
            _ => {
                let share = text.strip_prefix("partial from ").ok_or_else(error)?;
                share.trim().parse().map(CoverageRule::From).map_err(|_| error())
            }
        }
    }
}

/// One upstream of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Where it listens.
    pub upstream: id::Upstream,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether the operators are taking it out of service.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// A shard group: replicas that hold the same part of the key space.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The part of the key space it holds.
    pub range: KeyRange,
    /// Its replicas.
    pub servers: Vec<Server>,
}

/// A service behind the query tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Whether its data has an index version that answers are bound to.
    pub versioned: bool,
    /// Requests that one server runs at a time.
    pub slots: u32,
    /// Connections that one server accepts.
    pub connections: u32,
    /// Time to set up a connection, in milliseconds.
    pub connection_setup_ms: u64,
    /// Generation of the shard map; changes with each repartition.
    pub map: Generation,
    /// The shard map. A service that is not sharded has one group over the whole key space.
    pub groups: Vec<Group>,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: id::Class,
    /// Services it may use.
    pub services: Vec<id::Service>,
    /// Place in the order of service; 0 goes first.
    pub rank: u8,
    /// Time from arrival within which it must be answered, in milliseconds.
    pub deadline_ms: u64,
    /// Which answers it accepts.
    pub coverage: CoverageRule,
    /// Whether its requests run at most once.
    pub at_most_once: bool,
}

impl Class {
    /// Time from arrival within which a request must be answered.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A set of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Its name.
    pub name: id::Caller,
    /// Classes it may use.
    pub classes: Vec<id::Class>,
}

/// The published configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Version of the text form, [`FORMAT_VERSION`].
    pub format: u32,
    /// Name of the deployment.
    pub name: id::Deployment,
    /// Generation; the highest valid one is in force.
    pub generation: Generation,
    /// What the team weighs most.
    pub weigh_most: Priority,
    /// Failure domains.
    pub domains: Vec<id::Domain>,
    /// Sets of callers.
    pub callers: Vec<Caller>,
    /// Classes of requests, in order of service.
    pub classes: Vec<Class>,
    /// Services.
    pub services: Vec<Service>,
}

impl Deployment {
    /// Reads and checks a published value.
    pub fn parse(bytes: &[u8]) -> Result<Deployment, Error> {
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(Error::Size(bytes.len()));
        }
        let parsed: Deployment =
            serde_json::from_slice(bytes).map_err(|e| Error::Syntax(e.to_string()))?;
        parsed.check()?;
        Ok(parsed)
    }

    /// The published form. The same deployment gives the same bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.push(b'\n');
        bytes
    }

    /// The service named `name`.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// The class named `name`.
    pub fn class(&self, name: &id::Class) -> Option<&Class> {
        self.classes.iter().find(|c| c.name == *name)
    }

    /// Checks everything that a node relies on. Deterministic: depends on the value only.
    pub fn check(&self) -> Result<(), Error> {
        if self.format != FORMAT_VERSION {
            return Err(field("format", format!("{}, allowed {FORMAT_VERSION}", self.format)));
        }
        if self.generation.0 == 0 {
            return Err(field("generation", "0, allowed 1 and up".to_owned()));
        }
        unique("domains", &self.domains)?;
        unique("services", self.services.iter().map(|s| &s.name))?;
        unique("classes", self.classes.iter().map(|c| &c.name))?;
        unique("callers", self.callers.iter().map(|c| &c.name))?;
        self.services.iter().try_for_each(|s| self.check_service(s))?;
        self.classes.iter().try_for_each(|c| self.check_class(c))?;
        self.callers.iter().try_for_each(|c| self.check_caller(c))
    }

    fn check_service(&self, service: &Service) -> Result<(), Error> {
        let at = |part: &str| format!("services.{}.{part}", service.name);
        if service.slots == 0 || service.connections < service.slots {
            let reason = "allowed 1 slot and up, and no fewer connections than slots";
            return Err(field(&at("slots"), reason.to_owned()));
        }
        if service.groups.is_empty() || service.groups.len() > usize::from(u16::MAX) {
            return Err(field(&at("groups"), "allowed 1 to 65535 groups".to_owned()));
        }
        let mut next = 0;
        for group in &service.groups {
            if group.range.start != next || group.range.is_empty() {
                let reason = format!("range {} does not follow key {next}", group.range);
                return Err(field(&at("groups"), reason));
            }
            next = group.range.end;
            if group.servers.is_empty() {
                return Err(field(&at("groups"), format!("no server for {}", group.range)));
            }
        }
        if next != keyspace::SIZE {
            return Err(field(&at("groups"), format!("keys {next}..{} lack", keyspace::SIZE)));
        }
        let servers = || service.groups.iter().flat_map(|g| &g.servers);
        unique(&at("servers"), servers().map(|s| &s.upstream))?;
        match servers().find(|s| !self.domains.contains(&s.domain)) {
            Some(s) => Err(field(&at("servers"), format!("unknown domain {}", s.domain))),
            None => Ok(()),
        }
    }

    fn check_class(&self, class: &Class) -> Result<(), Error> {
        let at = |part: &str| format!("classes.{}.{part}", class.name);
        let limit = MAX_DEADLINE.as_millis() as u64;
        if class.deadline_ms == 0 || class.deadline_ms > limit {
            return Err(field(&at("deadline_ms"), format!("allowed 1 to {limit}")));
        }
        match class.services.iter().find(|s| self.service(s).is_none()) {
            Some(s) => Err(field(&at("services"), format!("unknown service {s}"))),
            None => Ok(()),
        }
    }

    fn check_caller(&self, caller: &Caller) -> Result<(), Error> {
        match caller.classes.iter().find(|c| self.class(c).is_none()) {
            Some(c) => Err(field(
                &format!("callers.{}.classes", caller.name),
                format!("unknown class {c}"),
            )),
            None => Ok(()),
        }
    }
}

fn field(field: &str, reason: String) -> Error {
    Error::Field { field: field.to_owned(), reason }
}

fn unique<'a, T>(at: &str, items: impl IntoIterator<Item = &'a T>) -> Result<(), Error>
where
    T: Ord + fmt::Display + 'a,
{
    let mut seen = BTreeSet::new();
    for item in items {
        if !seen.insert(item) {
            return Err(field(at, format!("{item} stands twice")));
        }
    }
    if seen.is_empty() {
        return Err(field(at, "none given".to_owned()));
    }
    Ok(())
}
