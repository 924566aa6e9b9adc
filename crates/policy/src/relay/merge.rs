//! Merges records of several replies.

use bytes::{Bytes, BytesMut};

/// Bytes of one record.
pub const RECORD: usize = 16;

/// The greatest `count` records of `bodies`, greatest first, compared byte by byte.
///
/// Equal records all count. What is left over after the last whole record of a body is no
/// record.
pub fn greatest(bodies: &[Bytes], count: usize) -> Bytes {
    let records = bodies.iter().flat_map(|b| b.chunks_exact(RECORD));
    let mut records: Vec<&[u8]> = records.collect();
    let descending = |a: &&[u8], b: &&[u8]| b.cmp(a);
    if count < records.len() && count > 0 {
        records.select_nth_unstable_by(count - 1, descending);
    }
    records.truncate(count);
    records.sort_unstable_by(descending);
    let mut merged = BytesMut::with_capacity(records.len() * RECORD);
    for record in records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
