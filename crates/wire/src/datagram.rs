//! Envelope of datagrams between nodes.

use base::id;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::heartbeat;

/// Largest datagram, in bytes; fits into an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Why a datagram was rejected, or a message could not be encoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The datagram is not a message of its protocol.
    #[error("not a heartbeat")]
    Syntax,
    /// The sender uses another version of the protocol.
    #[error("protocol {0}, allowed {allowed}", allowed = heartbeat::PROTOCOL_VERSION)]
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

/// Encodes `message` of the protocol version `protocol`.
pub(crate) fn encode<T: Serialize>(
    protocol: u16,
    deployment: &id::Deployment,
    message: &T,
) -> Result<Vec<u8>, Error> {
    let envelope = Envelope { protocol, deployment: deployment.clone(), message };
    let bytes = postcard::to_stdvec(&envelope).map_err(|_| Error::Syntax)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::Size(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a datagram. Rejects those of other protocol versions than `protocol`, and of deployments
/// other than `deployment`.
pub(crate) fn decode<T: DeserializeOwned>(
    protocol: u16,
    deployment: &id::Deployment,
    bytes: &[u8],
) -> Result<T, Error> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::Size(bytes.len()));
    }
    let (found, rest) = postcard::take_from_bytes::<u16>(bytes).map_err(|_| Error::Syntax)?;
    if found != protocol {
        return Err(Error::Protocol(found));
    }
    let (name, rest) =
        postcard::take_from_bytes::<id::Deployment>(rest).map_err(|_| Error::Syntax)?;
    if name != *deployment {
        return Err(Error::Foreign(name));
    }
    match postcard::take_from_bytes::<T>(rest) {
        Ok((message, [])) => Ok(message),
        _ => Err(Error::Syntax),
    }
}
