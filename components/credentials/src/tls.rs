//! TLS configurations with mutual authentication.

use std::path::Path;
use std::sync::Arc;

use rustls::pki_types::pem::PemObject as _;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use schema::TlsSettings;
use x509_parser::prelude::{FromDer as _, GeneralName, X509Certificate};

use crate::{CredentialError, Identity};

/// TLS configurations of one process.
#[derive(Clone, Debug)]
pub struct TlsConfigs {
    /// For connections that the process accepts.
    pub server: Arc<ServerConfig>,
    /// For connections that the process opens.
    pub client: Arc<ClientConfig>,
    /// Who the process is.
    pub identity: Identity,
}

impl TlsConfigs {
    /// Reads certificates and key, and sets up both directions for `protocol`.
    pub fn load(settings: &TlsSettings, protocol: &[u8]) -> Result<Self, CredentialError> {
        let roots = Arc::new(read_roots(Path::new(&settings.ca_path))?);
        let chain_path = Path::new(&settings.certificate_path);
        let chain = read_certificates(chain_path)?;
        let identity = chain
            .first()
            .and_then(identity_of)
            .ok_or_else(|| CredentialError::unusable(chain_path, CredentialError::NoIdentity))?;
        let key_path = Path::new(&settings.key_path);
        let key = PrivateKeyDer::from_pem_file(key_path)
            .map_err(|error| CredentialError::unusable(key_path, error))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(|error| CredentialError::unusable(Path::new(&settings.ca_path), error))?;
        let mut server = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(CredentialError::Tls)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(CredentialError::Tls)?;
        server.alpn_protocols = vec![protocol.to_vec()];
        let mut client = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(CredentialError::Tls)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(CredentialError::Tls)?;
        client.alpn_protocols = vec![protocol.to_vec()];
        Ok(TlsConfigs { server: Arc::new(server), client: Arc::new(client), identity })
    }
}

/// Returns who a verified certificate belongs to.
pub fn identity_of(certificate: &CertificateDer<'_>) -> Option<Identity> {
    let (_, certificate) = X509Certificate::from_der(certificate).ok()?;
    let names = certificate.subject_alternative_name().ok()??;
    names.value.general_names.iter().find_map(|name| match name {
        GeneralName::DNSName(name) => Identity::from_dns_name(name),
        _ => None,
    })
}

fn read_roots(path: &Path) -> Result<RootCertStore, CredentialError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        roots.add(certificate).map_err(|error| CredentialError::unusable(path, error))?;
    }
    Ok(roots)
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, CredentialError> {
    let certificates = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| CredentialError::unusable(path, error))?;
    if certificates.is_empty() {
        return Err(CredentialError::unusable(path, "no certificate found"));
    }
    Ok(certificates)
}
