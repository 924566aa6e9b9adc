//! Key space that shard maps divide, and exact arithmetic on ranges and sets of keys.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::hash;

/// Number of keys in the key space.
pub const SIZE: u32 = 65_536;

/// Hashes a document key to its position in the key space.
pub fn hash_key(key: &[u8]) -> u32 {
    (hash::stable(&[key]) % u64::from(SIZE)) as u32
}

/// Half-open range of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub start: u32,
    /// One past the last key; at most [`SIZE`].
    pub end: u32,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: KeyRange = KeyRange { start: 0, end: SIZE };

    /// Creates a range from `start` to `end`, exclusive.
    pub fn new(start: u32, end: u32) -> KeyRange {
        KeyRange { start, end }
    }

    /// Returns part `index` of the key space divided into `parts` nearly equal parts.
    pub fn part(index: u32, parts: u32) -> KeyRange {
        let bound = |i: u32| (u64::from(SIZE) * u64::from(i) / u64::from(parts)) as u32;
        KeyRange { start: bound(index), end: bound(index + 1) }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Returns whether the range contains no key.
    pub fn is_empty(&self) -> bool {
        self.end <= self.start
    }

    /// Returns whether the range contains `key`.
    pub fn contains(&self, key: u32) -> bool {
        self.start <= key && key < self.end
    }

    /// Returns the keys that both ranges contain.
    pub fn intersection(&self, other: KeyRange) -> KeyRange {
        let start = self.start.max(other.start);
        KeyRange { start, end: self.end.min(other.end).max(start) }
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}

/// Set of keys, stored as sorted, disjoint, non-adjacent ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeySet {
    ranges: Vec<KeyRange>,
}

impl KeySet {
    /// Creates an empty set.
    pub fn new() -> KeySet {
        KeySet::default()
    }

    /// Creates the union of `ranges`, which may overlap and be in any order.
    pub fn from_ranges(ranges: &[KeyRange]) -> KeySet {
        let mut sorted: Vec<KeyRange> = ranges.iter().copied().filter(|r| !r.is_empty()).collect();
        sorted.sort_unstable();
        let mut set = KeySet::new();
        for range in sorted {
            match set.ranges.last_mut() {
                Some(last) if range.start <= last.end => last.end = last.end.max(range.end),
                _ => set.ranges.push(range),
            }
        }
        set
    }

    /// Returns the ranges in ascending order.
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Returns the number of keys.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(KeyRange::len).sum()
    }

    /// Returns whether the set contains no key.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Adds the keys of `other`.
    pub fn extend(&mut self, other: &KeySet) {
        let all: Vec<KeyRange> = self.ranges.iter().chain(&other.ranges).copied().collect();
        *self = KeySet::from_ranges(&all);
    }

    /// Returns the keys of the set that `range` contains.
    pub fn intersection(&self, range: KeyRange) -> KeySet {
        let parts: Vec<KeyRange> = self.ranges.iter().map(|r| r.intersection(range)).collect();
        KeySet::from_ranges(&parts)
    }

    /// Returns the keys of `range` that the set does not contain.
    pub fn gaps_in(&self, range: KeyRange) -> KeySet {
        let mut missing = Vec::new();
        let mut next = range.start;
        for present in self.intersection(range).ranges {
            missing.push(KeyRange::new(next, present.start));
            next = present.end;
        }
        missing.push(KeyRange::new(next, range.end));
        KeySet::from_ranges(&missing)
    }
}
