//! The `addresses` and `query` commands, which use the callers' interface.

use std::{net::SocketAddr, process::ExitCode};

use client::Client;
use eyre::OptionExt;
use http::HeaderMap;
use policy::outcome::Outcome;
use wire::caller;

use crate::Format;

/// Exit code if the answer is not complete.
const EXIT_INCOMPLETE: u8 = 3;
/// Largest number of hits printed in text format.
const MAX_HITS_PRINTED: usize = 10;

/// Asks `node` for addresses as the caller `name` and prints them.
pub(crate) async fn addresses(
    node: SocketAddr,
    name: &str,
    format: Format,
) -> eyre::Result<ExitCode> {
    let answer = Client::new(name, vec![node]).addresses().await?;
    if format == Format::Json {
        println!("{}", serde_json::to_string_pretty(&answer)?);
        return Ok(ExitCode::SUCCESS);
    }
    println!("valid for {} ms", answer.validity_ms);
    for address in &answer.addresses {
        println!("{} in {}, home {}", address.address, address.domain, address.home);
    }
    if answer.isolated {
        println!("the answering node sees no other node");
    }
    Ok(ExitCode::SUCCESS)
}

/// Asks `node` for addresses, sends `call` to the first of them and prints the answer.
pub(crate) async fn query(
    node: SocketAddr,
    call: &caller::Search,
    format: Format,
) -> eyre::Result<ExitCode> {
    let client = Client::new(call.caller.as_str(), vec![node]);
    let addresses = client.addresses().await?.addresses;
    let address = addresses.first().ok_or_eyre("the answer lists no node to use")?.address;
    let answer = client.search(address, call, &HeaderMap::new()).await?;
    let code = match answer.outcome {
        Outcome::Complete => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_INCOMPLETE),
    };
    if format == Format::Json {
        println!("{}", serde_json::to_string_pretty(&answer)?);
        return Ok(code);
    }
    let reason = answer.reason.map(|r| format!(" ({r})")).unwrap_or_default();
    println!("{}{reason}, coverage {}", answer.outcome, answer.coverage);
    for snapshot in &answer.snapshot {
        let version = snapshot.version.map_or("none".to_owned(), |v| v.to_string());
        println!("snapshot: {} map {}, version {version}", snapshot.service, snapshot.map);
    }
    for gap in &answer.missing {
        println!("missing: {}/{}, {} keys, {}", gap.service, gap.group, gap.keys.len(), gap.reason);
    }
    if let Some(ms) = answer.retry_after_ms {
        println!("retry after {ms} ms");
    }
    for hit in answer.hits.iter().take(MAX_HITS_PRINTED) {
        println!("{:.3} {}", hit.score, hit.document);
    }
    println!("{} hits, trace {}", answer.hits.len(), answer.trace);
    Ok(code)
}
