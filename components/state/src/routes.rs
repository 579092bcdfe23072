//! The published set of routes: the greatest number wins.

use schema::{PublishRoutes, PublishRoutesOutcome, RouteSet};

/// Set of routes in force.
#[derive(Debug, Default)]
pub struct Routes {
    current: RouteSet,
}

impl Routes {
    /// Returns the set in force; its number is 0 before the first publication.
    pub fn current(&self) -> &RouteSet {
        &self.current
    }

    pub(crate) fn publish(&mut self, publish: PublishRoutes) -> PublishRoutesOutcome {
        let set = publish.set.unwrap_or_default();
        let changed = set.number > self.current.number;
        if changed {
            self.current = set;
        }
        PublishRoutesOutcome { number: self.current.number, changed }
    }

    pub(crate) fn to_image(&self) -> Option<RouteSet> {
        (self.current.number > 0).then(|| self.current.clone())
    }

    pub(crate) fn from_image(image: Option<RouteSet>) -> Self {
        Routes { current: image.unwrap_or_default() }
    }
}
