//! Differences between two configurations, described for operators.

use std::collections::BTreeMap;

use crate::deployment::{Class, Deployment, Service};

/// Returns one line for each difference between `old` and `new`.
pub fn describe(old: &Deployment, new: &Deployment) -> Vec<String> {
    let mut lines = Vec::new();
    push_change(&mut lines, "deployment name", &old.name, &new.name);
    push_change(&mut lines, "generation", &old.generation, &new.generation);
    push_change(&mut lines, "weighs most", &old.weigh_most, &new.weigh_most);
    compare_named(
        &mut lines,
        "service",
        &old.services,
        &new.services,
        |s| s.name.to_string(),
        service_lines,
    );
    compare_named(
        &mut lines,
        "class",
        &old.classes,
        &new.classes,
        |c| c.name.to_string(),
        class_lines,
    );
    let classes_by_caller = |d: &Deployment| -> BTreeMap<String, String> {
        d.callers.iter().map(|c| (c.name.to_string(), join(&c.classes))).collect()
    };
    let (before, after) = (classes_by_caller(old), classes_by_caller(new));
    for name in before.keys().chain(after.keys().filter(|k| !before.contains_key(*k))) {
        let none = "none".to_owned();
        let field = format!("callers {name}: classes");
        push_change(
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

fn push_change<T: PartialEq + ToString>(lines: &mut Vec<String>, label: &str, old: &T, new: &T) {
    if old != new {
        lines.push(format!("{label}: {} -> {}", old.to_string(), new.to_string()));
    }
}

fn join<T: ToString>(items: &[T]) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

/// Reports removed and added items, and compares the items that both lists have, by name.
fn compare_named<T>(
    lines: &mut Vec<String>,
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> String,
    compare: impl Fn(&mut Vec<String>, &T, &T),
) {
    for item in old {
        match new.iter().find(|n| name(n) == name(item)) {
            Some(new_item) => compare(lines, item, new_item),
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
    let label = |part: &str| format!("service {}: {part}", old.name);
    push_change(lines, &label("slots"), &old.slots, &new.slots);
    push_change(lines, &label("connections"), &old.connections, &new.connections);
    let setup = "connection set-up in ms";
    push_change(lines, &label(setup), &old.connection_setup_ms, &new.connection_setup_ms);
    push_change(lines, &label("versioned"), &old.versioned, &new.versioned);
    push_change(lines, &label("map generation"), &old.map, &new.map);
    push_change(lines, &label("groups"), &old.groups.len(), &new.groups.len());
    let servers = |s: &Service| -> BTreeMap<_, _> {
        let groups = s.groups.iter().enumerate();
        groups
            .flat_map(|(g, group)| group.servers.iter().map(move |v| (v.upstream, (g, v.leaving))))
            .collect()
    };
    let (before, after) = (servers(old), servers(new));
    for (upstream, (group, leaving)) in &before {
        match after.get(upstream) {
            None => lines.push(label(&format!("server {upstream} of group {group} removed"))),
            Some((_, now_leaving)) if now_leaving != leaving => {
                let state = if *now_leaving { "starts leaving" } else { "is no longer leaving" };
                lines.push(label(&format!("server {upstream} {state}")));
            }
            Some((new_group, _)) => {
                push_change(lines, &label(&format!("server {upstream}: group")), group, new_group);
            }
        }
    }
    for (upstream, (group, _)) in after.iter().filter(|(u, _)| !before.contains_key(u)) {
        lines.push(label(&format!("server {upstream} of group {group} added")));
    }
}

fn class_lines(lines: &mut Vec<String>, old: &Class, new: &Class) {
    let label = |part: &str| format!("class {}: {part}", old.name);
    push_change(lines, &label("services"), &join(&old.services), &join(&new.services));
    push_change(lines, &label("goes first"), &(old.rank == 0), &(new.rank == 0));
    push_change(lines, &label("deadline in ms"), &old.deadline_ms, &new.deadline_ms);
    push_change(lines, &label("coverage"), &old.coverage, &new.coverage);
    push_change(lines, &label("at most once"), &old.at_most_once, &new.at_most_once);
}
