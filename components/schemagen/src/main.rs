//! Generates `components/schema/src/generated` from `components/schema/proto`.
//!
//! Run it from the root of the repository after each change to a `.proto` file
//! and commit the generated code: the build itself does not run the generator.

use std::error::Error;
use std::path::Path;

use prost::Message as _;

const PROTO_DIR: &str = "components/schema/proto";
const OUT_DIR: &str = "components/schema/src/generated";
const PROTO_FILES: [&str; 7] = [
    "objects.proto",
    "routes.proto",
    "forward.proto",
    "settings.proto",
    "consensus.proto",
    "state.proto",
    "rpc.proto",
];

/// Messages that are read or written as JSON. Types that are neither here nor in
/// [`JSON_NESTED_TYPES`] get no serde code.
const JSON_MESSAGES: [&str; 16] = [
    "ObjectSet",
    "EntrySettings",
    "ControlSettings",
    "OperatorSettings",
    "GatewaySettings",
    "StatusReply",
    "EntryStatus",
    "LimitStatus",
    "EntryMember",
    "PublishOutcome",
    "AnnounceRequest",
    "AnnounceReply",
    "Configuration",
    "Replica",
    "GetSetReply",
    "RouteSet",
];
/// Types of the fields of [`JSON_MESSAGES`], direct and indirect.
const JSON_NESTED_TYPES: [&str; 29] = [
    "Priority",
    "Model",
    "Version",
    "Adapter",
    "Service",
    "Generation",
    "Plain",
    "Route",
    "Workspace",
    "Weights",
    "EntryLimits",
    "EntryTimers",
    "GatewayLimits",
    "GatewayTimers",
    "VmSize",
    "PeerSecurity",
    "ControlTimers",
    "ControlLimits",
    "TlsSettings",
    "TelemetrySettings",
    "EngineLoad",
    "UpstreamKind",
    "RouteRule",
    "RepeatKind",
    "WeightedService",
    "RoutedService",
    "EngineCapacity",
    "CallerLimits",
    "RoutedWorkspace",
];

fn main() -> Result<(), Box<dyn Error>> {
    let files = PROTO_FILES.map(|file| Path::new(PROTO_DIR).join(file));
    let descriptors = protox::compile(&files, [PROTO_DIR])?;
    let encoded_descriptors = descriptors.encode_to_vec();
    std::fs::create_dir_all(OUT_DIR)?;
    prost_build::Config::new()
        .out_dir(OUT_DIR)
        .bytes([".shallottray.v1"])
        .compile_fds(descriptors)?;
    pbjson_build::Builder::new()
        .register_descriptors(&encoded_descriptors)?
        .preserve_proto_field_names()
        .out_dir(OUT_DIR)
        .build(&json_prefixes())?;
    Ok(())
}

fn json_prefixes() -> Vec<String> {
    JSON_MESSAGES
        .iter()
        .chain(&JSON_NESTED_TYPES)
        .map(|message| format!(".shallottray.v1.{message}"))
        .collect()
}
