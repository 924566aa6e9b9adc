//! What a class of requests will get, in plain sentences.

use base::id;

use crate::deployment::{CoverageRule, Deployment};

/// Explains class `name` of `deployment`, one sentence a line; `None` if there is no such class.
pub fn describe(deployment: &Deployment, name: &id::Class) -> Option<Vec<String>> {
    let class = deployment.class(name)?;
    let mut lines = Vec::new();
    lines.push(match class.rank {
        0 => format!("{name} goes first: it is served before every other class."),
        _ => {
            format!("{name} waits behind every class that goes first, and is refused before them.")
        }
    });
    lines.push(format!("It is answered within {} ms of its arrival.", class.deadline_ms));
    lines.push(match class.coverage {
        CoverageRule::Complete => "It gets a complete answer, or a statement of what lacks and no data.".to_owned(),
        CoverageRule::From(share) => {
            format!("At the deadline it gets a partial answer if at least {share} of the keys are covered.")
        }
        CoverageRule::Best => "At the deadline it gets whatever has arrived, with its coverage.".to_owned(),
    });
    lines.push(if class.at_most_once {
        "Each request runs at most once: it is never retried or hedged after it may have run."
            .to_owned()
    } else {
        "Its requests may be retried and hedged.".to_owned()
    });
    for service in class.services.iter().filter_map(|s| deployment.service(s)) {
        let servers: usize = service.groups.iter().map(|g| g.servers.len()).sum();
        let version = if service.versioned {
            "one index version for each answer"
        } else {
            "no index version"
        };
        lines.push(format!(
            "It may use {}: {} groups, {servers} servers of {} slots, {version}.",
            service.name,
            service.groups.len(),
            service.slots,
        ));
    }
    let callers: Vec<&str> = deployment
        .callers
        .iter()
        .filter(|c| c.classes.contains(name))
        .map(|c| c.name.as_str())
        .collect();
    lines.push(match callers.as_slice() {
        [] => "No callers may use it.".to_owned(),
        names => format!("Callers that may use it: {}.", names.join(", ")),
    });
    Some(lines)
}
