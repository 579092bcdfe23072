//! TLS client and server configurations, with and without peer authentication.

use std::path::Path;
use std::sync::Arc;

use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject as _;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{
    ClientConfig, DigitallySignedStruct, DistinguishedName, RootCertStore, ServerConfig,
    SignatureScheme,
};
use schema::TlsSettings;
use x509_parser::prelude::{FromDer as _, GeneralName, X509Certificate};

use crate::{CredentialError, Identity};

/// TLS client and server configurations of one process.
#[derive(Clone, Debug)]
pub struct TlsConfigs {
    /// Configuration for accepted connections.
    pub server: Arc<ServerConfig>,
    /// Configuration for opened connections.
    pub client: Arc<ClientConfig>,
    /// Identity in the process's certificate.
    pub identity: Identity,
}

impl TlsConfigs {
    /// Reads the certificate and key files and creates configurations for mutual
    /// TLS with ALPN `protocol`.
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

impl TlsConfigs {
    /// Creates configurations that present a self-signed certificate and accept any
    /// peer certificate.
    ///
    /// Connections are encrypted but peers are not authenticated: the identity
    /// in a peer's certificate is not verified.
    ///
    /// ```
    /// use credentials::{Identity, Role, TlsConfigs};
    /// let identity = Identity { role: Role::Entry, name: "vm-1".parse()? };
    /// let configs = TlsConfigs::unverified(identity.clone(), b"example/1")?;
    /// assert_eq!(configs.identity, identity);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn unverified(identity: Identity, protocol: &[u8]) -> Result<Self, CredentialError> {
        let (certificate, key) = crate::authority::self_signed(&identity)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = Arc::new(AcceptAnyCertificate { provider: provider.clone() });
        let mut server = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(CredentialError::Tls)?
            .with_client_cert_verifier(verifier.clone())
            .with_single_cert(vec![certificate.clone()], key.clone_key())
            .map_err(CredentialError::Tls)?;
        server.alpn_protocols = vec![protocol.to_vec()];
        let mut client = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(CredentialError::Tls)?
            .dangerous()
            .with_custom_certificate_verifier(verifier)
            .with_client_auth_cert(vec![certificate], key)
            .map_err(CredentialError::Tls)?;
        client.alpn_protocols = vec![protocol.to_vec()];
        Ok(TlsConfigs { server: Arc::new(server), client: Arc::new(client), identity })
    }
}

/// Accepts any certificate, but verifies that the peer holds its private key.
#[derive(Debug)]
struct AcceptAnyCertificate {
    provider: Arc<CryptoProvider>,
}

impl AcceptAnyCertificate {
    fn verify_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("only TLS 1.3 is supported".to_string()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.supported_schemes()
    }
}

impl ClientCertVerifier for AcceptAnyCertificate {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("only TLS 1.3 is supported".to_string()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.supported_schemes()
    }
}

/// Returns the identity in the DNS names of a certificate, without verifying the
/// certificate.
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
