//! Difference of two configurations, in the operator's terms.

use std::collections::BTreeMap;

use crate::deployment::{Class, Deployment, Service};

/// One line for each thing that changes from `old` to `new`; none if they are equal.
pub fn describe(old: &Deployment, new: &Deployment) -> Vec<String> {
    let mut lines = Vec::new();
    change(&mut lines, "deployment name", &old.name, &new.name);
    change(&mut lines, "generation", &old.generation, &new.generation);
    change(&mut lines, "weighs most", &old.weigh_most, &new.weigh_most);
    each(
        &mut lines,
        "service",
        &old.services,
        &new.services,
        |s| s.name.to_string(),
        service_lines,
    );
    each(&mut lines, "class", &old.classes, &new.classes, |c| c.name.to_string(), class_lines);
    let callers = |d: &Deployment| -> BTreeMap<String, String> {
        d.callers.iter().map(|c| (c.name.to_string(), join(&c.classes))).collect()
    };
    let (before, after) = (callers(old), callers(new));
    for name in before.keys().chain(after.keys().filter(|k| !before.contains_key(*k))) {
        let none = "none".to_owned();
        let field = format!("callers {name}: classes");
        change(
            &mut lines,
            &field,
            before.get(name).unwrap_or(&none),
            after.get(name).unwrap_or(&none),
        );
    }
    if new != old && new.generation <= old.generation {
        lines.push(format!(
            "warning: generation {} is not above {}; nodes will ignore this value",
            new.generation, old.generation
        ));
    }
    lines
}

fn change<T: PartialEq + ToString>(lines: &mut Vec<String>, what: &str, old: &T, new: &T) {
    if old != new {
        lines.push(format!("{what}: {} -> {}", old.to_string(), new.to_string()));
    }
}

fn join<T: ToString>(items: &[T]) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

fn each<T>(
    lines: &mut Vec<String>,
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> String,
    compare: impl Fn(&mut Vec<String>, &T, &T),
) {
    for item in old {
        match new.iter().find(|n| name(n) == name(item)) {
            Some(other) => compare(lines, item, other),
            None => lines.push(format!("{kind} {}: removed", name(item))),
        }
    }
    for item in new {
        if !old.iter().any(|o| name(o) == name(item)) {
            lines.push(format!("{kind} {}: added", name(item)));
        }
    }
}

fn service_lines(lines: &mut Vec<String>, old: &Service, new: &Service) {
    let at = |part: &str| format!("service {}: {part}", old.name);
    change(lines, &at("slots"), &old.slots, &new.slots);
    change(lines, &at("connections"), &old.connections, &new.connections);
    let setup = "connection set-up in ms";
    change(lines, &at(setup), &old.connection_setup_ms, &new.connection_setup_ms);
    change(lines, &at("versioned"), &old.versioned, &new.versioned);
    change(lines, &at("map generation"), &old.map, &new.map);
    change(lines, &at("groups"), &old.groups.len(), &new.groups.len());
    let servers = |s: &Service| -> BTreeMap<_, _> {
        let all = s.groups.iter().enumerate();
        all.flat_map(|(g, group)| group.servers.iter().map(move |v| (v.upstream, (g, v.leaving))))
            .collect()
    };
    let (before, after) = (servers(old), servers(new));
    for (upstream, (group, leaving)) in &before {
        match after.get(upstream) {
            None => lines.push(at(&format!("server {upstream} of group {group} removed"))),
            Some((_, now)) if now != leaving => {
                let state = if *now { "starts leaving" } else { "no longer leaves" };
                lines.push(at(&format!("server {upstream} {state}")));
            }
            Some((now, _)) => change(lines, &at(&format!("server {upstream}: group")), group, now),
        }
    }
    for (upstream, (group, _)) in after.iter().filter(|(u, _)| !before.contains_key(u)) {
        lines.push(at(&format!("server {upstream} of group {group} added")));
    }
}

fn class_lines(lines: &mut Vec<String>, old: &Class, new: &Class) {
    let at = |part: &str| format!("class {}: {part}", old.name);
    change(lines, &at("services"), &join(&old.services), &join(&new.services));
    change(lines, &at("goes first"), &(old.rank == 0), &(new.rank == 0));
    change(lines, &at("deadline in ms"), &old.deadline_ms, &new.deadline_ms);
    change(lines, &at("coverage"), &old.coverage, &new.coverage);
    change(lines, &at("at most once"), &old.at_most_once, &new.at_most_once);
}
