//! Hash functions: SHA-256 for secrets and identifiers, XXH3 for hash tables and request placement.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Returns a 64-bit hash of `bytes` that is the same on every instance and in every release.
pub fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Combines two hashes; the result depends on their order.
pub fn combine(first: u64, second: u64) -> u64 {
    xxh3_64_with_seed(&second.to_le_bytes(), first)
}
