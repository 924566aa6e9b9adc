//! The `dry-run` command, which asks a node where a request would go.

use std::{fmt::Write, net::SocketAddr, process::ExitCode, time::Duration};

use eyre::{OptionExt, ensure};
use policy::relay::explain::{Candidate, Explanation};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::Format;

/// Time for the node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints where a request for `path` on `host` would go from `node`. The exit code is a failure if it
/// would be refused.
pub(crate) async fn show(
    node: SocketAddr,
    host: &str,
    path: &str,
    format: Format,
) -> eyre::Result<ExitCode> {
    let target = format!("/explain?host={}&path={}", encode(host), encode(path));
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, get(node, &target)).await;
    let answer: Value = serde_json::from_str(&answer??)?;
    let request: Option<Explanation> = serde_json::from_value(answer["request"].clone())?;
    match format {
        Format::Json => println!("{}", serde_json::to_string_pretty(&answer)?),
        Format::Text => print!("{}", text(&answer, request.as_ref())),
    }
    let would_run = request.is_some_and(|r| r.admitted_share > 0.0);
    Ok(if would_run { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Sends a GET for `target` and returns the body of the answer.
async fn get(node: SocketAddr, target: &str) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(node).await?;
    let request = format!("GET {target} HTTP/1.1\r\nhost: {node}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_eyre("not an HTTP answer")?;
    let status = head.split(' ').nth(1).unwrap_or_default();
    ensure!(status == "200", "the node answered {status}: {}", body.trim_end());
    Ok(body.to_owned())
}

/// Percent-encodes `text`.
fn encode(text: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~/".contains(&b);
    text.bytes().fold(String::new(), |mut encoded, byte| {
        // Writing to a string cannot fail.
        let _ = match is_plain(byte) {
            true => write!(encoded, "{}", char::from(byte)),
            false => write!(encoded, "%{byte:02X}"),
        };
        encoded
    })
}

fn text(answer: &Value, request: Option<&Explanation>) -> String {
    let mut lines = vec![format!(
        "configuration {}, {}ready, requests {} of {}, bytes held {} of {}",
        answer["generation"],
        if answer["is_ready"] == true { "" } else { "not " },
        answer["requests"],
        answer["max_requests"],
        answer["held_bytes"],
        answer["max_held_bytes"],
    )];
    let Some(request) = request else {
        lines.push("no route for this host and path".to_owned());
        return lines.join("\n") + "\n";
    };
    lines.push(format!(
        "route {} ({}*): rank {}, goal {} ms, deadline {} ms, {}",
        request.route,
        request.prefix,
        request.rank,
        request.goal_ms,
        request.deadline_ms,
        if request.repeatable { "may run again" } else { "may run only once" },
    ));
    lines.push(format!(
        "{} of {} pools usable, {} {}; admitted: {:.0}%",
        request.usable_pools,
        request.pools.len(),
        request.min_replies,
        if request.is_weighted { "chosen by weight" } else { "needed" },
        request.admitted_share * 100.0,
    ));
    for pool in &request.pools {
        lines.push(format!("pool {}: admits {:.0}%", pool.pool, pool.admitted_share * 100.0));
        lines.extend(pool.upstreams.iter().map(candidate));
        if pool.upstreams.is_empty() {
            lines.push("  no upstream is registered".to_owned());
        }
    }
    lines.join("\n") + "\n"
}

fn candidate(upstream: &Candidate) -> String {
    let reasons: Vec<String> = upstream.reasons.iter().map(ToString::to_string).collect();
    let reasons =
        if reasons.is_empty() { String::new() } else { format!("; {}", reasons.join("; ")) };
    let cost = match upstream.is_usable {
        true => format!("cost {:.1} ms", upstream.cost_ms),
        false => "gets nothing".to_owned(),
    };
    let basis = if upstream.has_replied { "" } else { " assumed" };
    format!(
        "  {} {} in {}: {cost}, latency {:.1} ms{basis}, {} in flight of {} slots{reasons}",
        upstream.upstream,
        upstream.address,
        upstream.domain,
        upstream.latency_ms,
        upstream.in_flight,
        upstream.slots,
    )
}
