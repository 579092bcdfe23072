//! Mutual authentication of processes, and reconnection after a server's restart.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use credentials::{Identity, Role, TlsConfigs, create_ca, issue_certificate};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use schema::{Empty, Reply, Request, StatusRequest, TlsSettings, reply, request};
use wire::{CallError, Endpoint, Handler};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

struct EmptyReplies;

impl Handler for EmptyReplies {
    fn handle(&self, peer: Identity, _: Request) -> BoxFuture<'static, Reply> {
        assert_eq!(peer.role, Role::Entry);
        async { Reply { body: Some(reply::Body::Empty(Empty {})) } }.boxed()
    }
}

/// Reads requests of up to 64 bytes from entries, and none from others.
struct SmallRequests;

impl Handler for SmallRequests {
    fn max_request_bytes(&self, peer: &Identity) -> usize {
        if peer.role == Role::Entry { 64 } else { 0 }
    }

    fn handle(&self, _: Identity, _: Request) -> BoxFuture<'static, Reply> {
        async { Reply { body: Some(reply::Body::Empty(Empty {})) } }.boxed()
    }
}

fn issue_tls(folder: &Path, role: Role, name: &str) -> TlsConfigs {
    let identity = Identity { role, name: name.parse().expect("a valid name") };
    let (certificate, key) =
        issue_certificate(folder, &identity, folder).expect("a new certificate");
    let settings = TlsSettings {
        ca_path: folder.join(credentials::CA_CERTIFICATE_FILE).display().to_string(),
        certificate_path: certificate.display().to_string(),
        key_path: key.display().to_string(),
    };
    TlsConfigs::load(&settings, wire::PROTOCOL).expect("valid certificates")
}

fn new_ca() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    create_ca(folder.path(), "test").expect("a new CA");
    folder
}

fn bind(tls: &TlsConfigs) -> Endpoint {
    Endpoint::bind(SocketAddr::from(([127, 0, 0, 1], 0)), tls).expect("a free port")
}

fn serve(endpoint: &Endpoint) -> SocketAddr {
    let server = endpoint.clone();
    actix_rt::spawn(async move { server.serve(EmptyReplies).await });
    endpoint.local_address().expect("a bound address")
}

fn status_request() -> Request {
    let body = Some(request::Body::Status(StatusRequest {}));
    Request { traceparent: String::new(), body }
}

#[actix_rt::test]
async fn process_with_certificate_of_the_deployment_ca_is_served() {
    let ca = new_ca();
    let server = bind(&issue_tls(ca.path(), Role::Control, "c-1"));
    let client = bind(&issue_tls(ca.path(), Role::Entry, "e-1"));
    let address = serve(&server);

    let reply = client.link(address, Role::Control).call(status_request(), CALL_TIMEOUT).await;

    assert!(matches!(reply, Ok(reply::Body::Empty(_))), "{reply:?}");
}

/// Guards against memory that a peer fills which may not send requests, or sends large ones.
#[actix_rt::test]
async fn requests_beyond_the_limit_of_a_peer_are_not_read() {
    let ca = new_ca();
    let server = bind(&issue_tls(ca.path(), Role::Control, "c-1"));
    let address = server.local_address().expect("a bound address");
    let serving = server.clone();
    actix_rt::spawn(async move { serving.serve(SmallRequests).await });
    let entry = bind(&issue_tls(ca.path(), Role::Entry, "e-1"));
    let operator = bind(&issue_tls(ca.path(), Role::Operator, "o-1"));
    let large = Request { traceparent: "0".repeat(100), ..status_request() };

    let small = entry.link(address, Role::Control).call(status_request(), CALL_TIMEOUT).await;
    let large = entry.link(address, Role::Control).call(large, CALL_TIMEOUT).await;
    let other = operator.link(address, Role::Control).call(status_request(), CALL_TIMEOUT).await;

    assert!(matches!(small, Ok(reply::Body::Empty(_))), "{small:?}");
    assert!(matches!(large, Err(CallError::Lost(_))), "{large:?}");
    assert!(matches!(other, Err(CallError::Lost(_))), "{other:?}");
}

#[actix_rt::test]
async fn server_with_unexpected_role_is_rejected() {
    let ca = new_ca();
    let server = bind(&issue_tls(ca.path(), Role::Entry, "e-2"));
    let client = bind(&issue_tls(ca.path(), Role::Entry, "e-1"));
    let address = serve(&server);

    let reply = client.link(address, Role::Control).call(status_request(), CALL_TIMEOUT).await;

    assert!(matches!(reply, Err(CallError::Connect(_))), "{reply:?}");
}

#[actix_rt::test]
async fn client_certificate_of_another_ca_is_rejected() {
    let (ca, other_ca) = (new_ca(), new_ca());
    let server = bind(&issue_tls(ca.path(), Role::Control, "c-1"));
    let mut foreign_tls = issue_tls(other_ca.path(), Role::Entry, "e-1");
    // The client trusts the server, so only its own certificate can be rejected.
    foreign_tls.client = foreign_client_config(ca.path(), other_ca.path());
    let client = bind(&foreign_tls);
    let address = serve(&server);

    let reply = client.link(address, Role::Control).call(status_request(), CALL_TIMEOUT).await;

    assert!(reply.is_err(), "{reply:?}");
}

#[actix_rt::test]
async fn link_reconnects_after_server_restart() {
    let ca = new_ca();
    let certificate = issue_tls(ca.path(), Role::Control, "c-1");
    let server = bind(&certificate);
    let client = bind(&issue_tls(ca.path(), Role::Entry, "e-1"));
    let address = serve(&server);
    let link = client.link(address, Role::Control);
    link.call(status_request(), CALL_TIMEOUT).await.expect("the first connection works");

    server.close();
    drop(server);
    let mut restarted_server = None;
    for _ in 0..100 {
        match Endpoint::bind(address, &certificate) {
            Ok(endpoint) => {
                restarted_server = Some(endpoint);
                break;
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    serve(&restarted_server.expect("the address is free again"));
    let mut reply = link.call(status_request(), CALL_TIMEOUT).await;
    for _ in 0..20 {
        if reply.is_ok() {
            break;
        }
        reply = link.call(status_request(), CALL_TIMEOUT).await;
    }

    assert!(reply.is_ok(), "{reply:?}");
}

fn foreign_client_config(trusted: &Path, own: &Path) -> std::sync::Arc<rustls::ClientConfig> {
    let settings = TlsSettings {
        ca_path: trusted.join(credentials::CA_CERTIFICATE_FILE).display().to_string(),
        certificate_path: own.join("entry-e-1.pem").display().to_string(),
        key_path: own.join("entry-e-1.key").display().to_string(),
    };
    TlsConfigs::load(&settings, wire::PROTOCOL).expect("valid certificates").client
}
