//! Description of a class of requests in plain sentences, for `balsamctl explain`.

use base::id;

use crate::deployment::{CoverageRule, Deployment};

/// Describes class `name` of `deployment`, one sentence per line. Returns `None` if there is no
/// such class.
pub fn describe(deployment: &Deployment, name: &id::Class) -> Option<Vec<String>> {
    let class = deployment.class(name)?;
    let mut lines = Vec::new();
    lines.push(match class.rank {
        0 => {
            format!("{name} goes first: its requests are served before those of every other class.")
        }
        _ => format!(
            "{name} does not go first: its requests wait behind those of classes that do, and are \
             refused earlier."
        ),
    });
    lines.push(format!("Each request is answered within {} ms of its arrival.", class.deadline_ms));
    lines.push(match class.coverage {
        CoverageRule::Complete => {
            "A request gets a complete answer, or no data and a list of what is missing.".to_owned()
        }
        CoverageRule::From(share) => format!(
            "At the deadline, a request gets a partial answer if at least {share} of the keys are \
             covered."
        ),
        CoverageRule::Best => {
            "At the deadline, a request gets the data that has arrived, with its coverage."
                .to_owned()
        }
    });
    lines.push(if class.at_most_once {
        "Each request runs at most once: it is never retried or hedged after it may have run."
            .to_owned()
    } else {
        "Requests may be retried and hedged.".to_owned()
    });
    for service in class.services.iter().filter_map(|s| deployment.service(s)) {
        let servers: usize = service.groups.iter().map(|g| g.servers.len()).sum();
        let version = if service.versioned {
            "each answer reflects one index version"
        } else {
            "it has no index versions"
        };
        lines.push(format!(
            "Requests may use {}: {} groups, {servers} servers of {} slots; {version}.",
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
        [] => "No callers may use the class.".to_owned(),
        names => format!("Callers that may use the class: {}.", names.join(", ")),
    });
    Some(lines)
}
