//! Codec of heartbeats between nodes; each is one datagram.

use base::id;
use policy::membership::Message;

use crate::datagram;
pub use crate::datagram::{Error, MAX_DATAGRAM_BYTES};

/// Version of the protocol between nodes.
pub const PROTOCOL_VERSION: u16 = 2;

/// Encodes `message`, dropping its last records as needed to fit into [`MAX_DATAGRAM_BYTES`].
///
/// Returns [`Error::Size`] if the message is too large without any records.
pub fn encode(deployment: &id::Deployment, message: &Message) -> Result<Vec<u8>, Error> {
    let mut message = message.clone();
    loop {
        match datagram::encode(PROTOCOL_VERSION, deployment, &message) {
            Err(Error::Size(_)) if message.records.pop().is_some() => {}
            result => return result,
        }
    }
}

/// Decodes a datagram and rejects those of other protocol versions and of deployments other
/// than `deployment`.
pub fn decode(deployment: &id::Deployment, bytes: &[u8]) -> Result<Message, Error> {
    datagram::decode(PROTOCOL_VERSION, deployment, bytes)
}
