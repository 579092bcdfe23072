//! Stop message of the actors.

use actix::Message;

/// Stops an actor.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Stop;
