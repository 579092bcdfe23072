//! Translates calls to and from the messages between gateways.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, response,
};
use lineage::Origin;
use schema::{
    BegunStream, EngineAddress, ForwardRequest, ForwardedHead, ForwardedHeader, StreamOrigin,
};
use tokio::time::Instant;

use crate::accept::{Call, CallParts};
use crate::attempts::Attempts;
use crate::reservation::Requirements;
use crate::shared::Shared;
use crate::state::BufferUse;
use crate::target::Target;

/// Why a message is no call that can be served.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum InvalidCall {
    /// the message names no route or no service
    Incomplete,
    /// the method, the path or a header is malformed
    Malformed,
    /// there is no memory for the body
    NoMemory,
}

/// Stream that has begun, and the engine that still runs it if it may not run again.
#[derive(Clone, Debug)]
pub(crate) struct Begun {
    pub(crate) last_event_id: Option<u64>,
    pub(crate) events: u64,
    pub(crate) source: Option<Target>,
}

/// Returns the message for a call of which some attempts were made.
pub(super) fn to_request(
    call: &Call,
    attempts: &Attempts,
    begun: Option<(&Begun, &Origin)>,
) -> ForwardRequest {
    let now = Instant::now();
    let left = |at: Instant| to_ms(at.saturating_duration_since(now));
    let origin = begun.map(|(_, origin)| origin).or(call.origin.as_ref());
    ForwardRequest {
        method: call.method.to_string(),
        target: call.uri.to_string(),
        headers: to_messages(&call.headers),
        body: call.body.clone(),
        route: Some(call.route.clone()),
        service: Some(schema::RoutedService {
            name: call.requirements.service.to_string(),
            engine: call.requirements.engine,
            ..schema::RoutedService::default()
        }),
        workspace: call.workspace.as_ref().map(ToString::to_string),
        workspace_rank: call.ranks.0,
        route_rank: call.ranks.1,
        engine_rank: call.engine_rank,
        age_ms: to_ms(call.arrived.elapsed()),
        timeout_ms: left(call.until),
        due_ms: left(call.first_event_due),
        runs: attempts.runs,
        sends: attempts.sends,
        origin: origin.map(|origin| StreamOrigin {
            service: origin.service.to_string(),
            version: origin.version.to_string(),
        }),
        begun: begun.map(|(begun, _)| BegunStream {
            last_event_id: begun.last_event_id,
            events: begun.events,
            source: begun.source.as_ref().map(|source| EngineAddress {
                id: source.id.to_string(),
                born_ms: source.born_ms,
                address: source.address.to_string(),
            }),
        }),
        excluded: attempts.reached.iter().map(ToString::to_string).collect(),
        takes_back: true,
    }
}

/// Returns the call in a message, and the stream if it has begun.
pub(super) fn to_call(
    shared: &Shared,
    traceparent: &str,
    message: ForwardRequest,
) -> Result<(Call, Option<Begun>), InvalidCall> {
    let route = message.route.ok_or(InvalidCall::Incomplete)?;
    let service = message.service.ok_or(InvalidCall::Incomplete)?;
    let uri: Uri = message.target.parse().map_err(|_| InvalidCall::Malformed)?;
    let mut request = Request::new(());
    *request.method_mut() =
        Method::from_bytes(message.method.as_bytes()).map_err(|_| InvalidCall::Malformed)?;
    *request.uri_mut() = uri;
    *request.headers_mut() = to_headers(&message.headers).ok_or(InvalidCall::Malformed)?;
    let head = request.into_parts().0;
    let request_head = shared.dialect.parse_request(&head).map_err(|_| InvalidCall::Malformed)?;
    let mut body_memory = shared.buffers.reserve(BufferUse::RequestBody);
    if !body_memory.grow_to(message.body.len() as u64) {
        return Err(InvalidCall::NoMemory);
    }
    let origin = message
        .origin
        .map(|origin| Origin { service: origin.service.into(), version: origin.version.into() });
    let begun = message.begun.map(|begun| to_begun(begun, origin.as_ref())).transpose()?;
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let age = Duration::from_millis(message.age_ms);
    let call = Call::new(
        shared,
        CallParts {
            requirements: Requirements::new(
                &service.name,
                service.engine,
                request_head.token_counts,
            ),
            request_head,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: message.body,
            body_memory,
            route,
            workspace: message.workspace.map(Into::into),
            ranks: (message.workspace_rank, message.route_rank),
            engine_rank: message.engine_rank,
            origin,
            arrived: now.checked_sub(age).unwrap_or(now),
            first_event_due: after(message.due_ms),
            until: after(message.timeout_ms),
            traceparent,
            from_peer: true,
        },
    );
    Ok((call, begun))
}

fn to_begun(begun: BegunStream, origin: Option<&Origin>) -> Result<Begun, InvalidCall> {
    let origin = origin.ok_or(InvalidCall::Incomplete)?;
    let to_target = |source: EngineAddress| {
        let address: SocketAddr = source.address.parse().map_err(|_| InvalidCall::Malformed)?;
        let (id, born_ms) = (source.id.into(), source.born_ms);
        Ok(Target { id, origin: origin.clone(), address, born_ms })
    };
    Ok(Begun {
        last_event_id: begun.last_event_id,
        events: begun.events,
        source: begun.source.map(to_target).transpose()?,
    })
}

pub(super) fn to_messages(headers: &HeaderMap) -> Vec<ForwardedHeader> {
    let headers = headers.iter();
    let headers = headers.map(|(name, value)| ForwardedHeader {
        name: name.to_string(),
        value: value.as_bytes().to_vec().into(),
    });
    headers.collect()
}

/// Returns the head in a message; `None` if it is malformed.
pub(super) fn to_head(message: &ForwardedHead) -> Option<response::Parts> {
    let mut response = Response::new(());
    let status = u16::try_from(message.status).ok().filter(|status| verdict::is_answer(*status))?;
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    *response.headers_mut() = to_headers(&message.headers)?;
    Some(response.into_parts().0)
}

fn to_headers(messages: &[ForwardedHeader]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(messages.len());
    for message in messages {
        let name = HeaderName::from_bytes(message.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&message.value).ok()?);
    }
    Some(headers)
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
