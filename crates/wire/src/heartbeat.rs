//! Heartbeats between nodes: one datagram each.

use base::id;
use policy::membership::Message;
use serde::{Deserialize, Serialize};

/// Version of the protocol between nodes.
pub const PROTOCOL_VERSION: u16 = 2;
/// Largest datagram, in bytes; fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A datagram that was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Not a heartbeat.
    #[error("not a heartbeat")]
    Syntax,
    /// Another version of the protocol.
    #[error("protocol {0}, allowed {PROTOCOL_VERSION}")]
    Protocol(u16),
    /// Another deployment.
    #[error("deployment {0}")]
    Foreign(id::Deployment),
    /// Larger than [`MAX_DATAGRAM_BYTES`].
    #[error("{0} bytes, allowed {MAX_DATAGRAM_BYTES}")]
    Size(usize),
}

#[derive(Debug, Serialize, Deserialize)]
struct Envelope<T> {
    protocol: u16,
    deployment: id::Deployment,
    message: T,
}

/// Writes `message`, leaving out the last records if it would exceed [`MAX_DATAGRAM_BYTES`].
pub fn encode(deployment: &id::Deployment, message: &Message) -> Result<Vec<u8>, Error> {
    let mut message = message.clone();
    loop {
        let envelope = Envelope {
            protocol: PROTOCOL_VERSION,
            deployment: deployment.clone(),
            message: &message,
        };
        let bytes = postcard::to_stdvec(&envelope).map_err(|_| Error::Syntax)?;
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Ok(bytes);
        }
        if message.records.pop().is_none() {
            return Err(Error::Size(bytes.len()));
        }
    }
}

/// Reads a datagram of `deployment`.
pub fn decode(deployment: &id::Deployment, bytes: &[u8]) -> Result<Message, Error> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::Size(bytes.len()));
    }
    let (protocol, rest) = postcard::take_from_bytes::<u16>(bytes).map_err(|_| Error::Syntax)?;
    if protocol != PROTOCOL_VERSION {
        return Err(Error::Protocol(protocol));
    }
    let (name, rest) =
        postcard::take_from_bytes::<id::Deployment>(rest).map_err(|_| Error::Syntax)?;
    if name != *deployment {
        return Err(Error::Foreign(name));
    }
    match postcard::take_from_bytes::<Message>(rest) {
        Ok((message, [])) => Ok(message),
        _ => Err(Error::Syntax),
    }
}
