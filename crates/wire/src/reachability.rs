//! Codec of the messages by which nodes tell each other who reaches upstreams.
//!
//! They are datagrams on the port of heartbeats. Programs that do not know them reject them by
//! their protocol version.

use base::id;
use policy::relay::reachability::Message;

use crate::datagram::{self, Error};

/// Version of the protocol, in a range of its own beside those of the other datagrams.
pub const PROTOCOL_VERSION: u16 = 0x5201;

/// Encodes `message`. Returns [`Error::Size`] if it does not fit into a datagram.
pub fn encode(deployment: &id::Deployment, message: &Message) -> Result<Vec<u8>, Error> {
    datagram::encode(PROTOCOL_VERSION, deployment, message)
}

/// Decodes a datagram and rejects those of other protocols and deployments.
pub fn decode(deployment: &id::Deployment, bytes: &[u8]) -> Result<Message, Error> {
    datagram::decode(PROTOCOL_VERSION, deployment, bytes)
}
