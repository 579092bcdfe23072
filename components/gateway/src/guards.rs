//! Counts of what is in progress at a gateway.

use std::rc::Rc;

use crate::shared::Shared;

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(pub(super) Rc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = self.0.in_flight.get() - 1;
        self.0.in_flight.set(count);
        self.0.metrics.in_flight.set(i64::from(count));
    }
}

/// Counts one connection of a caller as open until dropped.
#[derive(Debug)]
pub(crate) struct OpenConnectionGuard(pub(super) Rc<Shared>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}
