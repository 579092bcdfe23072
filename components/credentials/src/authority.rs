//! Deployment CA and the certificates that it issues.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

use crate::{CredentialError, Identity};

/// Name of the CA certificate's file in the CA folder.
pub const CA_CERTIFICATE_FILE: &str = "ca.pem";
const CA_KEY_FILE: &str = "ca.key";
const KEY_FILE_MODE: u32 = 0o600;
const CERTIFICATE_FILE_MODE: u32 = 0o644;

/// Creates the key and certificate of a deployment CA in `folder`.
///
/// ```
/// let folder = tempfile::tempdir()?;
/// credentials::create_ca(folder.path(), "example")?;
/// assert!(folder.path().join(credentials::CA_CERTIFICATE_FILE).exists());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn create_ca(folder: &Path, deployment: &str) -> Result<(), CredentialError> {
    std::fs::create_dir_all(folder).map_err(CredentialError::io("create", folder))?;
    let key = KeyPair::generate().map_err(CredentialError::Create)?;
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name.push(DnType::CommonName, format!("{deployment} deployment CA"));
    let certificate = params.self_signed(&key).map_err(CredentialError::Create)?;
    write_new_file(&folder.join(CA_KEY_FILE), &key.serialize_pem(), KEY_FILE_MODE)?;
    write_new_file(&folder.join(CA_CERTIFICATE_FILE), &certificate.pem(), CERTIFICATE_FILE_MODE)
}

/// Issues a certificate for `identity` with the CA in `ca_folder`. Writes
/// `<role>-<name>.pem` and `<role>-<name>.key` to `out_folder` and returns their
/// paths.
///
/// ```
/// use credentials::{Identity, Role, create_ca, issue_certificate};
/// let folder = tempfile::tempdir()?;
/// create_ca(folder.path(), "example")?;
/// let identity = Identity { role: Role::Entry, name: "vm-1".parse()? };
/// let (certificate, _key) = issue_certificate(folder.path(), &identity, folder.path())?;
/// assert!(certificate.ends_with("entry-vm-1.pem"));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn issue_certificate(
    ca_folder: &Path,
    identity: &Identity,
    out_folder: &Path,
) -> Result<(PathBuf, PathBuf), CredentialError> {
    let issuer = read_issuer(ca_folder)?;
    let key = KeyPair::generate().map_err(CredentialError::Create)?;
    let names = vec![identity.dns_name(), identity.role.server_name()];
    let mut params = CertificateParams::new(names).map_err(CredentialError::Create)?;
    params.distinguished_name.push(DnType::CommonName, identity.to_string());
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
    let certificate = params.signed_by(&key, &issuer).map_err(CredentialError::Create)?;
    std::fs::create_dir_all(out_folder).map_err(CredentialError::io("create", out_folder))?;
    let stem = format!("{}-{}", identity.role, identity.name);
    let certificate_path = out_folder.join(format!("{stem}.pem"));
    let key_path = out_folder.join(format!("{stem}.key"));
    write_new_file(&key_path, &key.serialize_pem(), KEY_FILE_MODE)?;
    write_new_file(&certificate_path, &certificate.pem(), CERTIFICATE_FILE_MODE)?;
    Ok((certificate_path, key_path))
}

/// Creates a key and a self-signed certificate for `identity`.
pub(crate) fn self_signed(
    identity: &Identity,
) -> Result<(CertificateDer<'static>, PrivateKeyDer<'static>), CredentialError> {
    let key = KeyPair::generate().map_err(CredentialError::Create)?;
    let names = vec![identity.dns_name(), identity.role.server_name()];
    let params = CertificateParams::new(names).map_err(CredentialError::Create)?;
    let certificate = params.self_signed(&key).map_err(CredentialError::Create)?;
    let key = PrivatePkcs8KeyDer::from(key.serialize_der());
    Ok((certificate.into(), key.into()))
}

fn read_issuer(folder: &Path) -> Result<Issuer<'static, KeyPair>, CredentialError> {
    let certificate_path = folder.join(CA_CERTIFICATE_FILE);
    let key_path = folder.join(CA_KEY_FILE);
    let read =
        |path: &Path| std::fs::read_to_string(path).map_err(CredentialError::io("read", path));
    let certificate = read(&certificate_path)?;
    let key = KeyPair::from_pem(&read(&key_path)?)
        .map_err(|error| CredentialError::unusable(&key_path, error))?;
    Issuer::from_ca_cert_pem(&certificate, key)
        .map_err(|error| CredentialError::unusable(&certificate_path, error))
}

fn write_new_file(path: &Path, text: &str, mode: u32) -> Result<(), CredentialError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options.open(path).map_err(|error| match error.kind() {
        std::io::ErrorKind::AlreadyExists => {
            CredentialError::Exists { path: path.display().to_string() }
        }
        _ => CredentialError::io("create", path)(error),
    })?;
    file.write_all(text.as_bytes()).map_err(CredentialError::io("write", path))
}
