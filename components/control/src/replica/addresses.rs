//! Which gateways callers are referred to: those that are ready, by weights from what they
//! report of their VMs.

use std::net::SocketAddr;

use balance::{AnswerLimits, EntryCandidate, EntryLoad, EntryReport, VmSize};
use schema::{EntryPhase, SyncRequest};

use super::Replica;
use super::sync::GatewaySyncs;

impl GatewaySyncs {
    /// Records what a gateway reports of its VM, if it does.
    pub(super) fn record_entry_load(&mut self, request: &SyncRequest, now_ms: u64) {
        if !self.weighted_addresses {
            return;
        }
        let Some(load) = &request.load else {
            self.entry_weights.forget(&request.vm);
            return;
        };
        let share = |permille: u32| f64::from(permille) / 1_000.0;
        let report = EntryReport {
            epoch: request.epoch,
            data_centre: request.data_centre.as_str().into(),
            region: request.region.as_str().into(),
            load: EntryLoad::new(share(load.processor_permille), share(load.memory_permille)),
            size: VmSize {
                processor_millicores: load.vm_millicores,
                link_kbit_s: load.vm_link_kbit_s,
                memory_mib: load.vm_memory_mib,
            },
        };
        self.entry_weights.report(&request.vm, report, now_ms);
    }

    /// Returns caller addresses of ready gateways: of those in `data_centre` if there are
    /// enough, else of all. Those that reach no upstream are left out, unless none reaches any.
    pub(super) fn ready_gateway_addresses(
        &self,
        data_centre: &str,
        limits: AnswerLimits,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let ready = || {
            let live = self.gateways.iter().filter(|(_, gateway)| gateway.is_live(now_ms));
            live.filter(|(_, gateway)| gateway.phase == EntryPhase::Ready)
        };
        let any_connected = ready().any(|(_, gateway)| !gateway.cut_off);
        let usable = ready().filter(|(_, gateway)| !any_connected || !gateway.cut_off);
        let (candidates, addresses): (Vec<EntryCandidate<'_>>, Vec<SocketAddr>) = usable
            .map(|(vm, gateway)| {
                let data_centre = &gateway.data_centre;
                (EntryCandidate { vm, data_centre }, gateway.caller_address)
            })
            .unzip();
        let chosen = self.entry_weights.choose(&candidates, data_centre, limits, &mut rand::rng());
        chosen.into_iter().map(|index| addresses[index]).collect()
    }
}

impl Replica {
    /// Adjusts the weights of gateways, and publishes them.
    pub(super) fn adjust_entry_weights(&mut self, now_ms: u64) {
        let weights = &mut self.gateway_syncs.entry_weights;
        let Some(changes) = weights.adjust(now_ms) else { return };
        for change in changes {
            log::info!(vm = change.vm.as_str(), data_centre = change.data_centre.as_str(), before = change.before, now = change.now, pressure = change.pressure; "weight of gateway changed");
        }
        let metrics = &self.metrics;
        metrics.gateway_weights.reset();
        for (vm, weight, pressure) in weights.iter() {
            metrics.gateway_weights.with_label_values(&[vm, "weight"]).set(weight);
            metrics.gateway_weights.with_label_values(&[vm, "pressure"]).set(pressure);
        }
        metrics.diverted_shares.reset();
        for (data_centre, share) in weights.diverted_shares() {
            metrics.diverted_shares.with_label_values(&[data_centre]).set(share);
        }
    }
}
