//! `POST /v1/upstreams`: announcements of upstreams.

use actix_web::{HttpRequest, HttpResponse, web};
use schema::{AnnounceReply, AnnounceRequest, UpstreamKind};
use units::Name;
use verdict::{Code, Failure};

use super::auth::bearer_token;
use super::body;
use super::failure::{CallerError, invalid};
use crate::broker::AnnounceUpstream;
use crate::shared::Shared;

/// Registers an upstream, or renews its lease.
pub(crate) async fn announce(
    http: HttpRequest,
    payload: web::Payload,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, CallerError> {
    authenticate(&shared, &http)?;
    let bytes = body::read(&shared, payload).await?;
    let announce: AnnounceRequest =
        serde_json::from_slice(&bytes).map_err(|error| invalid(format!("body: {error}")))?;
    check(&announce)?;
    let stopping = |_| Failure::not_run(Code::Unavailable, "the entry is stopping");
    let outcome = shared.broker.send(AnnounceUpstream(announce)).await.map_err(stopping)??;
    let reply = AnnounceReply {
        lease_ms: outcome.lease_ms,
        owner_http_address: outcome.owner_http_address.to_string(),
    };
    Ok(HttpResponse::Ok().json(reply))
}

fn authenticate(shared: &Shared, http: &HttpRequest) -> Result<(), Failure> {
    let token = bearer_token(http).unwrap_or_default();
    let hash = objects::hash_secret(token);
    if shared.config.upstream_token_sha256.contains(&hash) {
        return Ok(());
    }
    log::warn!("announcement refused: unknown upstream token");
    let message = "send the upstream token as `Authorization: Bearer TOKEN`";
    Err(Failure::not_run(Code::Unauthenticated, message))
}

fn check(announce: &AnnounceRequest) -> Result<(), CallerError> {
    announce.upstream.parse::<Name>().map_err(|e| invalid(format!("upstream: {e}")))?;
    announce
        .address
        .parse::<std::net::SocketAddr>()
        .map_err(|_| invalid(format!("address: `{}` is no IP:PORT", announce.address)))?;
    if announce.kind() == UpstreamKind::Unspecified {
        return Err(invalid("kind: must be UPSTREAM_KIND_ENGINE or UPSTREAM_KIND_PLAIN"));
    }
    if announce.serves.is_empty() {
        return Err(invalid("serves: must name what the upstream serves"));
    }
    let load = announce.load.unwrap_or_default();
    if announce.kind() == UpstreamKind::Engine && (load.cache_tokens == 0 || load.max_running == 0)
    {
        return Err(invalid("load: an engine must report cache_tokens and max_running"));
    }
    Ok(())
}
