//! What a placer asks its driver to do.

use admission::TicketId;
use compact_str::CompactString;
use schema::{CreditRelease, CreditRenew, CreditRequest, DigestRequest};
use verdict::Failure;

use crate::request::Placement;

/// Id of a request for a credit, for its answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AskId(pub u64);

/// What a placer asks its driver to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Give a request its place.
    Placed(TicketId, Placement),
    /// Tell a request that it is refused.
    Refused(TicketId, Failure),
    /// Ask another entry for a credit and pass its reply to
    /// [`crate::Placer::credit_answered`].
    AskOwner {
        /// Id for the answer.
        ask: AskId,
        /// Request on whose behalf the credit is asked for.
        ticket: TicketId,
        /// VM of the owner.
        owner_vm: CompactString,
        /// Request to send.
        request: CreditRequest,
    },
    /// Return a credit to another entry.
    Release(CompactString, CreditRelease),
    /// Renew credits with another entry.
    Renew(CompactString, CreditRenew),
    /// Tell another entry of owned upstreams and pass whether it accepted to
    /// [`crate::Placer::digest_answered`].
    Digest(CompactString, DigestRequest),
}
