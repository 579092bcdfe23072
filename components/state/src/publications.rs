//! Published object sets, by revision.

use std::collections::{BTreeMap, HashMap};

use schema::{ObjectSet, Publish, PublishOutcome, StoredPublication};

/// Number of latest publications whose ids are kept to recognise a resent
/// publication.
const MAX_STORED_PUBLICATIONS: usize = 10_000;

/// Published object sets, by revision.
#[derive(Debug, Default)]
pub struct Publications {
    by_revision: BTreeMap<u64, StoredPublication>,
    by_id: HashMap<String, u64>,
}

impl Publications {
    /// Returns the current revision and its object set; the revision is 0 before
    /// the first publication.
    pub fn current(&self) -> (u64, Option<&ObjectSet>) {
        let last = self.by_revision.last_key_value();
        last.map_or((0, None), |(revision, stored)| (*revision, stored.set.as_ref()))
    }

    /// Returns the publication of a revision, if it is still stored.
    pub fn get(&self, revision: u64) -> Option<&StoredPublication> {
        self.by_revision.get(&revision)
    }

    pub(crate) fn publish(&mut self, publish: Publish, kept_sets: usize) -> PublishOutcome {
        if let Some(revision) = self.by_id.get(&publish.publication_id) {
            return self.outcome(true, *revision);
        }
        let (current, _) = self.current();
        if publish.expected_revision != current {
            // Names the publication that followed the expected revision, or the
            // current one if that is no longer stored.
            let winner = (publish.expected_revision.saturating_add(1)).min(current);
            let reported = if self.by_revision.contains_key(&winner) { winner } else { current };
            return PublishOutcome { revision: current, ..self.outcome(false, reported) };
        }
        let revision = current + 1;
        self.by_id.insert(publish.publication_id.clone(), revision);
        let stored = StoredPublication {
            publication_id: publish.publication_id,
            author: publish.author,
            revision,
            set: Some(publish.set.unwrap_or_default()),
        };
        self.by_revision.insert(revision, stored);
        self.trim(revision, kept_sets);
        self.outcome(true, revision)
    }

    fn outcome(&self, accepted: bool, revision: u64) -> PublishOutcome {
        let stored = self.by_revision.get(&revision);
        PublishOutcome {
            accepted,
            revision,
            author: stored.map(|s| s.author.clone()).unwrap_or_default(),
            publication_id: stored.map(|s| s.publication_id.clone()).unwrap_or_default(),
        }
    }

    fn trim(&mut self, revision: u64, kept_sets: usize) {
        let expired = revision.saturating_sub(kept_sets.max(1) as u64);
        if let Some(stored) = self.by_revision.get_mut(&expired) {
            stored.set = None;
        }
        while self.by_revision.len() > MAX_STORED_PUBLICATIONS {
            if let Some((_, removed)) = self.by_revision.pop_first() {
                self.by_id.remove(&removed.publication_id);
            }
        }
    }

    pub(crate) fn to_image(&self) -> Vec<StoredPublication> {
        self.by_revision.values().cloned().collect()
    }

    pub(crate) fn from_image(image: Vec<StoredPublication>) -> Self {
        let by_id = image.iter().map(|s| (s.publication_id.clone(), s.revision)).collect();
        let by_revision = image.into_iter().map(|s| (s.revision, s)).collect();
        Publications { by_revision, by_id }
    }
}
