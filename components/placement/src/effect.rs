//! Actions that a placer requests from its driver.

use admission::TicketId;
use compact_str::CompactString;
use schema::{CreditRelease, CreditRenew, CreditRequest, DigestRequest};
use verdict::Failure;

use crate::request::Placement;

/// Id of a credit request, used to match its reply.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CreditRequestId(pub u64);

/// Action that a placer requests from its driver.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Report to a waiting request where it is placed.
    Placed(TicketId, Placement),
    /// Refuse a waiting request.
    Refused(TicketId, Failure),
    /// Request a credit from another entry and pass its reply to
    /// [`crate::Placer::handle_credit_reply`].
    RequestCredit {
        /// Id to pass with the reply.
        id: CreditRequestId,
        /// Waiting request that needs the credit.
        ticket: TicketId,
        /// VM of the entry that owns the engine.
        owner_vm: CompactString,
        /// Message to send.
        request: CreditRequest,
    },
    /// Release a credit at the entry on the given VM.
    ReleaseCredit(CompactString, CreditRelease),
    /// Renew credits at the entry on the given VM.
    RenewCredits(CompactString, CreditRenew),
    /// Send the state of owned upstreams to the entry on the given VM, and pass
    /// whether it accepted the digest to [`crate::Placer::handle_digest_ack`].
    SendDigest(CompactString, DigestRequest),
}
