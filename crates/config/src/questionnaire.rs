//! Generates the configuration of a deployment from a questionnaire that a team fills in.

use std::net::{IpAddr, SocketAddr};

use base::{id, keyspace::KeyRange, unit::Generation};

use crate::{
    deployment::{self, Caller, Class, CoverageRule, Deployment, Group, Priority, Server, Service},
    field::{self, File, Section},
};

const SECTIONS: &str = "[deployment], [callers NAME], [class NAME], [service NAME]";
const DEPLOYMENT_FIELDS: &str = "name, generation, weigh_most, failure_domains";
const SERVICE_FIELDS: &str = "groups, servers_per_group, first_server, next_server, slots, \
                              connections, connection_setup, versioned, map_generation, leaving";
const CLASS_FIELDS: &str = "services, goes_first, deadline, coverage, at_most_once";
const CALLER_FIELDS: &str = "classes";

/// Which part of the address is incremented from one server of a service to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AddressStep {
    Host,
    Port,
}

/// Generates the configuration that the questionnaire `text` describes.
///
/// `name` is the file's name, for errors. Equal texts give equal configurations. Errors are
/// collected, so that one run reports all of them.
pub fn generate(name: &str, text: &str) -> Result<Deployment, field::Errors> {
    let mut file = File::parse(name, text)?;
    let header = read_deployment(&mut file);
    let domains = header.as_ref().map(|h| h.domains.clone()).unwrap_or_default();
    let services: Vec<Service> = file
        .take("service")
        .into_iter()
        .filter_map(|s| read_service(&mut file, s, &domains))
        .collect();
    let mut classes: Vec<Class> = file
        .take("class")
        .into_iter()
        .filter_map(|s| read_class(&mut file, s, &services))
        .collect();
    let callers: Vec<Caller> = file
        .take("callers")
        .into_iter()
        .filter_map(|s| read_callers(&mut file, s, &classes))
        .collect();
    for (missing, section) in [
        (services.is_empty(), "[service NAME]"),
        (classes.is_empty(), "[class NAME]"),
        (callers.is_empty(), "[callers NAME]"),
    ] {
        if missing {
            file.error(1, section, "", "at least one complete section of this kind");
        }
    }
    file.finish(SECTIONS)?;
    classes.sort_by_key(|c| c.rank);
    let file_error = |reason: &str| {
        let line = 1;
        let (field, input) = ("file".to_owned(), reason.to_owned());
        let allowed = "a configuration that passes its checks".to_owned();
        field::Errors(vec![field::Error { file: name.to_owned(), line, field, input, allowed }])
    };
    let header = header.ok_or_else(|| file_error("no [deployment]"))?;
    let deployment = Deployment {
        format: deployment::FORMAT_VERSION,
        name: header.name,
        generation: header.generation,
        weigh_most: header.weigh_most,
        domains: header.domains,
        callers,
        classes,
        services,
    };
    deployment.check().map_err(|e| file_error(&e.to_string()))?;
    Ok(deployment)
}

/// Fields of the `[deployment]` section.
#[derive(Debug)]
struct DeploymentHeader {
    name: id::Deployment,
    generation: Generation,
    weigh_most: Priority,
    domains: Vec<id::Domain>,
}

fn read_deployment(file: &mut File) -> Option<DeploymentHeader> {
    let mut section = file.take_one("deployment", true);
    let name = section.take(file, "name", id::NAME_RULE, None, |v| v.parse().ok());
    let generation = section.take_integer(file, "generation", 1..=u64::MAX, None);
    let priorities = "tail latency or coverage";
    let weigh_most = section.take(file, "weigh_most", priorities, None, |v| v.parse().ok());
    let domains = section.take_names(file, "failure_domains");
    section.finish(file, DEPLOYMENT_FIELDS);
    let generation = Generation(generation?);
    Some(DeploymentHeader { name: name?, generation, weigh_most: weigh_most?, domains })
}

fn read_service(file: &mut File, mut section: Section, domains: &[id::Domain]) -> Option<Service> {
    let name = section.name(file);
    let groups = section.take_integer(file, "groups", 1..=10_000, None);
    let replicas = section.take_integer(file, "servers_per_group", 1..=1_000, None);
    let first = section.take(file, "first_server", "IP:port, such as 10.0.0.1:7000", None, |v| {
        v.parse::<SocketAddr>().ok().filter(|a| a.port() > 0)
    });
    let step =
        section.take(file, "next_server", "next host or next port", Some(AddressStep::Host), |v| {
            match v {
                "next host" => Some(AddressStep::Host),
                "next port" => Some(AddressStep::Port),
                _ => None,
            }
        });
    let slots = section.take_integer(file, "slots", 1..=10_000, None);
    let connections = section.take_integer(file, "connections", 1..=100_000, None);
    let setup = section.take_duration(file, "connection_setup", 0..=10_000, None);
    let versioned = section.take_bool(file, "versioned", true);
    let map = section.take_integer(file, "map_generation", 1..=u64::MAX, Some(1));
    let leaving = match section.take_raw("leaving") {
        Some((line, text)) => read_leaving(file, &section.field("leaving"), line, &text),
        None => Vec::new(),
    };
    let line = section.line;
    let connections_field = section.field("connections");
    section.finish(file, SERVICE_FIELDS);
    let (slots, connections) = (slots?, connections?);
    if connections < slots {
        file.error(line, &connections_field, &connections.to_string(), "no fewer than slots");
        return None;
    }
    let (groups, replicas, first, step) = (groups?, replicas?, first?, step?);
    let count = groups * replicas;
    if server_address(first, step, count - 1).is_none() {
        let allowed = format!("an address with room for {count} servers");
        file.error(
            line,
            &format!("{connections_field} first_server"),
            &first.to_string(),
            &allowed,
        );
        return None;
    }
    if domains.is_empty() {
        return None;
    }
    let server = |group: u64, replica: u64| {
        let upstream = id::Upstream(server_address(first, step, group * replicas + replica)?);
        let domain = domains[replica as usize % domains.len()].clone();
        Some(Server { upstream, domain, leaving: leaving.contains(&upstream) })
    };
    let group = |g: u64| {
        let range = KeyRange::part(g as u32, groups as u32);
        Some(Group { range, servers: (0..replicas).map(|r| server(g, r)).collect::<Option<_>>()? })
    };
    Some(Service {
        name: name?,
        versioned,
        slots: slots as u32,
        connections: connections as u32,
        connection_setup_ms: setup?.as_millis() as u64,
        map: Generation(map?),
        groups: (0..groups).map(group).collect::<Option<_>>()?,
    })
}

fn read_leaving(file: &mut File, field: &str, line: usize, text: &str) -> Vec<id::Upstream> {
    let mut leaving = Vec::new();
    for part in text.split(',') {
        match part.trim().parse() {
            Ok(upstream) => leaving.push(upstream),
            Err(_) => file.error(line, field, part.trim(), "IP:port values separated by commas"),
        }
    }
    leaving
}

/// Returns the address of server `index`, or `None` if the ports or IP addresses are exhausted.
fn server_address(first: SocketAddr, step: AddressStep, index: u64) -> Option<SocketAddr> {
    match step {
        AddressStep::Port => {
            let port = u64::from(first.port()).checked_add(index)?;
            Some(SocketAddr::new(first.ip(), u16::try_from(port).ok()?))
        }
        AddressStep::Host => {
            let ip = match first.ip() {
                IpAddr::V4(ip) => {
                    IpAddr::V4(u32::from(ip).checked_add(u32::try_from(index).ok()?)?.into())
                }
                IpAddr::V6(ip) => IpAddr::V6(u128::from(ip).checked_add(u128::from(index))?.into()),
            };
            Some(SocketAddr::new(ip, first.port()))
        }
    }
}

fn read_class(file: &mut File, mut section: Section, services: &[Service]) -> Option<Class> {
    let name = section.name(file);
    let line = section.line;
    let field = section.field("services");
    let used: Vec<id::Service> = section.take_names(file, "services");
    let goes_first = section.take_bool(file, "goes_first", false);
    let deadline_limit = deployment::MAX_DEADLINE.as_millis() as u64;
    let deadline = section.take_duration(file, "deadline", 1..=deadline_limit, None);
    let coverages = "complete, partial from N%, or best at deadline";
    let complete = Some(CoverageRule::Complete);
    let coverage = section.take(file, "coverage", coverages, complete, |v| v.parse().ok());
    let at_most_once = section.take_bool(file, "at_most_once", false);
    section.finish(file, CLASS_FIELDS);
    let is_defined = |s: &id::Service| services.iter().any(|k| k.name == *s);
    for service in used.iter().filter(|s| !is_defined(s)) {
        file.error(line, &field, service.as_str(), "services with a complete section");
    }
    Some(Class {
        name: name?,
        services: used,
        rank: u8::from(!goes_first),
        deadline_ms: deadline?.as_millis() as u64,
        coverage: coverage?,
        at_most_once,
    })
}

fn read_callers(file: &mut File, mut section: Section, classes: &[Class]) -> Option<Caller> {
    let name = section.name(file);
    let line = section.line;
    let field = section.field("classes");
    let used: Vec<id::Class> = section.take_names(file, "classes");
    section.finish(file, CALLER_FIELDS);
    let is_defined = |c: &id::Class| classes.iter().any(|k| k.name == *c);
    for class in used.iter().filter(|c| !is_defined(c)) {
        file.error(line, &field, class.as_str(), "classes with a complete section");
    }
    Some(Caller { name: name?, classes: used })
}
