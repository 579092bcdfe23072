//! The published set of routes; a set replaces the current one only if its
//! number is greater.

use schema::{PublishRoutes, PublishRoutesOutcome, RouteSet};

/// Currently published set of routes.
#[derive(Debug, Default)]
pub struct Routes {
    current: RouteSet,
}

impl Routes {
    /// Returns the current set; its number is 0 before the first publication.
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
