//! Merges the records of several replies.

use bytes::{Bytes, BytesMut};

/// Size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `k` greatest records of `bodies` in descending byte order.
///
/// Duplicate records are kept. Bytes after the last whole record of a body are ignored.
pub fn top_k(bodies: &[Bytes], k: usize) -> Bytes {
    let records = bodies.iter().flat_map(|b| b.chunks_exact(RECORD_BYTES));
    let mut records: Vec<&[u8]> = records.collect();
    let descending = |a: &&[u8], b: &&[u8]| b.cmp(a);
    if k < records.len() && k > 0 {
        records.select_nth_unstable_by(k - 1, descending);
    }
    records.truncate(k);
    records.sort_unstable_by(descending);
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
