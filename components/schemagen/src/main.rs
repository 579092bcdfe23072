//! Generates `components/schema/src/generated` from `components/schema/proto`.
//!
//! Run it from the root of the repository after each change of a `.proto`
//! file and commit what it writes: the build itself needs no generator.

use std::error::Error;
use std::path::Path;

use prost::Message as _;

const PROTO_DIR: &str = "components/schema/proto";
const OUT_DIR: &str = "components/schema/src/generated";
const FILES: [&str; 6] = [
    "objects.proto",
    "routes.proto",
    "settings.proto",
    "consensus.proto",
    "state.proto",
    "rpc.proto",
];

/// Messages that people read or write as JSON; the others have no JSON face.
const JSON_MESSAGES: [&str; 14] = [
    "ObjectSet",
    "EntrySettings",
    "ControlSettings",
    "OperatorSettings",
    "GatewaySettings",
    "StatusReply",
    "EntryStatus",
    "EntryMember",
    "PublishOutcome",
    "AnnounceRequest",
    "AnnounceReply",
    "Configuration",
    "Replica",
    "GetSetReply",
];
const JSON_PARTS: [&str; 21] = [
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
    "PeerSecurity",
    "ControlTimers",
    "ControlLimits",
    "TlsSettings",
    "TelemetrySettings",
    "EngineLoad",
    "UpstreamKind",
];

fn main() -> Result<(), Box<dyn Error>> {
    let files = FILES.map(|file| Path::new(PROTO_DIR).join(file));
    let descriptors = protox::compile(&files, [PROTO_DIR])?;
    let encoded = descriptors.encode_to_vec();
    std::fs::create_dir_all(OUT_DIR)?;
    prost_build::Config::new()
        .out_dir(OUT_DIR)
        .bytes([".shallottray.v1"])
        .compile_fds(descriptors)?;
    pbjson_build::Builder::new()
        .register_descriptors(&encoded)?
        .preserve_proto_field_names()
        .out_dir(OUT_DIR)
        .build(&json_prefixes())?;
    Ok(())
}

fn json_prefixes() -> Vec<String> {
    JSON_MESSAGES
        .iter()
        .chain(&JSON_PARTS)
        .map(|message| format!(".shallottray.v1.{message}"))
        .collect()
}
