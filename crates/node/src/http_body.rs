//! Bodies of HTTP messages, bounded in size.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};

/// Size of one piece of a large answer, in bytes.
const PIECE: usize = 64 << 10;

/// Body of a message that this node sends.
pub(crate) type Outgoing = BoxBody<Bytes, Infallible>;

/// A body that is sent piece by piece, as fast as the other side takes it.
pub(crate) fn stream(bytes: Vec<u8>) -> Outgoing {
    if bytes.len() <= PIECE {
        return Full::new(Bytes::from(bytes)).boxed();
    }
    let mut rest = Bytes::from(bytes);
    let pieces = std::iter::from_fn(move || {
        let piece = rest.split_to(rest.len().min(PIECE));
        (!piece.is_empty()).then(|| Ok(Frame::data(piece)))
    });
    StreamBody::new(futures::stream::iter(pieces)).boxed()
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// It exceeds the limit.
    Size,
    /// The connection failed before its end.
    Truncated,
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read(body: Incoming, limit: usize) -> Result<Bytes, Error> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(Error::Size),
        Err(_) => Err(Error::Truncated),
    }
}
