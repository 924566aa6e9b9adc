//! The key space that shard maps divide, and exact arithmetic over parts of it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::hash;

/// Number of keys in the key space.
pub const SIZE: u32 = 65_536;

/// Place of `key` in the key space.
pub fn hash_key(key: &[u8]) -> u32 {
    (hash::stable(&[key]) % u64::from(SIZE)) as u32
}

/// Half-open range of the key space.
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

    /// KeyRange from `start` up to, without, `end`.
    pub fn new(start: u32, end: u32) -> KeyRange {
        KeyRange { start, end }
    }

    /// Part `index` of `parts` nearly equal parts of the key space.
    pub fn part(index: u32, parts: u32) -> KeyRange {
        let bound = |i: u32| (u64::from(SIZE) * u64::from(i) / u64::from(parts)) as u32;
        KeyRange { start: bound(index), end: bound(index + 1) }
    }

    /// Number of keys.
    pub fn len(&self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Whether the range holds no key.
    pub fn is_empty(&self) -> bool {
        self.end <= self.start
    }

    /// Whether `key` lies in the range.
    pub fn contains(&self, key: u32) -> bool {
        self.start <= key && key < self.end
    }

    /// Keys that lie in both ranges.
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

/// KeySet of keys, kept as sorted, disjoint, non-adjacent ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeySet {
    ranges: Vec<KeyRange>,
}

impl KeySet {
    /// The empty set.
    pub fn new() -> KeySet {
        KeySet::default()
    }

    /// KeySet of the keys of `ranges`, which may overlap and come in any order.
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

    /// The ranges in ascending order.
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Number of keys.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(KeyRange::len).sum()
    }

    /// Whether the set holds no key.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Adds the keys of `other`.
    pub fn extend(&mut self, other: &KeySet) {
        let all: Vec<KeyRange> = self.ranges.iter().chain(&other.ranges).copied().collect();
        *self = KeySet::from_ranges(&all);
    }

    /// The keys of the set that lie in `range`.
    pub fn intersection(&self, range: KeyRange) -> KeySet {
        let parts: Vec<KeyRange> = self.ranges.iter().map(|r| r.intersection(range)).collect();
        KeySet::from_ranges(&parts)
    }

    /// The keys of `range` that are not in the set.
    pub fn gaps_in(&self, range: KeyRange) -> KeySet {
        let mut missing = Vec::new();
        let mut next = range.start;
        for held in self.intersection(range).ranges {
            missing.push(KeyRange::new(next, held.start));
            next = held.end;
        }
        missing.push(KeyRange::new(next, range.end));
        KeySet::from_ranges(&missing)
    }
}
