//! Names of the simulated entries, engines, workspaces and services.

use compact_str::{CompactString, format_compact};

use super::mix::RequestKind;

const SERVICES: [&str; 2] = ["quick-llm", "long-llm"];

pub(super) fn vm_name(entry: usize) -> CompactString {
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

pub(super) fn data_centre_name(index: usize) -> CompactString {
    format_compact!("dc-{}", index % 3)
}

pub(super) fn workspace_name(index: usize) -> CompactString {
    format_compact!("workspace-{index}")
}

pub(super) fn service_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Quick => SERVICES[0],
        RequestKind::Long => SERVICES[1],
    }
}
