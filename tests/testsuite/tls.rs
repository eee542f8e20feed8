//! TLS for client connections.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;

use futures_rustls::TlsConnector;
use http::Request;
use http_body_util::Empty;
use hyper::client::conn::http1;
use jujubelink::ops::tls::HyperIo;
use jujubelink::util::net::Stream;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::platform::Platform;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};

use crate::support::{Instance, eventually, free_address, run, send};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/testsuite/fixtures")
        .join(name)
}

fn certificate(name: &str) -> CertificateDer<'static> {
    CertificateDer::from_pem_file(fixture(name)).unwrap()
}

/// Requests `/healthz` over TLS. Returns the status and the server's certificate.
async fn request_health(address: SocketAddr) -> Option<(u16, CertificateDer<'static>)> {
    let mut roots = RootCertStore::empty();
    roots.add(certificate("ca.pem")).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = Stream::connect(address).await.ok()?;
    let name = ServerName::try_from("jujubelink.test").unwrap();
    let connector = TlsConnector::from(Arc::new(config));
    let stream = connector.connect(name, stream).await.ok()?;
    let server_certificate = stream.get_ref().1.peer_certificates()?[0].clone();
    let (mut sender, connection) = http1::handshake(HyperIo::new(stream)).await.ok()?;
    let connection = compio::runtime::spawn(connection);
    let request = Request::get("/healthz")
        .header("host", "jujubelink.test")
        .body(Empty::<bytes::Bytes>::new())
        .unwrap();
    let response = sender.send_request(request).await.ok()?;
    drop(connection);
    Some((response.status().as_u16(), server_certificate))
}

/// Guards against unencrypted connections although TLS is configured, against a renewed certificate that
/// is only used after a restart, and against a listener without a certificate while the certificate and
/// its key are replaced one after the other.
#[test]
fn clients_get_the_latest_certificate_that_fits_its_key() {
    run(async {
        let folder = std::env::temp_dir().join(format!("jujubelink-tls-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (certificate_file, key_file) = (folder.join("tls.pem"), folder.join("tls.key"));
        std::fs::copy(fixture("first.pem"), &certificate_file).unwrap();
        std::fs::copy(fixture("first.key"), &key_file).unwrap();
        let platform = StandInHandle::start(Platform::new()).unwrap();
        let settings = format!(
            "[listen.tls]\ncertificate_file = {certificate_file:?}\nkey_file = {key_file:?}\n"
        );
        let addresses = [free_address(), free_address(), free_address()];
        let address = platform.address();
        let log = Stdio::inherit();
        let instance = Instance::start_with(addresses, address, &[], &settings, log).await;
        let client_address = instance.client_address;
        let first = request_health(client_address)
            .await
            .expect("a response over TLS");
        assert_eq!(first, (200, certificate("first.pem")));

        let admin = send(instance.admin_address, Request::get("/healthz"), None).await;
        assert_eq!(admin.status, 200, "the administration API has no TLS");
        let threads = std::fs::read_dir(format!("/proc/{}/task", instance.pid())).unwrap();
        assert_eq!(threads.count(), 1);

        // The new certificate cannot be used before its key is in place.
        std::fs::copy(fixture("second.pem"), &certificate_file).unwrap();
        let before_key_change = request_health(client_address)
            .await
            .expect("a response over TLS");
        assert_eq!(before_key_change, (200, certificate("first.pem")));
        std::fs::copy(fixture("second.key"), &key_file).unwrap();
        eventually("the new certificate is used", || async {
            let (_, server_certificate) = request_health(client_address).await?;
            (server_certificate == certificate("second.pem")).then_some(())
        })
        .await;
        let _ = std::fs::remove_dir_all(&folder);
    });
}
