//! Plain upstreams, lookups of engines and retry budgets.

use compact_str::CompactString;
use routing::choose;
use schema::UpstreamKind;
use verdict::{Code, Failure};

use crate::RETRY_AFTER_MS;
use crate::placer::Placer;

/// Plain upstream for one call.
#[derive(Clone, Debug)]
pub struct PlainPlacement {
    /// Name of the upstream.
    pub upstream: CompactString,
    /// Address on which it takes requests.
    pub address: CompactString,
}

impl Placer {
    /// Picks an upstream of a plain service that is not among `exclude`.
    pub fn pick_plain(
        &mut self,
        service: &CompactString,
        exclude: &[CompactString],
        now_ms: u64,
    ) -> Result<PlainPlacement, Failure> {
        let needs = [service.as_str()];
        let candidates = self.directory.candidates(UpstreamKind::Plain, &needs, now_ms);
        let candidates =
            candidates.filter(|known| !exclude.iter().any(|name| *name == known.digest.upstream));
        let data_centre = &self.options.data_centre;
        let choice = choose(candidates, None, data_centre, &mut self.rng).into_iter().next();
        let choice = choice.ok_or_else(|| {
            let message = format!("no upstream serves `{service}` now");
            Failure::not_run(Code::NoUpstream, message).retry_after_ms(RETRY_AFTER_MS)
        })?;
        self.directory.started(&choice.upstream);
        if exclude.is_empty() {
            self.service_queue(service).retries.earn();
        }
        Ok(PlainPlacement { upstream: choice.upstream, address: choice.address })
    }

    /// Ends a call to a plain upstream.
    pub fn end_plain(&mut self, upstream: &str) {
        self.directory.ended(upstream);
    }

    /// Takes one retry from a service's budget, if it allows it.
    pub fn try_retry(&mut self, service: &CompactString) -> bool {
        self.service_queue(service).retries.try_spend()
    }

    /// Returns where an upstream takes requests, whether or not it takes new
    /// work.
    pub fn address_of(&self, upstream: &str) -> Option<CompactString> {
        let known = self.directory.get(upstream)?;
        Some(known.digest.address.as_str().into())
    }
}
