//! Hash collections and a hash that is stable across nodes and releases.

use std::collections::{HashMap, HashSet, hash_map::RandomState};

use rustc_hash::FxBuildHasher;

/// Hash map with a fast, unseeded hasher, for keys that callers cannot choose.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set with a fast, unseeded hasher, for keys that callers cannot choose.
pub type FastSet<K> = HashSet<K, FxBuildHasher>;

/// Hash map with a randomly seeded hasher, for keys that callers choose: protects against
/// deliberate collisions.
pub type SeededMap<K, V> = HashMap<K, V, RandomState>;

/// Hashes `parts` to 64 bits. The result is the same on every node and in every release.
pub fn stable(parts: &[&[u8]]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new();
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}
