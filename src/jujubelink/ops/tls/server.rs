//! Server side of TLS.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anyhow::{Context as _, Result};
use futures_rustls::TlsAcceptor;
use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use super::HyperIo;
use crate::ops::kernel::Context;
use crate::ops::settings::TlsSettings;
use crate::util::net::Stream;

/// Timeout of a handshake. Clients without a key can keep a connection open for this long.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Application protocols in order of preference.
const ALPN_PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// A TLS connection that hyper can use.
pub(super) type ServerStream = HyperIo<futures_rustls::server::TlsStream<Stream>>;

/// Modification times of the certificate file and the key file.
type FileTimes = [Option<SystemTime>; 2];

/// Accepts TLS connections with the most recent valid certificate.
pub struct ServerTls {
    context: Context,
    settings: TlsSettings,
    acceptor: RefCell<TlsAcceptor>,
    file_times: Cell<FileTimes>,
}

impl ServerTls {
    /// Loads the certificate and the key.
    pub fn new(context: &Context, settings: &TlsSettings) -> Result<Self> {
        let file_times = file_times(settings);
        let config = load(settings)?;
        Ok(Self {
            context: context.clone(),
            settings: settings.clone(),
            acceptor: RefCell::new(TlsAcceptor::from(config)),
            file_times: Cell::new(file_times),
        })
    }

    /// Performs the handshake. Returns `None` if it fails.
    pub async fn accept(&self, stream: Stream) -> Option<ServerStream> {
        let acceptor = self.acceptor.borrow().clone();
        let handshake = acceptor.accept(stream);
        let outcome = self
            .context
            .timers()
            .timeout(HANDSHAKE_TIMEOUT, handshake)
            .await;
        match outcome {
            Some(Ok(stream)) => Some(HyperIo::new(stream)),
            Some(Err(_)) | None => {
                self.context.metrics().count("tls.handshake_errors", 1);
                None
            }
        }
    }

    /// Reloads the files if they have changed. If the new files are invalid, the current certificate
    /// stays in use and each further call tries again, because certificate and key are replaced one
    /// after the other.
    pub(super) fn reload_if_changed(&self) {
        let file_times = file_times(&self.settings);
        if file_times == self.file_times.get() {
            return;
        }
        match load(&self.settings) {
            Ok(config) => {
                self.acceptor.replace(TlsAcceptor::from(config));
                self.file_times.set(file_times);
                self.context.metrics().count("tls.reloads", 1);
                slog::info!(self.context.log(), "certificate reloaded");
            }
            Err(error) => {
                self.context.metrics().count("tls.reload_errors", 1);
                slog::warn!(self.context.log(), "cannot load the changed certificate; the current one stays in use";
                    "error" => format!("{error:#}"));
            }
        }
    }
}

fn file_times(settings: &TlsSettings) -> FileTimes {
    [&settings.certificate_file, &settings.key_file].map(|path| {
        std::fs::metadata(path)
            .and_then(|data| data.modified())
            .ok()
    })
}

fn load(settings: &TlsSettings) -> Result<Arc<ServerConfig>> {
    let certificate_path = settings.certificate_file.display();
    let certificates = CertificateDer::pem_file_iter(&settings.certificate_file)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .with_context(|| format!("read the certificate {certificate_path}"))?;
    let key = PrivateKeyDer::from_pem_file(&settings.key_file)
        .with_context(|| format!("read the private key {}", settings.key_file.display()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context("select the TLS versions")?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .with_context(|| format!("use the certificate {certificate_path} with its key"))?;
    config.alpn_protocols = ALPN_PROTOCOLS.map(<[u8]>::to_vec).to_vec();
    Ok(Arc::new(config))
}
