//! Commands that act as a caller.

use std::{net::SocketAddr, process::ExitCode};

use client::Client;
use eyre::OptionExt;
use http::HeaderMap;
use policy::outcome::Outcome;
use wire::caller;

use crate::Format;

/// Exit code for an answer that is not complete.
const INCOMPLETE: u8 = 3;
/// Hits printed in text form.
const HITS_SHOWN: usize = 10;

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

pub(crate) async fn query(
    node: SocketAddr,
    call: &caller::Search,
    format: Format,
) -> eyre::Result<ExitCode> {
    let client = Client::new(call.caller.as_str(), vec![node]);
    let addresses = client.addresses().await?.addresses;
    let address = addresses.first().ok_or_eyre("no node may be used")?.address;
    let answer = client.search(address, call, &HeaderMap::new()).await?;
    let code = match answer.outcome {
        Outcome::Complete => ExitCode::SUCCESS,
        _ => ExitCode::from(INCOMPLETE),
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
        println!("come back in {ms} ms");
    }
    for hit in answer.hits.iter().take(HITS_SHOWN) {
        println!("{:.3} {}", hit.score, hit.document);
    }
    println!("{} hits, trace {}", answer.hits.len(), answer.trace);
    Ok(code)
}
