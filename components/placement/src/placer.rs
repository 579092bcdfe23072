//! Placement state of an entry.

use std::collections::HashMap;
use std::sync::Arc;

use admission::{Estimator, Reservation};
use compact_str::CompactString;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use routing::{Directory, PrefixHints};
use schema::{EntryMember, Priority, Weights};

use crate::effect::{CreditRequestId, Effect};
use crate::options::PlacerOptions;
use crate::service::{PendingCreditRequest, ServiceQueue};
use crate::state::{HeldCredit, OwnedUpstream, Watcher};

const MAX_PREFIX_HINTS: usize = 50_000;
const PREFIX_HINT_TTL_MS: u64 = 60_000;

/// Deployment state that a placer depends on.
#[derive(Clone, Debug, Default)]
pub struct DeploymentView {
    /// Entries with a valid lease.
    pub members: Arc<[EntryMember]>,
    /// Version of the membership; changes whenever `members` change.
    pub members_version: u64,
    /// Priorities of the published set.
    pub priorities: Vec<Priority>,
    /// Cost weights of the deployment.
    pub weights: Weights,
    /// Whether the entry accepts new requests.
    pub accepts_requests: bool,
}

/// Places requests on upstreams.
#[derive(Debug)]
pub struct Placer {
    pub(crate) options: PlacerOptions,
    pub(crate) view: DeploymentView,
    pub(crate) reservations: Vec<Reservation>,
    pub(crate) directory: Directory,
    pub(crate) prefix_hints: PrefixHints,
    pub(crate) owned: HashMap<CompactString, OwnedUpstream>,
    pub(crate) estimator: Estimator,
    pub(crate) queues: HashMap<CompactString, ServiceQueue>,
    /// Credits that this entry holds, by upstream and credit id.
    pub(crate) held_credits: HashMap<(CompactString, u64), HeldCredit>,
    /// Number of running generations, by workspace.
    pub(crate) running_by_workspace: HashMap<CompactString, u32>,
    pub(crate) watchers: HashMap<CompactString, Watcher>,
    /// Credit requests to other entries whose replies are pending.
    pub(crate) pending_credit_requests: HashMap<CreditRequestId, PendingCreditRequest>,
    pub(crate) next_ticket: u64,
    pub(crate) next_credit_request: u64,
    pub(crate) next_renewal_ms: u64,
    pub(crate) next_digest_ms: u64,
    pub(crate) rng: SmallRng,
    pub(crate) effects: Vec<Effect>,
}

impl Placer {
    /// Creates a placer without members and upstreams.
    pub fn new(options: PlacerOptions) -> Self {
        Placer {
            rng: SmallRng::seed_from_u64(options.epoch),
            options,
            view: DeploymentView::default(),
            reservations: Vec::new(),
            directory: Directory::default(),
            prefix_hints: PrefixHints::new(MAX_PREFIX_HINTS, PREFIX_HINT_TTL_MS),
            owned: HashMap::new(),
            estimator: Estimator::default(),
            queues: HashMap::new(),
            held_credits: HashMap::new(),
            running_by_workspace: HashMap::new(),
            watchers: HashMap::new(),
            pending_credit_requests: HashMap::new(),
            next_ticket: 1,
            next_credit_request: 1,
            next_renewal_ms: 0,
            next_digest_ms: 0,
            effects: Vec::new(),
        }
    }

    /// Applies a new view of the deployment.
    pub fn set_view(&mut self, view: DeploymentView, now_ms: u64) {
        let members_changed = view.members_version != self.view.members_version;
        let reserve = self.options.mechanisms.reservations;
        let reserved = |priority: &&Priority| reserve && priority.reserved_share > 0.0;
        self.reservations = view
            .priorities
            .iter()
            .filter(reserved)
            .map(|priority| Reservation {
                priority: priority.name.as_str().into(),
                share: priority.reserved_share,
            })
            .collect();
        self.view = view;
        if members_changed {
            self.remove_reassigned_upstreams(now_ms);
            self.update_watchers();
        }
        self.dispatch_all(now_ms);
    }

    /// Runs time-based work: expires leases and requests, renews credits, sends
    /// digests and places waiting requests.
    pub fn tick(&mut self, now_ms: u64) {
        self.expire_upstreams(now_ms);
        self.directory.expire(now_ms);
        self.renew_credits(now_ms);
        self.send_digests(now_ms);
        self.refuse_expired(now_ms);
        self.dispatch_all(now_ms);
    }

    /// Removes and returns the effects that the driver has to execute.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the entry on a VM.
    pub fn member(&self, vm: &str) -> Option<&EntryMember> {
        self.view.members.iter().find(|member| member.vm == vm)
    }

    /// Returns the entry that owns an upstream.
    pub fn owner_of(&self, upstream: &str) -> Option<&EntryMember> {
        routing::owner(&self.view.members, upstream)
    }

    /// Returns the number of upstreams that this entry owns.
    pub fn owned_count(&self) -> usize {
        self.owned.len()
    }

    /// Returns the number of upstreams that this entry knows of.
    pub fn known_count(&self) -> usize {
        self.directory.iter().count()
    }

    /// Returns the number of waiting requests, by service.
    pub fn waiting(&self) -> impl Iterator<Item = (&str, usize)> {
        self.queues.iter().map(|(service, queue)| (service.as_str(), queue.queue.len()))
    }

    /// Returns the VM of the entry.
    pub fn vm(&self) -> &str {
        self.options.vm.as_str()
    }
}
