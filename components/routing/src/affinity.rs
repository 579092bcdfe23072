//! Prefix affinity: hints about which upstream may hold a prompt's prefix in its
//! KV cache, because a prompt with this prefix was last placed there.
//!
//! Engines report their cache contents late and incompletely, so a hint is only a
//! preference: it expires, and load takes precedence over it.

use std::collections::HashMap;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

/// Leading bytes of a prompt that identify its prefix.
const PREFIX_BYTES: usize = 512;

/// Returns the hash that identifies a prompt's prefix.
///
/// ```
/// let prompt = "x".repeat(600);
/// assert_eq!(routing::prefix_hash(&prompt), routing::prefix_hash(&prompt[..520]));
/// ```
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

#[derive(Debug)]
struct Hint {
    upstream: CompactString,
    updated_ms: u64,
}

/// Recently used prefixes and the upstreams on which they were last placed.
#[derive(Debug)]
pub struct PrefixHints {
    by_prefix: HashMap<u64, Hint>,
    limit: usize,
    ttl_ms: u64,
}

impl PrefixHints {
    /// Creates an empty set of at most `limit` hints, each valid for `ttl_ms`.
    pub fn new(limit: usize, ttl_ms: u64) -> Self {
        PrefixHints { by_prefix: HashMap::new(), limit, ttl_ms }
    }

    /// Records that a prompt with this prefix was placed on an upstream. At the
    /// limit, this first removes the older hints, or all if none is older than half
    /// of its validity.
    pub fn insert(&mut self, prefix: u64, upstream: &str, now_ms: u64) {
        if self.by_prefix.len() >= self.limit && !self.by_prefix.contains_key(&prefix) {
            self.by_prefix.retain(|_, hint| now_ms < hint.updated_ms + self.ttl_ms / 2);
            if self.by_prefix.len() >= self.limit {
                self.by_prefix.clear();
            }
        }
        self.by_prefix.insert(prefix, Hint { upstream: upstream.into(), updated_ms: now_ms });
    }

    /// Removes all hints for an upstream, for example after it restarted.
    pub fn remove_upstream(&mut self, upstream: &str) {
        self.by_prefix.retain(|_, hint| hint.upstream != upstream);
    }

    /// Returns the upstream on which a prefix was last placed, if the hint is still
    /// valid.
    pub fn find(&self, prefix: u64, now_ms: u64) -> Option<&str> {
        let hint = self.by_prefix.get(&prefix)?;
        (now_ms < hint.updated_ms + self.ttl_ms).then_some(hint.upstream.as_str())
    }
}
