//! Merges records of several replies.

use bytes::{Bytes, BytesMut};

/// Bytes of one record.
pub const RECORD_BYTES: usize = 16;

/// The greatest `k` records of `bodies`, greatest first, compared byte by byte.
///
/// Equal records all k. What is left over after the last whole record of a body is no
/// record.
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
