//! RPCs between instances: authentication, timeouts and reconnection.

use std::cell::Cell;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use jujubelink::ops::peer::{PeerChannel, PeerToken};
use jujubelink::util::net::{Listener, Stream};
use jujubelink_proto::spread::StatusRequest;
use jujubelink_proto::spread::spread_client::SpreadClient;

use crate::support::{Cluster, eventually, run};

fn client(address: SocketAddr, token: PeerToken) -> SpreadClient<PeerChannel> {
    let channel = PeerChannel::new(address, token);
    let origin = channel.origin();
    SpreadClient::with_origin(channel, origin)
}

/// Guards against calls from another cluster, and against a token that is sent to one instance and then
/// replayed at another.
#[test]
fn a_token_is_valid_for_one_cluster_and_one_receiver() {
    let [first, second]: [SocketAddr; 2] =
        ["127.0.0.1:1", "127.0.0.1:2"].map(|text| text.parse().unwrap());
    let token = PeerToken::new("the cluster key");
    let value = token.authorization_header(first);
    assert!(token.verify(first, value.as_bytes()));
    assert!(!token.verify(second, value.as_bytes()));
    assert!(!PeerToken::new("another key").verify(first, value.as_bytes()));
    assert!(!token.verify(first, b""));
}

/// Guards against an instance that responds to unauthenticated calls or keeps connections that never
/// authenticate.
#[test]
fn calls_without_the_cluster_key_are_rejected() {
    run(async {
        let fleet = Cluster::start(1, None).await;
        let mut other_cluster = client(fleet.peer_address(0), PeerToken::new("another key"));
        assert!(other_cluster.status(StatusRequest {}).await.is_err());
        assert_eq!(fleet.config_version(0).await, Some(0));
        let mut silent = TcpStream::connect(fleet.peer_address(0)).unwrap();
        silent.set_nonblocking(true).unwrap();
        eventually("the silent connection is closed", || {
            let end = silent.read(&mut [0; 64]).ok();
            async move { (end == Some(0)).then_some(()) }
        })
        .await;
    });
}

/// Forwards bytes between a client and an instance. Once `is_silent` is set, it forwards nothing more
/// and keeps both connections open.
async fn relay(from: Stream, to: Stream, is_silent: Rc<Cell<bool>>) {
    use futures_util::{AsyncReadExt, AsyncWriteExt};
    let (mut from_read, mut from_write) = from.split();
    let (mut to_read, mut to_write) = to.split();
    let forward = async |read: &mut futures_util::io::ReadHalf<Stream>,
                         write: &mut futures_util::io::WriteHalf<Stream>| {
        let mut buffer = [0; 4096];
        while let Ok(length @ 1..) = read.read(&mut buffer).await {
            if is_silent.get() {
                std::future::pending::<()>().await;
            }
            let _ = write.write_all(&buffer[..length]).await;
        }
    };
    futures_util::join!(
        forward(&mut from_read, &mut to_write),
        forward(&mut to_read, &mut from_write)
    );
}

/// Guards against calls that keep failing on an established connection which no longer delivers data,
/// although new connections work. After a call has timed out, the next one has to use a new connection.
#[test]
fn a_silent_connection_is_replaced() {
    run(async {
        let fleet = Cluster::start(1, None).await;
        let target = fleet.peer_address(0);
        let listener = Listener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let first_is_silent = Rc::new(Cell::new(false));
        let silent = Rc::clone(&first_is_silent);
        let accept = compio::runtime::spawn(async move {
            let mut flags = vec![silent];
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = Stream::connect(target).await.unwrap();
                let flag = flags.pop().unwrap_or_default();
                compio::runtime::spawn(relay(stream, upstream, flag)).detach();
            }
        });
        // The token is valid for the instance's address, although the connection goes to the relay.
        let token = PeerToken::new("test cluster key");
        let mut direct = client(target, token.clone());
        assert!(direct.status(StatusRequest {}).await.is_ok());
        let channel = PeerChannel::new(target, token).connect_via(address);
        let origin = channel.origin();
        let mut relayed = SpreadClient::with_origin(channel, origin);
        assert!(relayed.status(StatusRequest {}).await.is_ok());
        first_is_silent.set(true);
        let limit = Duration::from_millis(300);
        let timed_out = compio::time::timeout(limit, relayed.status(StatusRequest {})).await;
        assert!(timed_out.is_err(), "the first connection is silent");
        assert!(relayed.status(StatusRequest {}).await.is_ok());
        drop(accept);
    });
}

/// Guards against a call that waits forever at an address which accepts connections and never responds.
#[test]
fn a_call_to_an_unresponsive_address_times_out() {
    run(async {
        let unresponsive = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let token = PeerToken::new("test cluster key");
        let mut client = client(unresponsive.local_addr().unwrap(), token);
        let call = client.status(StatusRequest {});
        let ended = compio::time::timeout(crate::support::WAIT_TIMEOUT, call).await;
        assert!(ended.expect("the call times out by itself").is_err());
    });
}
