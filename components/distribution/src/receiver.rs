//! Receiving side of the distribution.

use schema::{FetchRoutesReply, FetchRoutesRequest, RouteChangeId, RouteSet, RouteSetChange};

use crate::assembly::Assembly;
use crate::{ChangeError, Fingerprint, apply_change};

/// What a reply of a control process led to.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// The control process has no newer set.
    NothingNewer,
    /// The change is not complete yet.
    Chunk,
    /// The next set, and the change that led to it.
    Set(RouteSet, RouteChangeId),
}

/// Receiving side of a [`RouteSource`](crate::RouteSource): knows which set is in force at a
/// gateway, and follows the changes to it.
///
/// ```
/// use distribution::{Received, RouteReceiver, RouteSource};
/// use schema::RouteSet;
/// let set = RouteSet { number: 4, ..RouteSet::default() };
/// let mut source = RouteSource::default();
/// source.record(&set);
/// let mut receiver = RouteReceiver::default();
///
/// let reply = source.next_chunk(&receiver.next_request(), &set);
/// let received = receiver.receive(reply, &RouteSet::default())?;
///
/// let Received::Set(received, id) = received else { panic!("it fits into one chunk") };
/// assert_eq!((received, id.base_number), (set, 0));
/// assert_eq!(receiver.number(), 4);
/// # Ok::<(), distribution::ChangeError>(())
/// ```
#[derive(Debug, Default)]
pub struct RouteReceiver {
    in_force: Fingerprint,
    /// The last change could not be applied to the set in force.
    needs_complete_set: bool,
    assembly: Assembly,
}

impl RouteReceiver {
    /// Creates the receiver of a gateway at which `set` is in force.
    pub fn of(set: &RouteSet) -> Self {
        RouteReceiver { in_force: Fingerprint::of(set), ..RouteReceiver::default() }
    }

    /// Returns the number of the set in force; 0 without one.
    pub fn number(&self) -> u64 {
        self.in_force.number()
    }

    /// Returns the change that is received and the bytes of it that are there; `None` before
    /// its first chunk.
    pub fn progress(&self) -> Option<(RouteChangeId, u64)> {
        self.assembly.progress()
    }

    /// Returns the request for the next chunk.
    pub fn next_request(&self) -> FetchRoutesRequest {
        let base_number = if self.needs_complete_set { 0 } else { self.number() };
        let (change, offset) = self.progress().unzip();
        let offset = offset.unwrap_or(0);
        FetchRoutesRequest { base_number, change, offset, served_number: self.number() }
    }

    /// Processes the reply to the last request. `in_force` is the set in force; a set that is
    /// returned is newer and replaces it. Chunks that were received before a lost reply are
    /// kept.
    ///
    /// # Errors
    ///
    /// After an error, the next request is for the first chunk: of a complete set, unless the
    /// one that was sent is not newer.
    pub fn receive(
        &mut self,
        reply: FetchRoutesReply,
        in_force: &RouteSet,
    ) -> Result<Received, ChangeError> {
        let Some(id) = reply.change else { return Ok(Received::NothingNewer) };
        if let Err(error) = self.require_newer(id.number) {
            self.assembly = Assembly::default();
            return Err(error);
        }
        let received = self.try_receive(reply, in_force);
        self.needs_complete_set |= received.is_err();
        received
    }

    fn require_newer(&self, number: u64) -> Result<(), ChangeError> {
        if number > self.number() { Ok(()) } else { Err(ChangeError::NotNewer) }
    }

    fn try_receive(
        &mut self,
        reply: FetchRoutesReply,
        in_force: &RouteSet,
    ) -> Result<Received, ChangeError> {
        let Some((id, change)) = self.assembly.add(reply)? else { return Ok(Received::Chunk) };
        let (set, fingerprint) = self.apply(id, change, in_force)?;
        // The number that the first chunk named is not covered by the digest.
        self.require_newer(set.number)?;
        self.in_force = fingerprint;
        self.needs_complete_set = false;
        Ok(Received::Set(set, id))
    }

    fn apply(
        &self,
        id: RouteChangeId,
        change: RouteSetChange,
        in_force: &RouteSet,
    ) -> Result<(RouteSet, Fingerprint), ChangeError> {
        match id.base_number {
            0 => apply_change(&RouteSet::default(), &Fingerprint::default(), change),
            base if base == self.number() => apply_change(in_force, &self.in_force, change),
            _ => Err(ChangeError::WrongBase),
        }
    }
}
