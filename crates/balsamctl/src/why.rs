//! Tells one request's story from nodes' logs: what was decided, and what the node that decided
//! it believed then.

use std::{
    fmt::Write as _,
    fs::File,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::ExitCode,
    time::{Duration, SystemTime},
};

use eyre::WrapErr;
use serde_json::{Map, Value};

/// How long before a request's first line other lines of its nodes are of interest.
const BEFORE: Duration = Duration::from_secs(60);
/// Fields that each line has and that are told apart from the others.
const COMMON: [&str; 5] = ["timestamp", "level", "message", "request", "target"];

/// A log line.
#[derive(Debug)]
struct Line {
    at: SystemTime,
    /// Node that wrote it: what stands before the JSON, or the name of the file.
    node: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    fn is_of(&self, request: &str) -> bool {
        self.text("request") == request
    }
}

pub(crate) fn show(request: &str, files: &[PathBuf]) -> eyre::Result<ExitCode> {
    let mut lines = Vec::new();
    for path in files {
        let file = File::open(path).wrap_err_with(|| path.display().to_string())?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        read(BufReader::new(file), &name, &mut lines)
            .wrap_err_with(|| path.display().to_string())?;
    }
    if files.is_empty() {
        read(std::io::stdin().lock(), "node", &mut lines).wrap_err("standard input")?;
    }
    match story(request, &mut lines) {
        Some(story) => {
            print!("{story}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            let read = lines.len();
            eprintln!("no line of request {request} among {read}; see docs/OPERATIONS.md");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Reads the lines of a log; what is no JSON line of a node's is left out.
fn read(log: impl BufRead, file: &str, lines: &mut Vec<Line>) -> std::io::Result<()> {
    for text in log.lines() {
        let text = text?;
        let Some(start) = text.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) else { continue };
        let timestamp = fields.get("timestamp").and_then(Value::as_str);
        let Some(at) = timestamp.and_then(|t| humantime::parse_rfc3339(t).ok()) else { continue };
        let node = text[..start].split_whitespace().last().unwrap_or(file).to_owned();
        lines.push(Line { at, node, fields });
    }
    Ok(())
}

fn story(request: &str, lines: &mut [Line]) -> Option<String> {
    lines.sort_by_key(|l| l.at);
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_of(request)).collect();
    let first = own.first()?.at;
    let last = own.last()?.at;
    let mut nodes: Vec<&str> = own.iter().map(|l| l.node.as_str()).collect();
    nodes.sort_unstable();
    nodes.dedup();

    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = writeln!(out, "request {request}: {} lines of {}", own.len(), nodes.join(", "));
    for line in &own {
        let after = line.at.duration_since(first).unwrap_or_default();
        let _ = writeln!(out, "{:>8} ms  {}  {}", after.as_millis(), line.node, told(line));
    }
    for node in nodes {
        let of_node = || lines.iter().filter(|l| l.node == node);
        let beliefs = beliefs(&own, of_node().filter(|l| l.at <= last));
        if !beliefs.is_empty() {
            let _ = writeln!(out, "believed by {node}:");
        }
        for belief in beliefs {
            let ago = last.duration_since(belief.at).unwrap_or_default();
            let _ = writeln!(out, "{:>8.1} s before  {}", ago.as_secs_f64(), told(belief));
        }
        let near = |l: &&Line| {
            let message = l.text("message");
            let since = l.at.duration_since(first).unwrap_or_default();
            message.starts_with("log lines left out") && l.at >= first && since.as_secs() < 2
        };
        for line in of_node().filter(near) {
            let _ = writeln!(out, "left out by {node}: {}", told(line));
        }
    }
    Some(out)
}

/// The last lines before a request's end on what it depended on: the configuration, the
/// platform, and each pool and upstream that its lines name.
fn beliefs<'a>(own: &[&'a Line], before: impl Iterator<Item = &'a Line>) -> Vec<&'a Line> {
    let names = |field: &'static str| own.iter().map(|l| l.text(field)).filter(|n| !n.is_empty());
    let missing = names("missing").flat_map(|m| m.split([' ', ',', '(', ')']));
    let named: Vec<&str> = names("upstream").chain(missing).filter(|n| !n.is_empty()).collect();
    let prints: Vec<&str> = names("fingerprint").collect();
    let end = own.last().map_or(SystemTime::UNIX_EPOCH, |l| l.at);
    let mut latest: Vec<(String, &Line)> = Vec::new();
    for line in before {
        let message = line.text("message");
        let key = line.text("key").rsplit('/').next().unwrap_or_default();
        let about = match message {
            "configuration in force" => "configuration".to_owned(),
            "the platform does not answer" | "the platform answers again" => "platform".to_owned(),
            "upstream registered" if named.contains(&line.text("upstream")) => {
                line.text("upstream").to_owned()
            }
            "registry entry has gone" if named.contains(&key) => key.to_owned(),
            "requests accused of crashing an upstream"
                if prints.iter().any(|p| line.text("fingerprints").contains(p)) =>
            {
                "accusation".to_owned()
            }
            "this process was suspended; beliefs are refreshed"
                if end.duration_since(line.at).unwrap_or_default() < BEFORE =>
            {
                "suspension".to_owned()
            }
            _ => continue,
        };
        latest.retain(|(other, _)| *other != about);
        latest.push((about, line));
    }
    latest.into_iter().map(|(_, line)| line).collect()
}

/// The message with its fields.
fn told(line: &Line) -> String {
    let mut text = line.text("message").to_owned();
    for (name, value) in line.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str())) {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        let _ = write!(text, " {name}={value}");
    }
    text
}
