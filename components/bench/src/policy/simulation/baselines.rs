//! Choices of the baselines.

use rand::RngExt as _;

use super::{ENGINES, Simulation};
use crate::policy::compared::Policy;

impl Simulation {
    /// Returns the engine that a baseline takes for a request of an entry.
    pub(super) fn choose_baseline(&mut self, entry: usize) -> usize {
        match self.policy {
            Policy::RoundRobin | Policy::Placer(_) => self.next_alive(entry),
            Policy::LeastInFlight => {
                let alive = (0..ENGINES).filter(|engine| !self.engines[*engine].lost);
                alive.min_by_key(|engine| self.in_flight[entry][*engine]).unwrap_or_default()
            }
            Policy::TwoChoices => {
                let (a, b) = (self.next_random(), self.next_random());
                let load =
                    |engine: usize| self.reports[engine].running + self.reports[engine].waiting;
                if load(a) <= load(b) { a } else { b }
            }
        }
    }

    fn next_alive(&mut self, entry: usize) -> usize {
        loop {
            self.next_engine[entry] = (self.next_engine[entry] + 1) % ENGINES;
            if !self.engines[self.next_engine[entry]].lost {
                return self.next_engine[entry];
            }
        }
    }

    fn next_random(&mut self) -> usize {
        loop {
            let engine = self.rng.random_range(0..ENGINES);
            if !self.engines[engine].lost {
                return engine;
            }
        }
    }
}
