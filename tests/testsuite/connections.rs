//! Connections of clients that are kept alive.

use std::future::{Future, pending, ready};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use jujubelink::util::http::{Body, Handler, ServerOptions, empty, serve_connection};
use jujubelink::util::net::{Listener, Stream};

use crate::support::run;

#[derive(Clone)]
struct Succeed;

impl Handler for Succeed {
    fn handle(self, _: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        ready(Response::new(empty()))
    }
}

/// Guards against a connection that is closed while its client may still use it: a request that crosses
/// the close is lost.
#[test]
fn connections_may_be_idle_for_longer_than_a_head_may_take() {
    run(async {
        let listener = Listener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let server = compio::runtime::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let options = ServerOptions {
                header_timeout: Duration::from_millis(200),
                idle_timeout: Duration::from_secs(60),
                ..ServerOptions::default()
            };
            serve_connection(stream, Succeed, options, pending()).await
        });
        let stream = Stream::connect(address).await.unwrap();
        let (mut sender, connection) = http1::handshake(stream).await.unwrap();
        compio::runtime::spawn(connection).detach();
        for _ in 0..2 {
            let request = Request::get("/").header("host", "h").body(empty()).unwrap();
            let response = sender.send_request(request).await.unwrap();
            assert_eq!(response.status(), 200);
            compio::time::sleep(Duration::from_millis(600)).await;
        }
        drop(server);
    });
}
