//! Hosts, path prefixes and keys that no request can have.

use crate::finding::FindingKind;

/// Characters besides letters and digits that the host of a request may have.
const HOST_PUNCTUATION: &str = "-._~%!$&'()+,;=:[]";

/// Returns why no request has this host.
pub(crate) fn check_host(host: &str) -> Option<FindingKind> {
    if host.is_empty() {
        return Some(FindingKind::EmptyHost);
    }
    if host.contains('*') {
        return Some(FindingKind::WildcardHost);
    }
    let is_possible = |c: char| c.is_ascii_alphanumeric() || HOST_PUNCTUATION.contains(c);
    host.chars().find(|c| !is_possible(*c)).map(FindingKind::ImpossibleHost)
}

/// Returns why the path of no request begins with this prefix.
pub(crate) fn check_path_prefix(prefix: &str) -> Option<FindingKind> {
    let is_impossible = |c: &char| *c <= ' ' || matches!(c, '?' | '#' | '<' | '>' | '`');
    prefix.chars().find(is_impossible).map(FindingKind::ImpossiblePath)
}

/// Returns whether a header can have this value, from which surrounding spaces are removed.
pub(crate) fn is_header_value(value: &str) -> bool {
    let is_text = |c: char| c == ' ' || c == '\t' || c.is_ascii_graphic();
    value.chars().all(is_text) && value.trim_matches([' ', '\t']) == value
}
