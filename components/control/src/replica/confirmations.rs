//! Waits for gateways to confirm with their syncs what they have applied.

use compact_str::CompactString;
use registry::{OPEN_WITHDRAWAL_MS, Registry};
use tokio::sync::oneshot;

use super::Replica;
use super::sync::{GatewayState, GatewaySyncs};

/// Longest wait for gateways to confirm that an upstream is draining or gone, or that a data
/// centre is evacuated; upstreams and operators retry at another control process after a
/// second.
const CONFIRM_TIMEOUT_MS: u64 = 600;
const _: () = assert!(CONFIRM_TIMEOUT_MS < OPEN_WITHDRAWAL_MS, "confirmed while still open");

/// What gateways are to confirm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Awaited {
    /// The end of this upstream, also of the incarnations that gateways report meanwhile.
    End(CompactString),
    /// This version of the evacuated data centres.
    Evacuations(u64),
}

impl Awaited {
    fn is_confirmed_by(&self, gateway: &GatewayState, registry: &Registry) -> bool {
        match self {
            Awaited::End(id) => gateway.confirmed_version >= registry.version_of(id),
            Awaited::Evacuations(version) => gateway.evacuations_version >= *version,
        }
    }

    /// Returns false for the withdrawal of an upstream that no gateway knows.
    fn has_effect(&self, registry: &Registry) -> bool {
        match self {
            Awaited::End(id) => registry.is_known(id),
            Awaited::Evacuations(_) => true,
        }
    }
}

/// Wait for all live gateways.
pub(super) struct PendingConfirmation {
    awaited: Awaited,
    deadline_ms: u64,
    result: oneshot::Sender<bool>,
}

impl GatewaySyncs {
    /// Returns a receiver that yields true once every live gateway has confirmed
    /// `awaited` or the confirmation timed out, and false if no gateway is live
    /// by then or none knows the upstream.
    pub(super) fn wait_for_confirmation(
        &mut self,
        awaited: Awaited,
        now_ms: u64,
    ) -> oneshot::Receiver<bool> {
        let (result, receiver) = oneshot::channel();
        let deadline_ms = now_ms + CONFIRM_TIMEOUT_MS;
        self.confirmations.push(PendingConfirmation { awaited, deadline_ms, result });
        receiver
    }
}

impl Replica {
    pub(super) fn resolve_due_confirmations(&mut self, now_ms: u64) {
        let syncs = &mut self.gateway_syncs;
        if syncs.confirmations.is_empty() {
            return;
        }
        let has_gateway = syncs.has_live_gateway(now_ms);
        for wait in std::mem::take(&mut syncs.confirmations) {
            let is_missing = |g: &&GatewayState| !wait.awaited.is_confirmed_by(g, &syncs.registry);
            let missing = syncs.live_gateways(now_ms).filter(is_missing).count();
            let is_confirmed = has_gateway && missing == 0;
            if !is_confirmed && now_ms < wait.deadline_ms {
                syncs.confirmations.push(wait);
                continue;
            }
            if missing > 0 {
                log::warn!(awaited:? = wait.awaited, missing; "gateways have not confirmed in time");
            }
            let has_effect = wait.awaited.has_effect(&syncs.registry);
            if !has_effect {
                log::warn!(awaited:? = wait.awaited; "no gateway knows the withdrawn upstream");
            }
            let _ = wait.result.send(has_gateway && has_effect);
        }
    }
}
