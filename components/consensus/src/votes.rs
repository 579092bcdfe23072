//! Votes of one election.

use std::collections::BTreeSet;

use schema::Configuration;

use crate::membership;

/// Replies collected by a candidate.
#[derive(Debug, Default)]
pub(crate) struct Votes {
    granted: BTreeSet<u64>,
}

impl Votes {
    pub(crate) fn grant(&mut self, id: u64) {
        self.granted.insert(id);
    }

    pub(crate) fn won(&self, configuration: &Configuration) -> bool {
        let granted = membership::voters(configuration)
            .filter(|replica| self.granted.contains(&replica.id))
            .count();
        granted > membership::voter_count(configuration) / 2
    }
}
