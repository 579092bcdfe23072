//! Validation that collects all problems of a settings file and reports them
//! together.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use jsonc::Document;
use schema::{PeerSecurity, TlsSettings};
use serde::de::DeserializeOwned;

use crate::{PeerTls, SettingsError, SettingsProblem};

pub(crate) struct Checker<'a> {
    document: &'a Document<'a>,
    problems: Vec<SettingsProblem>,
}

impl Checker<'_> {
    pub(crate) fn report(&mut self, field: &str, message: impl Into<String>) {
        let position = self.document.position(&format!("/{}", field.replace('.', "/")));
        let field = field.to_string();
        self.problems.push(SettingsProblem { position, field, message: message.into() });
    }

    /// Parses a text setting; on failure, reports the problem and returns `None`.
    pub(crate) fn parse<T>(&mut self, field: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(field, format!("`{text}`: {error}"));
                None
            }
        }
    }

    pub(crate) fn address(&mut self, field: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.report(field, format!("`{text}` is no address such as 10.0.0.7:7400"));
        }
        address
    }

    pub(crate) fn addresses(&mut self, field: &str, texts: &[String]) -> Vec<SocketAddr> {
        if texts.is_empty() {
            self.report(field, "needs at least one address");
        }
        let indexed = texts.iter().enumerate();
        indexed.filter_map(|(i, text)| self.address(&format!("{field}.{i}"), text)).collect()
    }

    /// Returns how peers are authenticated; mutual TLS is the default.
    pub(crate) fn peer_tls(&mut self, security: i32, tls: Option<TlsSettings>) -> PeerTls {
        match PeerSecurity::try_from(security) {
            Ok(PeerSecurity::Unverified) => PeerTls::Unverified,
            Ok(PeerSecurity::Unspecified | PeerSecurity::MutualTls) | Err(_) => {
                PeerTls::MutualTls(self.tls_files(tls))
            }
        }
    }

    /// Parses seed addresses and replaces their ports by `peer_port`, which must be
    /// from 1 to 65535.
    pub(crate) fn seed_addresses(&mut self, texts: &[String], peer_port: u32) -> Vec<SocketAddr> {
        let Some(port) = u16::try_from(peer_port).ok().filter(|port| *port > 0) else {
            self.report("seed_peer_port", format!("{peer_port} is not from 1 to 65535"));
            return Vec::new();
        };
        let mut seeds = self.addresses("seed_addresses", texts);
        seeds.iter_mut().for_each(|seed| seed.set_port(port));
        seeds
    }

    pub(crate) fn tls_files(&mut self, tls: Option<TlsSettings>) -> TlsSettings {
        let tls = tls.unwrap_or_default();
        let files = [
            ("tls.ca_path", &tls.ca_path),
            ("tls.certificate_path", &tls.certificate_path),
            ("tls.key_path", &tls.key_path),
        ];
        for (field, path) in files {
            if path.is_empty() {
                self.report(field, "is needed; create the file with `shallottray keys`");
            } else if !Path::new(path).is_file() {
                self.report(field, format!("there is no file `{path}`"));
            }
        }
        tls
    }

    /// Returns the default for 0; otherwise checks the range and returns `value`.
    pub(crate) fn number<T>(&mut self, field: &str, value: T, default: T, min: T, max: T) -> T
    where
        T: Copy + Default + PartialOrd + std::fmt::Display,
    {
        if value == T::default() {
            return default;
        }
        if value < min || value > max {
            self.report(field, format!("{value} is not from {min} to {max}"));
        }
        value
    }
}

/// Reads and decodes a settings file, and converts it into validated settings with
/// `check`.
pub(crate) fn load<S: DeserializeOwned, T>(
    path: &Path,
    check: impl FnOnce(S, &mut Checker<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Io(path.to_path_buf(), error))?;
    let syntax = |error| SettingsError::Syntax(path.to_path_buf(), error);
    let document = Document::parse(&text).map_err(syntax)?;
    let settings = document.decode().map_err(syntax)?;
    let mut checker = Checker { document: &document, problems: Vec::new() };
    match check(settings, &mut checker) {
        Some(config) if checker.problems.is_empty() => Ok(config),
        _ => Err(SettingsError::Invalid(path.to_path_buf(), checker.problems)),
    }
}
