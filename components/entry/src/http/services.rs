//! `/services/{service}/{path}`: calls to plain (non-generation) services.

use std::time::Duration;

use actix_web::http::Method;
use actix_web::http::header::{ACCEPT, CONTENT_TYPE};
use actix_web::{HttpRequest, HttpResponse, web};
use awc::Client;
use bytes::Bytes;
use compact_str::CompactString;
use objects::Catalog;
use schema::service::Backend;
use schema::{Header, Plain, RecordKey, Route, StoredAnswer};
use smallvec::SmallVec;
use telemetry::Span;
use verdict::{Code, Failure, RequestError, Verdict};

use super::auth::{Caller, authenticate};
use super::body;
use super::chat::{header_or_empty, to_response};
use super::failure::{CallerError, invalid};
use crate::broker::{ChoosePlainUpstream, EndPlainCall, SpendRetryBudget};
use crate::http_client;
use crate::records::{self, Execution};
use crate::shared::Shared;

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const WORKSPACE_HEADER: &str = "x-shallottray-workspace";
const MAX_KEY_BYTES: usize = 255;
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum upstreams tried for one call.
const MAX_ATTEMPTS: usize = 3;
/// Added to the call's timeout when a request waits for the first run under its
/// key.
const RECORD_WAIT_MARGIN: Duration = Duration::from_secs(5);

/// HTTP client for plain services; not shared between threads.
#[derive(Clone)]
pub(crate) struct PlainClient {
    client: Client,
}

impl PlainClient {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        PlainClient { client: http_client::new_client(connect_timeout) }
    }
}

/// Call to a plain service.
#[derive(Clone)]
struct PlainCall {
    shared: Shared,
    client: PlainClient,
    service: CompactString,
    workspace: CompactString,
    method: Method,
    /// Path and query, relative to the service.
    target: String,
    headers: SmallVec<[(&'static str, String); 4]>,
    body: Bytes,
    timeout: Duration,
}

/// Relays a call to a plain service.
pub(crate) async fn call(
    http: HttpRequest,
    path: web::Path<(String, String)>,
    payload: web::Payload,
    shared: web::Data<Shared>,
    client: web::Data<PlainClient>,
) -> Result<HttpResponse, CallerError> {
    let span = shared
        .spans
        .start_server_span("entry.service", &header_or_empty(http.headers(), "traceparent"));
    let (service, path) = path.into_inner();
    let result = dispatch(&http, &service, &path, payload, &shared, &client, span).await;
    let outcome = match &result {
        Ok(_) => Verdict::Ran.to_string(),
        Err(CallerError(failure)) => failure.code.to_string(),
    };
    shared.metrics.requests.with_label_values(&["plain", outcome.as_str()]).inc();
    result
}

async fn dispatch(
    http: &HttpRequest,
    service: &str,
    path: &str,
    payload: web::Payload,
    shared: &Shared,
    client: &PlainClient,
    span: Span,
) -> Result<HttpResponse, CallerError> {
    let caller = authenticate(shared, http)?;
    let path = format!("/{path}");
    let (plain, route) = find_route(&caller, service, http.method(), &path)?;
    let body = body::read(shared, payload).await?;
    let key = idempotency_key(http, &route, &body)?;
    let target = match http.query_string() {
        "" => path,
        query => format!("{path}?{query}"),
    };
    let call = PlainCall {
        shared: shared.clone(),
        client: client.clone(),
        service: service.into(),
        workspace: caller.workspace.name.as_str().into(),
        method: http.method().clone(),
        target,
        headers: forwarded_headers(http, key.as_deref()),
        body,
        timeout: Duration::from_millis(plain.timeout_ms),
    };
    let guard = shared.in_flight.enter();
    // The task outlives the caller's connection, so that the outcome of a call
    // that was begun is recorded.
    let task = actix_rt::spawn(async move {
        let answer = match key {
            Some(key) if !route.repeatable => call.run_at_most_once(key, &span).await,
            _ if route.repeatable => call.run_repeatable(&span).await,
            _ => call.run_once(&span).await.into_result(),
        };
        drop(guard);
        answer
    });
    match task.await {
        Ok(answer) => Ok(to_response(&answer?)),
        Err(error) => Err(Failure::may_have_run(Code::Internal, error.to_string()).into()),
    }
}

fn find_route(
    caller: &Caller,
    service: &str,
    method: &Method,
    path: &str,
) -> Result<(Plain, Route), Failure> {
    let not_found = |message: String| Failure::not_run(Code::NotFound, message);
    let found = caller.catalog.service_for(&caller.workspace, service);
    let backend = found.and_then(|service| service.backend.as_ref());
    let Some(Backend::Plain(plain)) = backend else {
        return Err(not_found(format!("there is no service `{service}` for this workspace")));
    };
    let route = Catalog::match_route(plain, method.as_str(), path)
        .ok_or_else(|| not_found(format!("`{service}` has no route for {method} {path}")))?;
    Ok((plain.clone(), route.clone()))
}

/// Returns the idempotency key of a call, from the header or else from the
/// body fields that the route names.
fn idempotency_key(
    http: &HttpRequest,
    route: &Route,
    body: &[u8],
) -> Result<Option<String>, CallerError> {
    let key = header_or_empty(http.headers(), IDEMPOTENCY_KEY);
    if key.len() > MAX_KEY_BYTES {
        return Err(invalid(format!("Idempotency-Key: is longer than {MAX_KEY_BYTES} bytes")));
    }
    if !key.is_empty() {
        return Ok(Some(format!("header:{key}")));
    }
    if let Some(key) = key_from_body(route, body)? {
        return Ok(Some(key));
    }
    if route.key_required {
        let message = "this call needs an Idempotency-Key header";
        return Err(Failure::not_run(Code::KeyRequired, message).into());
    }
    Ok(None)
}

fn key_from_body(route: &Route, body: &[u8]) -> Result<Option<String>, CallerError> {
    if route.key_fields.is_empty() {
        return Ok(None);
    }
    let json: serde_json::Value =
        serde_json::from_slice(body).map_err(|error| invalid(format!("body: {error}")))?;
    let mut values = Vec::new();
    for pointer in &route.key_fields {
        let value = json.pointer(pointer).ok_or_else(|| {
            let message = format!("body: the field {pointer} is needed to tell calls apart");
            invalid(message)
        })?;
        values.push(value.clone());
    }
    let values = serde_json::Value::Array(values).to_string();
    let hash = records::fingerprint(&route.method, &route.path_prefix, values.as_bytes());
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(Some(format!("fields:{hex}")))
}

fn forwarded_headers(
    http: &HttpRequest,
    key: Option<&str>,
) -> SmallVec<[(&'static str, String); 4]> {
    let mut headers = SmallVec::new();
    for (name, id) in [("content-type", CONTENT_TYPE), ("accept", ACCEPT)] {
        let value = header_or_empty(http.headers(), id.as_str());
        if !value.is_empty() {
            headers.push((name, value));
        }
    }
    if let Some(key) = key {
        let caller_key = key.strip_prefix("header:").unwrap_or(key);
        headers.push((IDEMPOTENCY_KEY, caller_key.to_string()));
    }
    headers
}

impl Execution {
    fn into_result(self) -> Result<StoredAnswer, Failure> {
        match self {
            Execution::Answered(answer) => Ok(answer),
            Execution::NotRun(failure) | Execution::Unknown(failure) => Err(failure),
        }
    }
}

impl PlainCall {
    async fn run_at_most_once(self, key: String, span: &Span) -> Result<StoredAnswer, Failure> {
        let record = records::AtMostOnceCall {
            shared: self.shared.clone(),
            key: RecordKey {
                workspace: self.workspace.to_string(),
                service: self.service.to_string(),
                key,
            },
            fingerprint: records::fingerprint(self.method.as_str(), &self.target, &self.body),
            max_wait: self.timeout + RECORD_WAIT_MARGIN,
        };
        record.run(span, || self.run_once(span)).await
    }

    /// Sends the call to one upstream; tries another one only if nothing was sent.
    async fn run_once(&self, span: &Span) -> Execution {
        let mut excluded_upstreams = SmallVec::new();
        loop {
            let execution = self.try_one_upstream(&mut excluded_upstreams, span).await;
            let Execution::NotRun(failure) = execution else { return execution };
            let exhausted =
                excluded_upstreams.len() >= MAX_ATTEMPTS || failure.code == Code::NoUpstream;
            if exhausted || !self.may_retry("connect").await {
                return Execution::NotRun(failure);
            }
        }
    }

    /// Sends the call to one upstream after another until one responds, the
    /// attempts are used up or the retry budget is empty; it may run more than
    /// once.
    async fn run_repeatable(&self, span: &Span) -> Result<StoredAnswer, Failure> {
        let mut excluded_upstreams = SmallVec::new();
        let mut error = RequestError::default();
        loop {
            let failure = match self.try_one_upstream(&mut excluded_upstreams, span).await {
                Execution::Answered(answer) => return Ok(answer),
                Execution::NotRun(failure) | Execution::Unknown(failure) => failure,
            };
            let exhausted =
                excluded_upstreams.len() >= MAX_ATTEMPTS || failure.code == Code::NoUpstream;
            error.record(failure.verdict, failure.clone());
            if exhausted || !self.may_retry("repeatable").await {
                return Err(error.take().unwrap_or(failure));
            }
        }
    }

    async fn may_retry(&self, reason: &'static str) -> bool {
        let spend = SpendRetryBudget { service: self.service.clone(), reason };
        self.shared.broker.send(spend).await.unwrap_or(false)
    }

    async fn try_one_upstream(
        &self,
        excluded_upstreams: &mut SmallVec<[CompactString; 2]>,
        span: &Span,
    ) -> Execution {
        let message = ChoosePlainUpstream {
            service: self.service.clone(),
            excluded_upstreams: excluded_upstreams.clone(),
        };
        let chosen = match self.shared.broker.send(message).await {
            Ok(Ok(chosen)) => chosen,
            Ok(Err(failure)) => return Execution::NotRun(failure),
            Err(_) => {
                let failure = Failure::not_run(Code::Unavailable, "the entry is stopping");
                return Execution::NotRun(failure);
            }
        };
        excluded_upstreams.push(chosen.upstream.clone());
        let span = self.shared.spans.start_client_span("upstream.service", span);
        span.set_attribute("upstream", chosen.upstream.to_string());
        let execution = self.send(&chosen.address, &span).await;
        self.shared.broker.do_send(EndPlainCall(chosen.upstream));
        execution
    }

    async fn send(&self, address: &str, span: &Span) -> Execution {
        let url = format!("http://{address}{}", self.target);
        let mut request = self
            .client
            .client
            .request(self.method.clone(), url)
            .force_close()
            .timeout(self.timeout)
            .insert_header((WORKSPACE_HEADER, self.workspace.as_str()))
            .insert_header(("traceparent", span.traceparent()));
        for (name, value) in &self.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let mut response = match request.send_body(self.body.clone()).await {
            Ok(response) => response,
            Err(error) if http_client::is_unsent(&error) => {
                let message = format!("cannot connect to the upstream: {error}");
                return Execution::NotRun(Failure::not_run(Code::UpstreamFailed, message));
            }
            Err(error) => return response_lost(&error),
        };
        let status = response.status().as_u16();
        if !verdict::is_answer(status) {
            log::warn!(service = self.service.as_str(), address, status; "upstream sent no answer in the protocol");
            return response_lost(&format_args!("the status {status} is no answer"));
        }
        let content_type = response.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let headers = content_type
            .map(|value| Header { name: "content-type".to_string(), value: value.to_string() });
        let headers = headers.into_iter().collect();
        let status = u32::from(status);
        match response.body().limit(MAX_RESPONSE_BYTES).await {
            Ok(body) => {
                Execution::Answered(StoredAnswer { status, headers, body, truncated: false })
            }
            Err(error) => response_lost(&error),
        }
    }
}

fn response_lost(error: &dyn std::fmt::Display) -> Execution {
    let message = format!("the upstream's answer was lost: {error}");
    Execution::Unknown(Failure::may_have_run(Code::UpstreamFailed, message))
}
