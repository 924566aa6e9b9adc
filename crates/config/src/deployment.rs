//! Published configuration of a deployment: its JSON form and its validation.

use std::{collections::BTreeSet, fmt, str::FromStr, time::Duration};

use base::{
    id,
    keyspace::{self, KeyRange},
    unit::{Generation, Share},
};
use serde::{Deserialize, Serialize};

/// Largest published configuration, in bytes; the platform's service stores no larger value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Version of the JSON form.
pub const FORMAT_VERSION: u32 = 1;
/// Longest deadline of a class.
pub const MAX_DEADLINE: Duration = Duration::from_secs(30);

/// Why a published configuration was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The configuration exceeds [`MAX_VALUE_BYTES`].
    #[error("configuration of {0} bytes, allowed {MAX_VALUE_BYTES}")]
    Size(usize),
    /// The text is not a configuration in this format.
    #[error("not a configuration: {0}")]
    Syntax(String),
    /// The configuration belongs to another deployment.
    #[error("deployment {found}, allowed {allowed}")]
    Foreign {
        /// Deployment that the configuration names.
        found: id::Deployment,
        /// Deployment of this node.
        allowed: id::Deployment,
    },
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// Why its value is invalid.
        reason: String,
    },
}

/// What to favor where tail latency and coverage conflict.
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

/// Coverage that an answer to a class must have at its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CoverageRule {
    /// Complete, or no data.
    Complete,
    /// Partial, if at least this share of the key space is covered.
    From(Share),
    /// Whatever has arrived at the deadline.
    Best,
}

impl CoverageRule {
    /// Returns the smallest share of the key space that an answer with data may cover.
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

/// Upstream of a shard group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Address of the upstream.
    pub upstream: id::Upstream,
    /// Failure domain of the upstream.
    pub domain: id::Domain,
    /// Whether the operators are taking it out of service.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Shard group: replicas that serve the same range of the key space.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Range of the key space that the group serves.
    pub range: KeyRange,
    /// Replicas.
    pub servers: Vec<Server>,
}

/// Service behind the query tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Whether its data has index versions; an answer then reflects exactly one of them.
    pub versioned: bool,
    /// Number of requests that one server runs concurrently.
    pub slots: u32,
    /// Number of connections that one server accepts.
    pub connections: u32,
    /// Time to set up a connection, in milliseconds.
    pub connection_setup_ms: u64,
    /// Generation of the shard map; changes with each repartition.
    pub map: Generation,
    /// Shard map. An unsharded service has one group for the whole key space.
    pub groups: Vec<Group>,
}

/// Class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: id::Class,
    /// Services that its requests may use.
    pub services: Vec<id::Service>,
    /// Rank in the order of service; 0 is served first.
    pub rank: u8,
    /// Time from the arrival of a request to its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Coverage that its answers must have.
    pub coverage: CoverageRule,
    /// Whether its requests run at most once: never retried or hedged after they may have run.
    pub at_most_once: bool,
}

impl Class {
    /// Returns the time from the arrival of a request to its deadline.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Set of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name.
    pub name: id::Caller,
    /// Classes that the callers may use.
    pub classes: Vec<id::Class>,
}

/// Published configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Version of the JSON form, [`FORMAT_VERSION`].
    pub format: u32,
    /// Name of the deployment.
    pub name: id::Deployment,
    /// Generation; the highest valid one is in force.
    pub generation: Generation,
    /// What to favor where tail latency and coverage conflict.
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
    /// Decodes and validates a published configuration.
    pub fn parse(bytes: &[u8]) -> Result<Deployment, Error> {
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(Error::Size(bytes.len()));
        }
        let parsed: Deployment =
            serde_json::from_slice(bytes).map_err(|e| Error::Syntax(e.to_string()))?;
        parsed.check()?;
        Ok(parsed)
    }

    /// Returns the published form. Equal deployments give equal bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.push(b'\n');
        bytes
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Returns the class named `name`.
    pub fn class(&self, name: &id::Class) -> Option<&Class> {
        self.classes.iter().find(|c| c.name == *name)
    }

    /// Validates everything that a node relies on. The result depends on the configuration only,
    /// so that all nodes decide alike.
    pub fn check(&self) -> Result<(), Error> {
        if self.format != FORMAT_VERSION {
            return Err(field_error(
                "format",
                format!("{}, allowed {FORMAT_VERSION}", self.format),
            ));
        }
        if self.generation.0 == 0 {
            return Err(field_error("generation", "0, allowed 1 and up".to_owned()));
        }
        check_nonempty_unique("domains", &self.domains)?;
        check_nonempty_unique("services", self.services.iter().map(|s| &s.name))?;
        check_nonempty_unique("classes", self.classes.iter().map(|c| &c.name))?;
        check_nonempty_unique("callers", self.callers.iter().map(|c| &c.name))?;
        self.services.iter().try_for_each(|s| self.check_service(s))?;
        self.classes.iter().try_for_each(|c| self.check_class(c))?;
        self.callers.iter().try_for_each(|c| self.check_caller(c))
    }

    fn check_service(&self, service: &Service) -> Result<(), Error> {
        let path = |part: &str| format!("services.{}.{part}", service.name);
        if service.slots == 0 || service.connections < service.slots {
            let reason = "allowed 1 slot and up, and no fewer connections than slots";
            return Err(field_error(&path("slots"), reason.to_owned()));
        }
        if service.groups.is_empty() || service.groups.len() > usize::from(u16::MAX) {
            return Err(field_error(&path("groups"), "allowed 1 to 65535 groups".to_owned()));
        }
        let mut next = 0;
        for group in &service.groups {
            if group.range.start != next || group.range.is_empty() {
                let reason = format!("range {} does not follow key {next}", group.range);
                return Err(field_error(&path("groups"), reason));
            }
            next = group.range.end;
            if group.servers.is_empty() {
                return Err(field_error(&path("groups"), format!("no server for {}", group.range)));
            }
        }
        if next != keyspace::SIZE {
            return Err(field_error(
                &path("groups"),
                format!("no group for keys {next}..{}", keyspace::SIZE),
            ));
        }
        let servers = || service.groups.iter().flat_map(|g| &g.servers);
        check_nonempty_unique(&path("servers"), servers().map(|s| &s.upstream))?;
        match servers().find(|s| !self.domains.contains(&s.domain)) {
            Some(s) => Err(field_error(&path("servers"), format!("unknown domain {}", s.domain))),
            None => Ok(()),
        }
    }

    fn check_class(&self, class: &Class) -> Result<(), Error> {
        let path = |part: &str| format!("classes.{}.{part}", class.name);
        let limit = MAX_DEADLINE.as_millis() as u64;
        if class.deadline_ms == 0 || class.deadline_ms > limit {
            return Err(field_error(&path("deadline_ms"), format!("allowed 1 to {limit}")));
        }
        match class.services.iter().find(|s| self.service(s).is_none()) {
            Some(s) => Err(field_error(&path("services"), format!("unknown service {s}"))),
            None => Ok(()),
        }
    }

    fn check_caller(&self, caller: &Caller) -> Result<(), Error> {
        match caller.classes.iter().find(|c| self.class(c).is_none()) {
            Some(c) => Err(field_error(
                &format!("callers.{}.classes", caller.name),
                format!("unknown class {c}"),
            )),
            None => Ok(()),
        }
    }
}

fn field_error(field: &str, reason: String) -> Error {
    Error::Field { field: field.to_owned(), reason }
}

/// Checks that the items listed at `path` are distinct, and that there are any.
fn check_nonempty_unique<'a, T>(
    path: &str,
    items: impl IntoIterator<Item = &'a T>,
) -> Result<(), Error>
where
    T: Ord + fmt::Display + 'a,
{
    let mut seen = BTreeSet::new();
    for item in items {
        if !seen.insert(item) {
            return Err(field_error(path, format!("{item} is listed twice")));
        }
    }
    if seen.is_empty() {
        return Err(field_error(path, "must not be empty".to_owned()));
    }
    Ok(())
}
