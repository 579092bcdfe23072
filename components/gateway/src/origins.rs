//! Streams that callers take up again: where they began, and so may go on.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use lineage::{Origin, OriginSearch, RecordedOrigin, StreamId};
use schema::{FindOriginRequest, OriginReply, OriginState, Request, StreamOrigins, reply, request};
use tokio::time::{Instant, sleep};
use wire::Link;

use crate::answer::Refusal;
use crate::dialect::RequestHead;
use crate::shared::Shared;
use crate::state::RegistryPosition;

/// Timeout of a look-up at one control process.
const FIND_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a gateway that has just started waits for its connections to the control
/// processes before a stream counts as unknown.
const CONNECT_WAIT: Duration = Duration::from_millis(400);
/// Interval at which it looks for new connections.
const CONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// `Retry-After` of a stream that cannot go on: its caller may begin a new one at once.
pub(crate) const RETRY_AFTER_LOST_STREAM: Duration = Duration::from_millis(50);

/// Returns the origin of the stream that a request takes up again, if it does; refuses it
/// if that is not known.
pub(crate) async fn resolve(
    shared: &Shared,
    caller: &str,
    head: &RequestHead,
) -> Result<Option<Origin>, Refusal> {
    if head.last_event_id.is_none() && head.resumes.is_none() {
        return Ok(None);
    }
    let resumes = head.resumes.as_deref().unwrap_or_default();
    let recorded = find(shared, StreamId::new(caller, resumes)).await;
    let origin = recorded.origin().map(Origin::to_string).unwrap_or_default();
    let state = match &recorded {
        RecordedOrigin::Unknown => "unknown",
        RecordedOrigin::Granted(_) => "granted",
        RecordedOrigin::Begun(_) => "begun",
        RecordedOrigin::Conflicting => "conflicting",
    };
    shared.metrics.taken_up.with_label_values(&[state]).inc();
    log::info!(request = head.id.as_str(), resumes, state, origin = origin.as_str(); "stream taken up again");
    match recorded.origin() {
        Some(origin) => Ok(Some(origin.clone())),
        None => Err(Refusal::unavailable("origin of the stream unknown", RETRY_AFTER_LOST_STREAM)),
    }
}

/// Returns the streams that began here after the one with this number, for a control process.
pub(crate) fn reports_since(shared: &Shared, number: u64) -> Vec<StreamOrigins> {
    let log = shared.origins.borrow();
    let mut by_origin: HashMap<&Origin, Vec<u64>> = HashMap::new();
    for (stream, origin) in log.since(number) {
        by_origin.entry(origin).or_default().push(stream.0);
    }
    let reports = by_origin.into_iter().map(|(origin, streams)| StreamOrigins {
        service: origin.service.to_string(),
        version: origin.version.to_string(),
        streams,
    });
    reports.collect()
}

/// Looks a stream up here and at all control processes. After these, the gateway waits until
/// it knows the upstreams that they knew: it may have been out of step, and take an upstream
/// for one of an earlier software version.
async fn find(shared: &Shared, stream: StreamId) -> RecordedOrigin {
    let recorded = shared.origins.borrow().find(stream);
    if recorded != RecordedOrigin::Unknown {
        return recorded;
    }
    let until = Instant::now() + CONNECT_WAIT;
    let mut search = OriginSearch::default();
    let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut answered: Vec<(SocketAddr, RegistryPosition)> = Vec::new();
    let recorded = loop {
        let links = shared.control_links.borrow().clone();
        let new = links.into_iter().filter(|(address, _)| asked.insert(*address));
        let mut replies: FuturesUnordered<_> =
            new.map(|(address, link)| async move { (address, ask(&link, stream).await) }).collect();
        while let Some((address, reply)) = replies.next().await {
            answered.extend(reply.as_ref().map(|reply| (address, position(reply))));
            search.add(reply.map(to_recorded));
        }
        let all_asked = asked.len() >= shared.control_count.get();
        let recorded = search.conclude(all_asked);
        if recorded != RecordedOrigin::Unknown || all_asked || Instant::now() >= until {
            break recorded;
        }
        sleep(CONNECT_POLL_INTERVAL).await;
    };
    while recorded != RecordedOrigin::Unknown && !shared.has_applied(&answered) {
        if Instant::now() >= until {
            log::warn!(stream = stream.0; "stream not taken up: upstreams not up to date");
            return RecordedOrigin::Unknown;
        }
        sleep(CONNECT_POLL_INTERVAL).await;
    }
    recorded
}

async fn ask(link: &Link, stream: StreamId) -> Option<OriginReply> {
    let body = request::Body::FindOrigin(FindOriginRequest { stream: stream.0 });
    let request = Request { traceparent: String::new(), body: Some(body) };
    match link.call(request, FIND_TIMEOUT).await {
        Ok(reply::Body::Origin(reply)) => Some(reply),
        Ok(_) => None,
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "origin of a stream not found: control process does not reply");
            None
        }
    }
}

fn position(reply: &OriginReply) -> RegistryPosition {
    RegistryPosition { epoch: reply.registry_epoch, version: reply.registry_version }
}

fn to_recorded(reply: OriginReply) -> RecordedOrigin {
    let state = reply.state();
    let origin = Origin { service: reply.service.into(), version: reply.version.into() };
    match state {
        OriginState::Unspecified => RecordedOrigin::Unknown,
        OriginState::Granted => RecordedOrigin::Granted(origin),
        OriginState::Begun => RecordedOrigin::Begun(origin),
        OriginState::Conflicting => RecordedOrigin::Conflicting,
    }
}
