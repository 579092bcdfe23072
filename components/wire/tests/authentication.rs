//! Who may connect to whom.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use credentials::{Identity, Role, TlsConfigs, create_authority, issue};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use schema::{Empty, Reply, Request, StatusRequest, TlsSettings, reply, request};
use wire::{CallError, Endpoint, Handler};

const LIMIT: Duration = Duration::from_secs(5);

struct Echo;

impl Handler for Echo {
    fn handle(&self, peer: Identity, _: Request) -> BoxFuture<'static, Reply> {
        assert_eq!(peer.role, Role::Entry);
        async { Reply { body: Some(reply::Body::Empty(Empty {})) } }.boxed()
    }
}

fn tls(folder: &Path, role: Role, name: &str) -> TlsConfigs {
    let identity = Identity { role, name: name.parse().expect("a valid name") };
    let (certificate, key) = issue(folder, &identity, folder).expect("a new certificate");
    let settings = TlsSettings {
        ca_path: folder.join(credentials::CA_CERTIFICATE_FILE).display().to_string(),
        certificate_path: certificate.display().to_string(),
        key_path: key.display().to_string(),
    };
    TlsConfigs::load(&settings, wire::PROTOCOL).expect("valid certificates")
}

fn authority() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    create_authority(folder.path(), "test").expect("a new CA");
    folder
}

fn bind(tls: &TlsConfigs) -> Endpoint {
    Endpoint::bind(SocketAddr::from(([127, 0, 0, 1], 0)), tls).expect("a free port")
}

fn serve(endpoint: &Endpoint) -> SocketAddr {
    let serving = endpoint.clone();
    actix_rt::spawn(async move { serving.serve(Echo).await });
    endpoint.local_address().expect("a bound address")
}

fn status() -> Request {
    let body = Some(request::Body::Status(StatusRequest {}));
    Request { traceparent: String::new(), body }
}

#[actix_rt::test]
async fn a_process_of_the_deployment_is_served() {
    let ca = authority();
    let server = bind(&tls(ca.path(), Role::Control, "c-1"));
    let client = bind(&tls(ca.path(), Role::Entry, "e-1"));
    let address = serve(&server);

    let reply = client.link(address, Role::Control).call(status(), LIMIT).await;

    assert!(matches!(reply, Ok(reply::Body::Empty(_))), "{reply:?}");
}

#[actix_rt::test]
async fn a_server_of_another_role_is_refused() {
    let ca = authority();
    let server = bind(&tls(ca.path(), Role::Entry, "e-2"));
    let client = bind(&tls(ca.path(), Role::Entry, "e-1"));
    let address = serve(&server);

    let reply = client.link(address, Role::Control).call(status(), LIMIT).await;

    assert!(matches!(reply, Err(CallError::Connect(_))), "{reply:?}");
}

#[actix_rt::test]
async fn a_client_of_another_deployment_is_refused() {
    let (ca, other) = (authority(), authority());
    let server = bind(&tls(ca.path(), Role::Control, "c-1"));
    let mut stranger = tls(other.path(), Role::Entry, "e-1");
    // It trusts the server, so that only its own certificate is at fault.
    stranger.client = strangers_client(ca.path(), other.path());
    let client = bind(&stranger);
    let address = serve(&server);

    let reply = client.link(address, Role::Control).call(status(), LIMIT).await;

    assert!(reply.is_err(), "{reply:?}");
}

#[actix_rt::test]
async fn a_lost_connection_is_opened_again() {
    let ca = authority();
    let certificate = tls(ca.path(), Role::Control, "c-1");
    let server = bind(&certificate);
    let client = bind(&tls(ca.path(), Role::Entry, "e-1"));
    let address = serve(&server);
    let link = client.link(address, Role::Control);
    link.call(status(), LIMIT).await.expect("the first connection works");

    server.close();
    drop(server);
    let mut restarted = None;
    for _ in 0..100 {
        match Endpoint::bind(address, &certificate) {
            Ok(endpoint) => {
                restarted = Some(endpoint);
                break;
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    serve(&restarted.expect("the address comes free"));
    let mut reply = link.call(status(), LIMIT).await;
    for _ in 0..20 {
        if reply.is_ok() {
            break;
        }
        reply = link.call(status(), LIMIT).await;
    }

    assert!(reply.is_ok(), "{reply:?}");
}

fn strangers_client(trusted: &Path, own: &Path) -> std::sync::Arc<rustls::ClientConfig> {
    let settings = TlsSettings {
        ca_path: trusted.join(credentials::CA_CERTIFICATE_FILE).display().to_string(),
        certificate_path: own.join("entry-e-1.pem").display().to_string(),
        key_path: own.join("entry-e-1.key").display().to_string(),
    };
    TlsConfigs::load(&settings, wire::PROTOCOL).expect("valid certificates").client
}
