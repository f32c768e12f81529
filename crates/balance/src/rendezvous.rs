//! Rendezvous (highest random weight) hashing, identical on every VM.

use xxhash_rust::xxh3::Xxh3;

/// Returns the weight of a node for a key. The node with the highest weight is the key's first
/// choice.
#[must_use]
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(key.as_bytes());
    hash.update(b"\n");
    hash.update(node.as_bytes());
    hash.digest()
}
