//! Aliases for hash collections.

use std::collections::{HashMap, HashSet, hash_map::RandomState};

use rustc_hash::FxBuildHasher;

/// Map with a fast, unseeded hasher, for keys that the system chooses itself.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// Set with a fast, unseeded hasher, for keys that the system chooses itself.
pub type FastSet<K> = HashSet<K, FxBuildHasher>;

/// Map with a randomly seeded hasher, for keys that callers choose.
pub type SeededMap<K, V> = HashMap<K, V, RandomState>;

/// Hashes `parts` to 64 bits; the same on every node and in every release.
pub fn stable(parts: &[&[u8]]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new();
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}
