//! Codec of heartbeats between nodes; each is one datagram.

use base::id;
use policy::membership::Message;
use serde::{Deserialize, Serialize};

/// Version of the protocol between nodes.
pub const PROTOCOL_VERSION: u16 = 2;
/// Largest datagram, in bytes; fits into an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Why a datagram was rejected, or a message could not be encoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The datagram is not a heartbeat.
    #[error("not a heartbeat")]
    Syntax,
    /// The sender uses another version of the protocol.
    #[error("protocol {0}, allowed {PROTOCOL_VERSION}")]
    Protocol(u16),
    /// The sender belongs to another deployment.
    #[error("deployment {0}")]
    Foreign(id::Deployment),
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`].
    #[error("{0} bytes, allowed {MAX_DATAGRAM_BYTES}")]
    Size(usize),
}

#[derive(Debug, Serialize, Deserialize)]
struct Envelope<T> {
    protocol: u16,
    deployment: id::Deployment,
    message: T,
}

/// Encodes `message`, dropping its last records as needed to fit into [`MAX_DATAGRAM_BYTES`].
///
/// Returns [`Error::Size`] if the message is too large without any records.
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

/// Decodes a datagram and rejects those of other protocol versions and of deployments other
/// than `deployment`.
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
