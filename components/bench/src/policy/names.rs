//! Names of what a run simulates.

use compact_str::{CompactString, format_compact};

use super::mix::Kind;

const SERVICES: [&str; 2] = ["quick-llm", "long-llm"];

pub(super) fn vm(entry: usize) -> CompactString {
    format_compact!("entry-{entry}")
}

pub(super) fn entry_index(vm: &str) -> usize {
    vm.strip_prefix("entry-").and_then(|number| number.parse().ok()).unwrap_or_default()
}

pub(super) fn engine_name(engine: usize) -> CompactString {
    format_compact!("engine-{engine}")
}

pub(super) fn engine_index(name: &str) -> usize {
    name.strip_prefix("engine-").and_then(|number| number.parse().ok()).unwrap_or_default()
}

pub(super) fn data_centre(index: usize) -> CompactString {
    format_compact!("dc-{}", index % 3)
}

pub(super) fn workspace(index: usize) -> CompactString {
    format_compact!("workspace-{index}")
}

pub(super) fn service_of(kind: Kind) -> &'static str {
    match kind {
        Kind::Quick => SERVICES[0],
        Kind::Long => SERVICES[1],
    }
}
