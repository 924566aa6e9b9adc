//! Merging of records: the greatest records of all replies, in descending order.

mod common;

use bytes::Bytes;
use policy::relay::merge::{RECORD_BYTES, top_k};

fn record(n: u8) -> Vec<u8> {
    vec![n; RECORD_BYTES]
}

fn body(numbers: &[u8], trailing_bytes: usize) -> Bytes {
    let mut bytes: Vec<u8> = numbers.iter().flat_map(|n| record(*n)).collect();
    bytes.extend(vec![255; trailing_bytes]);
    bytes.into()
}

#[test]
fn the_greatest_records_are_returned_in_descending_order() {
    let check = |bodies: &[Bytes], count: usize, expected: &[u8]| {
        assert_eq!(top_k(bodies, count), body(expected, 0));
    };
    check(&[body(&[1, 9], 0), body(&[5, 7], 0)], 3, &[9, 7, 5]);
    check(&[body(&[1], 0)], 5, &[1]);
    check(&[], 5, &[]);
    check(&[body(&[3], 0)], 0, &[]);
    // Duplicates are kept, and a partial record at the end of a body is ignored.
    check(&[body(&[4, 4], 15), body(&[4], 3)], 5, &[4, 4, 4]);
}

seeded! {
    fn agrees_with_sorting_everything(bodies: Vec<Vec<u8>>, count: u8) -> bool {
        let count = usize::from(count) % 12;
        let bodies: Vec<Bytes> = bodies.iter().map(|b| {
            // Few distinct bytes, so that duplicate records occur.
            b.iter().flat_map(|n| record(n % 4)).collect::<Vec<u8>>().into()
        }).collect();
        let records = bodies.iter().flat_map(|b| b.chunks_exact(RECORD_BYTES));
        let mut all: Vec<&[u8]> = records.collect();
        all.sort_unstable();
        let expected: Vec<u8> = all.into_iter().rev().take(count).flatten().copied().collect();
        top_k(&bodies, count) == expected
    }
}
