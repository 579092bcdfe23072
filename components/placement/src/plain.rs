//! Placement of plain requests, upstream lookups and retries.

use compact_str::CompactString;
use routing::choose_upstreams;
use schema::UpstreamKind;
use verdict::{Code, Failure};

use crate::RETRY_AFTER_MS;
use crate::placer::Placer;

/// Plain upstream chosen for one request.
#[derive(Clone, Debug)]
pub struct PlainPlacement {
    /// Name of the upstream.
    pub upstream: CompactString,
    /// Address on which it accepts requests.
    pub address: CompactString,
}

impl Placer {
    /// Chooses an upstream of a plain service that is not in `excluded_upstreams`.
    pub fn choose_plain(
        &mut self,
        service: &CompactString,
        excluded_upstreams: &[CompactString],
        now_ms: u64,
    ) -> Result<PlainPlacement, Failure> {
        let required = [service.as_str()];
        let candidates = self.directory.candidates(UpstreamKind::Plain, &required, now_ms);
        let candidates = candidates.filter(|upstream| {
            !excluded_upstreams.iter().any(|name| *name == upstream.digest.upstream)
        });
        let data_centre = &self.options.data_centre;
        let choice =
            choose_upstreams(candidates, None, data_centre, &mut self.rng).into_iter().next();
        let choice = choice.ok_or_else(|| {
            let message = format!("no upstream serves `{service}` now");
            Failure::not_run(Code::NoUpstream, message).retry_after_ms(RETRY_AFTER_MS)
        })?;
        self.directory.request_started(&choice.upstream);
        if excluded_upstreams.is_empty() {
            self.service_queue(service).retry_token_bucket.earn();
        }
        Ok(PlainPlacement { upstream: choice.upstream, address: choice.address })
    }

    /// Records the end of a request to a plain upstream.
    pub fn end_plain(&mut self, upstream: &str) {
        self.directory.request_ended(upstream);
    }

    /// Takes one retry token of a service; returns false if none is left.
    pub fn try_retry(&mut self, service: &CompactString) -> bool {
        self.service_queue(service).retry_token_bucket.try_spend()
    }

    /// Returns the address of an upstream, even if it accepts no new requests.
    pub fn address_of(&self, upstream: &str) -> Option<CompactString> {
        let upstream = self.directory.get(upstream)?;
        Some(upstream.digest.address.as_str().into())
    }
}
