//! Hints about which upstream holds a prompt's prefix in its cache.
//!
//! Engines report their caches late and with gaps, so a hint is only a
//! preference: it fades with time, and load outweighs it.

use std::collections::HashMap;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

/// Prompt bytes that identify a prefix.
const PREFIX_BYTES: usize = 512;

/// Returns the hash under which a prompt's prefix is remembered.
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
    seen_ms: u64,
}

/// Recently used prefixes and where they ran.
#[derive(Debug)]
pub struct PrefixHints {
    by_prefix: HashMap<u64, Hint>,
    limit: usize,
    life_ms: u64,
}

impl PrefixHints {
    /// Creates hints that are believed for `life_ms`, at most `limit` of them.
    pub fn new(limit: usize, life_ms: u64) -> Self {
        PrefixHints { by_prefix: HashMap::new(), limit, life_ms }
    }

    /// Remembers that a prefix ran at an upstream.
    pub fn remember(&mut self, prefix: u64, upstream: &str, now_ms: u64) {
        if self.by_prefix.len() >= self.limit && !self.by_prefix.contains_key(&prefix) {
            self.by_prefix.retain(|_, hint| now_ms < hint.seen_ms + self.life_ms / 2);
            if self.by_prefix.len() >= self.limit {
                self.by_prefix.clear();
            }
        }
        self.by_prefix.insert(prefix, Hint { upstream: upstream.into(), seen_ms: now_ms });
    }

    /// Forgets everything about an upstream, for example after it restarted.
    pub fn forget(&mut self, upstream: &str) {
        self.by_prefix.retain(|_, hint| hint.upstream != upstream);
    }

    /// Returns the upstream that ran a prefix recently.
    pub fn find(&self, prefix: u64, now_ms: u64) -> Option<&str> {
        let hint = self.by_prefix.get(&prefix)?;
        (now_ms < hint.seen_ms + self.life_ms).then_some(hint.upstream.as_str())
    }
}
