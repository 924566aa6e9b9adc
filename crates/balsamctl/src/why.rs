//! The `why` command: extracts the log lines of one request and the state that the nodes which
//! logged them based their decisions on, such as the configuration and registered upstreams.

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

/// Largest age of a suspension, at the request's last line, for it to be printed.
const SUSPENSION_WINDOW: Duration = Duration::from_secs(60);
/// Fields that are not printed as `name=value` after the message.
const HIDDEN_FIELDS: [&str; 5] = ["timestamp", "level", "message", "request", "target"];

/// A line of a node's structured log.
#[derive(Debug)]
struct Line {
    at: SystemTime,
    /// Node that wrote the line: the last word before the JSON, or else the name of the log file.
    node: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Returns the value of a string field; empty if there is no such field.
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    fn belongs_to(&self, request: &str) -> bool {
        self.text("request") == request
    }
}

/// Prints the report on `request` from the log `files`, or from standard input if there are none.
pub(crate) fn show(request: &str, files: &[PathBuf]) -> eyre::Result<ExitCode> {
    let mut lines = Vec::new();
    for path in files {
        let file = File::open(path).wrap_err_with(|| path.display().to_string())?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        read_lines(BufReader::new(file), &name, &mut lines)
            .wrap_err_with(|| path.display().to_string())?;
    }
    if files.is_empty() {
        read_lines(std::io::stdin().lock(), "node", &mut lines).wrap_err("standard input")?;
    }
    match report(request, &mut lines) {
        Some(report) => {
            print!("{report}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            let count = lines.len();
            eprintln!("no line of request {request} among {count}; see docs/OPERATIONS.md");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Appends the lines of a log to `lines`. Skips lines without a JSON object or a timestamp.
fn read_lines(log: impl BufRead, file: &str, lines: &mut Vec<Line>) -> std::io::Result<()> {
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

/// Formats the request's lines in order of time, and for each node that logged one its state before
/// the last of them. Returns `None` if no line belongs to the request.
fn report(request: &str, lines: &mut [Line]) -> Option<String> {
    lines.sort_by_key(|l| l.at);
    let own: Vec<&Line> = lines.iter().filter(|l| l.belongs_to(request)).collect();
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
        let _ = writeln!(out, "{:>8} ms  {}  {}", after.as_millis(), line.node, format_line(line));
    }
    for node in nodes {
        let node_lines = || lines.iter().filter(|l| l.node == node);
        let state = state_lines(&own, node_lines().filter(|l| l.at <= last));
        if !state.is_empty() {
            let _ = writeln!(out, "state at {node}:");
        }
        for line in state {
            let ago = last.duration_since(line.at).unwrap_or_default();
            let _ = writeln!(out, "{:>8.1} s before  {}", ago.as_secs_f64(), format_line(line));
        }
        let near = |l: &&Line| {
            let message = l.text("message");
            let since = l.at.duration_since(first).unwrap_or_default();
            message.starts_with("log lines left out") && l.at >= first && since.as_secs() < 2
        };
        for line in node_lines().filter(near) {
            let _ = writeln!(out, "left out by {node}: {}", format_line(line));
        }
    }
    Some(out)
}

/// Returns the latest of the lines in `before` on each thing that the request depended on: the
/// configuration, the platform, each upstream named in its lines, accusations of its fingerprint,
/// and a recent suspension of the process.
fn state_lines<'a>(own: &[&'a Line], before: impl Iterator<Item = &'a Line>) -> Vec<&'a Line> {
    let values = |field: &'static str| own.iter().map(|l| l.text(field)).filter(|n| !n.is_empty());
    let missing = values("missing").flat_map(|m| m.split([' ', ',', '(', ')']));
    let upstreams: Vec<&str> =
        values("upstream").chain(missing).filter(|n| !n.is_empty()).collect();
    let fingerprints: Vec<&str> = values("fingerprint").collect();
    let end = own.last().map_or(SystemTime::UNIX_EPOCH, |l| l.at);
    let mut latest: Vec<(String, &Line)> = Vec::new();
    for line in before {
        let message = line.text("message");
        let key = line.text("key").rsplit('/').next().unwrap_or_default();
        let subject = match message {
            "configuration in force" => "configuration".to_owned(),
            "the platform does not answer"
            | "the platform answers again"
            | "no news from the platform; asking it again" => "platform".to_owned(),
            "the platform came back from an earlier copy of its data; all entries were read again" => {
                "era".to_owned()
            }
            "upstream registered" if upstreams.contains(&line.text("upstream")) => {
                line.text("upstream").to_owned()
            }
            "registry entry has gone" if upstreams.contains(&key) => key.to_owned(),
            "requests accused of crashing an upstream"
                if fingerprints.iter().any(|p| line.text("fingerprints").contains(p)) =>
            {
                "accusation".to_owned()
            }
            "crash report recorded" if fingerprints.contains(&line.text("fingerprint")) => {
                "crash report".to_owned()
            }
            "this process was suspended; beliefs are refreshed"
                if end.duration_since(line.at).unwrap_or_default() < SUSPENSION_WINDOW =>
            {
                "suspension".to_owned()
            }
            _ => continue,
        };
        latest.retain(|(other, _)| *other != subject);
        latest.push((subject, line));
    }
    latest.into_iter().map(|(_, line)| line).collect()
}

/// Formats the message of a line followed by its fields.
fn format_line(line: &Line) -> String {
    let mut text = line.text("message").to_owned();
    for (name, value) in
        line.fields.iter().filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()))
    {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        let _ = write!(text, " {name}={value}");
    }
    text
}
