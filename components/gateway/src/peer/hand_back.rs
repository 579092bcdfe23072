//! Streams that the gateway at which they began takes back from the one that relays them.

use std::cell::Cell;

use lineage::Origin;
use schema::{EngineAddress, EntryPhase, StreamOrigin};
use tokio::sync::watch;

use crate::shared::Shared;
use crate::target::Target;

/// Where the generation of a relayed stream runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HandBack {
    pub(crate) source: Target,
    /// Engines that may have run the request.
    pub(crate) runs: u32,
}

impl HandBack {
    pub(super) fn to_message(&self) -> schema::HandBack {
        let Target { id, origin, address, born_ms } = &self.source;
        schema::HandBack {
            source: Some(EngineAddress {
                id: id.to_string(),
                born_ms: *born_ms,
                address: address.to_string(),
            }),
            origin: Some(StreamOrigin {
                service: origin.service.to_string(),
                version: origin.version.to_string(),
            }),
            runs: self.runs,
        }
    }

    /// Returns what a message says; `None` if it is malformed.
    pub(super) fn from_message(message: schema::HandBack) -> Option<Self> {
        let (source, origin) = (message.source?, message.origin?);
        let origin = Origin { service: origin.service.into(), version: origin.version.into() };
        let address = source.address.parse().ok()?;
        let source = Target { id: source.id.into(), origin, address, born_ms: source.born_ms };
        Some(HandBack { source, runs: message.runs })
    }
}

/// What a call's relay could hand back to the gateway that handed on the call.
#[derive(Debug, Default)]
pub(crate) struct HandBackState {
    current: watch::Sender<Option<HandBack>>,
    offered: Cell<bool>,
}

impl HandBackState {
    /// Records where the generation runs; `None` while that is not known.
    pub(crate) fn set(&self, hand_back: Option<HandBack>) {
        self.current.send_replace(hand_back);
    }

    /// Returns whether the other gateway may have taken the stream back.
    pub(crate) fn is_offered(&self) -> bool {
        self.offered.get()
    }

    /// Waits until this gateway stops and there is something to hand back other than what was
    /// `sent`.
    pub(super) async fn next(&self, shared: &Shared, sent: Option<&HandBack>) -> HandBack {
        let mut phase = shared.phase.subscribe();
        // The senders live as long as the call and the gateway.
        let _ = phase.wait_for(|phase| *phase == EntryPhase::Stopping).await;
        let mut current = self.current.subscribe();
        let is_new = |current: &Option<HandBack>| current.is_some() && current.as_ref() != sent;
        let found = current.wait_for(is_new).await.ok().and_then(|current| current.clone());
        match found {
            Some(hand_back) => {
                self.offered.set(true);
                hand_back
            }
            None => std::future::pending().await,
        }
    }
}
