//! Engine selection of the baseline policies.

use rand::RngExt as _;

use super::{ENGINE_COUNT, Simulation};
use crate::policy::compared::Policy;

impl Simulation {
    /// Returns the engine on which a baseline policy places a request of `entry`.
    pub(super) fn choose_baseline_engine(&mut self, entry: usize) -> usize {
        match self.policy {
            Policy::RoundRobin | Policy::Placer(_) => self.next_round_robin(entry),
            Policy::LeastInFlight => {
                let available = (0..ENGINE_COUNT).filter(|engine| !self.engines[*engine].failed);
                available.min_by_key(|engine| self.in_flight[entry][*engine]).unwrap_or_default()
            }
            Policy::TwoChoices => {
                let (a, b) = (self.random_engine(), self.random_engine());
                let load = |engine: usize| {
                    self.last_reports[engine].running + self.last_reports[engine].waiting
                };
                if load(a) <= load(b) { a } else { b }
            }
        }
    }

    fn next_round_robin(&mut self, entry: usize) -> usize {
        loop {
            self.last_engine[entry] = (self.last_engine[entry] + 1) % ENGINE_COUNT;
            if !self.engines[self.last_engine[entry]].failed {
                return self.last_engine[entry];
            }
        }
    }

    fn random_engine(&mut self) -> usize {
        loop {
            let engine = self.rng.random_range(0..ENGINE_COUNT);
            if !self.engines[engine].failed {
                return engine;
            }
        }
    }
}
