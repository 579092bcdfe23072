//! Time that work took, over the most recent work.

/// Amount of work and the time that it took. Once there is more of it than is
/// remembered, earlier work counts less and less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentWork {
    pub(crate) units: f64,
    pub(crate) elapsed_ms: f64,
}

impl RecentWork {
    /// Records work, of which about `remembered_units` are remembered in all.
    pub(crate) fn record(&mut self, units: f64, elapsed_ms: f64, remembered_units: f64) {
        self.units += units;
        self.elapsed_ms += elapsed_ms;
        let kept = (remembered_units / self.units).min(1.0);
        self.units *= kept;
        self.elapsed_ms *= kept;
    }
}
