//! Bodies of HTTP messages, bounded in size.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};

/// Size of one chunk of a large body, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// Body of a message that this node sends.
pub(crate) type OutgoingBody = BoxBody<Bytes, Infallible>;

/// Creates a body from `bytes`. A large body is sent in chunks, at the pace of the receiver.
pub(crate) fn outgoing(bytes: Vec<u8>) -> OutgoingBody {
    if bytes.len() <= CHUNK_BYTES {
        return Full::new(Bytes::from(bytes)).boxed();
    }
    let mut rest = Bytes::from(bytes);
    let chunks = std::iter::from_fn(move || {
        let chunk = rest.split_to(rest.len().min(CHUNK_BYTES));
        (!chunk.is_empty()).then(|| Ok(Frame::data(chunk)))
    });
    StreamBody::new(futures::stream::iter(chunks)).boxed()
}

/// Reason why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The body exceeds the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Truncated,
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read(body: Incoming, limit: usize) -> Result<Bytes, Error> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(Error::TooLarge),
        Err(_) => Err(Error::Truncated),
    }
}
