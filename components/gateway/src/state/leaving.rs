//! Upstreams that said that they leave.

use std::time::Duration;

use schema::Incarnation;
use tokio::time::Instant;

/// Time for which control processes are told that an upstream leaves.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Upstreams that said in a response that they leave, and when.
#[derive(Debug, Default)]
pub(crate) struct LeavingUpstreams(Vec<(Incarnation, Instant)>);

impl LeavingUpstreams {
    /// Returns those that control processes are to be told of.
    pub(crate) fn reports(&self) -> Vec<Incarnation> {
        let recent = self.0.iter().filter(|(_, since)| since.elapsed() < REPORT_PERIOD);
        recent.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Adds an incarnation.
    pub(crate) fn record(&mut self, incarnation: Incarnation) {
        self.0.retain(|(_, since)| since.elapsed() < REPORT_PERIOD);
        self.0.push((incarnation, Instant::now()));
    }
}
