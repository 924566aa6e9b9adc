//! The `status` and `stop` commands, which use the operators' interface.

use std::{net::SocketAddr, process::ExitCode};

use jsonrpsee::{core::client::ClientT, http_client::HttpClientBuilder, rpc_params};
use wire::operator::{self, Status};

use crate::Format;

/// Prints the status of `nodes`. Nodes that cannot be queried are reported on standard error and
/// make the exit code a failure.
pub(crate) async fn show(nodes: &[SocketAddr], format: Format) -> eyre::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    let mut all = Vec::new();
    for node in nodes {
        match fetch(*node).await {
            Ok(status) => all.push(status),
            Err(e) => {
                eprintln!("balsamctl: {node}: {e:#}");
                code = ExitCode::FAILURE;
            }
        }
    }
    match format {
        Format::Json => println!("{}", serde_json::to_string_pretty(&all)?),
        Format::Text => all.iter().for_each(print),
    }
    Ok(code)
}

/// Starts the planned stop of `node`, without waiting for its end.
pub(crate) async fn stop(node: SocketAddr) -> eyre::Result<ExitCode> {
    let client = HttpClientBuilder::default().build(format!("http://{node}"))?;
    client.request::<(), _>(operator::STOP_METHOD, rpc_params![]).await?;
    println!("{node}: planned stop begun");
    Ok(ExitCode::SUCCESS)
}

async fn fetch(node: SocketAddr) -> eyre::Result<Status> {
    let client = HttpClientBuilder::default().build(format!("http://{node}"))?;
    Ok(client.request(operator::STATUS_METHOD, rpc_params![]).await?)
}

fn print(status: &Status) {
    let own = &status.own;
    let serving = if own.serving { "" } else { ", not serving" };
    let isolated = if status.isolated { ", sees no other node" } else { "" };
    println!(
        "{} in {} of {}: configuration {}{serving}{isolated}",
        own.node, own.domain, status.deployment, status.generation
    );
    if let Some(refused) = &status.refused {
        println!("  refused configuration: {refused}");
    }
    println!(
        "  requests {}, limit on lower classes {}, ids {}",
        status.requests, status.lower_limit, status.ids
    );
    for member in &status.members {
        let serving = if member.serving { "" } else { ", not serving" };
        println!("  node {} in {}: {:?}{serving}", member.node, member.domain, member.status);
    }
    for notice in &status.quarantine {
        println!("  quarantine {:016x} for {} ms", notice.fingerprint, notice.remaining_ms);
    }
    let needs_attention = |u: &&operator::UpstreamStatus| u.leaving || u.failing;
    for upstream in status.upstreams.iter().filter(needs_attention) {
        let state = if upstream.leaving { "leaving" } else { "failing" };
        println!(
            "  upstream {} of {}/{}: {state}",
            upstream.upstream, upstream.service, upstream.group
        );
    }
    for (name, value) in status.counters.iter().filter(|(_, v)| *v > 0) {
        println!("  {name} {value}");
    }
}
