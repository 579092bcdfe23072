//! Ends of upstreams, which the control group records before they are acknowledged.
//!
//! Announcements are kept in memory only, as upstreams repeat them. An end is the last one: if
//! all processes restart, an announcement from before it that arrives late would make the
//! upstream ready again.

use std::time::Duration;

use actix::{Addr, Context, Handler, Message, ResponseFuture};
use displaydoc::Display;
use registry::TOMBSTONE_RETENTION_MS;
use schema::{EndUpstream, UpstreamPhase, UpstreamRecord, reply, request};
use tokio::time::{Instant, sleep, timeout_at};

use super::Replica;
use super::sync::GatewaySyncs;

/// Upstreams announce an end to another control process after a second.
const RECORD_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before an end that was not recorded is proposed again; a new leader is elected within
/// a few of these.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Records the end of the upstream that `announced` it; succeeds once it is durable on a quorum.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<(), NotRecorded>")]
struct RecordEnd {
    announced: UpstreamRecord,
}

/// the control group has not recorded the end: {0}
#[derive(Clone, Debug, Display)]
struct NotRecorded(String);

impl Handler<RecordEnd> for Replica {
    type Result = ResponseFuture<Result<(), NotRecorded>>;

    fn handle(&mut self, message: RecordEnd, _: &mut Context<Self>) -> Self::Result {
        let ended = self.resolve_end(message.announced);
        if self.state.ended_upstreams().covers(&ended) {
            return Box::pin(std::future::ready(Ok(())));
        }
        let (id, phase, born_ms) = (ended.id.clone(), ended.phase(), ended.born_ms);
        let end = EndUpstream { upstream: Some(ended) };
        let recorded = self.request_from_leader(request::Body::EndUpstream(end));
        Box::pin(async move {
            match recorded.await.body {
                Some(reply::Body::Empty(_)) => {
                    log::info!(upstream = id.as_str(), phase = phase.as_str_name(), born_ms; "end of upstream recorded");
                    Ok(())
                }
                Some(reply::Body::Error(error)) => Err(NotRecorded(error.message)),
                _ => Err(NotRecorded("another kind of reply than expected".to_string())),
            }
        })
    }
}

/// Records an end that was announced at `announced_at`, and tries again until the upstream turns to
/// another control process. Returns whether it is durable on a quorum.
pub(super) async fn record_end(
    replica: &Addr<Replica>,
    announced: UpstreamRecord,
    announced_at: Instant,
) -> bool {
    let id = announced.id.clone();
    let record = RecordEnd { announced };
    let mut error = NotRecorded("no reply in time".to_string());
    let recording = async {
        // Fails once the process stops.
        while let Ok(recorded) = replica.send(record.clone()).await {
            match recorded {
                Ok(()) => return true,
                Err(not_recorded) => error = not_recorded,
            }
            sleep(RETRY_PAUSE).await;
        }
        false
    };
    let is_recorded = timeout_at(announced_at + RECORD_TIMEOUT, recording).await.unwrap_or(false);
    if !is_recorded {
        log::warn!(upstream = id.as_str(), error = error.to_string().as_str(); "end of upstream not acknowledged");
    }
    is_recorded
}

impl GatewaySyncs {
    /// Adopts an end that the group recorded at `ended_ms`, unless announcements from before it
    /// are no longer under way.
    pub(super) fn adopt_end(&mut self, ended: &UpstreamRecord, ended_ms: u64, now_ms: u64) {
        if now_ms >= ended_ms + TOMBSTONE_RETENTION_MS {
            return;
        }
        if self.registry.adopt_end(ended, ended_ms) {
            log::info!(upstream = ended.id.as_str(), phase = ended.phase().as_str_name(), born_ms = ended.born_ms; "upstream ended, as the control group has recorded");
        }
    }
}

impl Replica {
    /// Adopts all ends that the state holds.
    pub(super) fn adopt_recorded_ends(&mut self) {
        let now_ms = self.clock.now_ms();
        for (ended, ended_ms) in self.state.ended_upstreams().iter() {
            self.gateway_syncs.adopt_end(ended, ended_ms, now_ms);
        }
    }

    /// Returns the incarnation that has ended: gateways say which one a withdrawal without a
    /// start time has ended.
    fn resolve_end(&self, announced: UpstreamRecord) -> UpstreamRecord {
        let known = self.gateway_syncs.registry.get(&announced.id);
        let is_end = |known: &&UpstreamRecord| {
            matches!(known.phase(), UpstreamPhase::Draining | UpstreamPhase::Gone)
                && (announced.born_ms == 0 || known.born_ms == announced.born_ms)
        };
        let ended = known.filter(is_end).cloned().unwrap_or(announced);
        UpstreamRecord { ends_newest: false, ..ended }
    }
}
