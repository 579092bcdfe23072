//! Reactions to a disk that is full, returns errors or stalls.
//!
//! Nothing that needs the disk is answered meanwhile. The replica hands over
//! leadership and starts no election; what needs no disk goes on: gateway syncs,
//! announcements of upstreams, slot reservations, and requests for the leader.

use super::Replica;

impl Replica {
    pub(super) fn set_disk_error(&mut self, error: Option<String>) {
        match (&self.disk_error, &error) {
            (None, Some(error)) => {
                log::error!(error = error.as_str(); "disk refuses writes; handing over leadership until it accepts them");
            }
            (Some(_), None) => log::info!("disk accepts writes again"),
            (_, _) => {}
        }
        self.metrics.disk_available.set(i64::from(error.is_none()));
        self.disk_error = error;
    }

    /// Keeps a replica whose disk does not accept writes from leading.
    pub(super) fn check_disk(&mut self, now_ms: u64) {
        let refuses_writes = self.disk_error.is_some();
        let stalls = self
            .storage_job_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + self.config.timers.election_ms);
        self.node.set_may_campaign(!refuses_writes && !stalls);
        if refuses_writes || (stalls && self.is_behind_commit()) {
            // Fails while a transfer is in progress, and on replicas that do not lead.
            let _ = self.node.transfer_leadership();
        }
    }

    /// Returns whether other replicas commit entries that are not durable on this
    /// leader: their disks are faster than its own.
    fn is_behind_commit(&self) -> bool {
        let durable_index = self.node.match_index(self.node.id());
        durable_index.is_some_and(|index| index < self.node.commit_index())
    }
}
