//! Rendezvous weights, the same on every VM.

use xxhash_rust::xxh3::Xxh3;

/// Weight of a place for a key; the place with the highest weight is the key's first choice.
#[must_use]
pub fn rendezvous_weight(key: &str, place: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(key.as_bytes());
    hash.update(b"\n");
    hash.update(place.as_bytes());
    hash.digest()
}
