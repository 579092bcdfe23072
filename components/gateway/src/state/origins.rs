//! Streams that began at this gateway.

use std::collections::HashMap;

use lineage::{Origin, OriginLog, Origins, RecordedOrigin, StreamId};
use schema::StreamOrigins;

/// Streams that began at this gateway.
#[derive(Debug, Default)]
pub(crate) struct LocalOrigins {
    origins: Origins,
    log: OriginLog,
}

impl LocalOrigins {
    /// Returns the streams after the one with this number, for a control process.
    pub(crate) fn reports_since(&self, number: u64) -> Vec<StreamOrigins> {
        let mut by_origin: HashMap<&Origin, Vec<u64>> = HashMap::new();
        for (stream, origin) in self.log.since(number) {
            by_origin.entry(origin).or_default().push(stream.0);
        }
        let reports = by_origin.into_iter().map(|(origin, streams)| StreamOrigins {
            service: origin.service.to_string(),
            version: origin.version.to_string(),
            streams,
        });
        reports.collect()
    }

    /// Records that a stream began at an upstream of this origin.
    pub(crate) fn record_begun(&mut self, stream: StreamId, origin: &Origin, now_ms: u64) {
        self.origins.record_begun(stream, origin, now_ms);
        self.log.record(stream, origin.clone(), now_ms);
    }

    /// Returns what is recorded about a stream here.
    pub(crate) fn find(&self, stream: StreamId) -> RecordedOrigin {
        self.origins.find(stream)
    }

    /// Returns the number of the last stream that began.
    pub(crate) fn last_number(&self) -> u64 {
        self.log.last_number()
    }
}
