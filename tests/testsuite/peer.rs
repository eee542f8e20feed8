//! Calls between instances.

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

/// Guards against calls from another cluster, and against a token that one instance has received
/// being used at another.
#[test]
fn a_token_is_good_for_one_cluster_and_one_receiver() {
    let [first, second]: [SocketAddr; 2] =
        ["127.0.0.1:1", "127.0.0.1:2"].map(|text| text.parse().unwrap());
    let token = PeerToken::new("the cluster key");
    let value = token.authorization_header(first);
    assert!(token.verify(first, value.as_bytes()));
    assert!(!token.verify(second, value.as_bytes()));
    assert!(!PeerToken::new("another key").verify(first, value.as_bytes()));
    assert!(!token.verify(first, b""));
}

/// Guards against an instance that answers without authentication, or that keeps connections which
/// never authenticate.
#[test]
fn calls_without_the_cluster_key_get_nothing() {
    run(async {
        let fleet = Cluster::start(1, None).await;
        let mut stranger = client(fleet.peer_address(0), PeerToken::new("another key"));
        assert!(stranger.status(StatusRequest {}).await.is_err());
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

/// Passes bytes between a client and an instance until it goes silent without closing.
async fn relay(from: Stream, to: Stream, is_silent: Rc<Cell<bool>>) {
    use futures_util::{AsyncReadExt, AsyncWriteExt};
    let (mut from_read, mut from_write) = from.split();
    let (mut to_read, mut to_write) = to.split();
    let pass = async |read: &mut futures_util::io::ReadHalf<Stream>,
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
        pass(&mut from_read, &mut to_write),
        pass(&mut to_read, &mut from_write)
    );
}

/// Guards against a connection that goes silent while new ones work: calls must recover on a new
/// connection.
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
        // The token is made for the instance's own address, the connection goes to the relay.
        let token = PeerToken::new("test cluster key");
        let mut direct = client(target, token.clone());
        assert!(direct.status(StatusRequest {}).await.is_ok());
        let channel = PeerChannel::new(target, token).connect_via(address);
        let origin = channel.origin();
        let mut relayed = SpreadClient::with_origin(channel, origin);
        assert!(relayed.status(StatusRequest {}).await.is_ok());
        first_is_silent.set(true);
        let limit = Duration::from_millis(300);
        let lost = compio::time::timeout(limit, relayed.status(StatusRequest {})).await;
        assert!(lost.is_err(), "the first connection is silent");
        assert!(relayed.status(StatusRequest {}).await.is_ok());
        drop(accept);
    });
}

/// Guards against a call without a deadline to an address that accepts and never answers.
#[test]
fn a_call_to_a_mute_address_ends() {
    run(async {
        let mute = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let token = PeerToken::new("test cluster key");
        let mut client = client(mute.local_addr().unwrap(), token);
        let call = client.status(StatusRequest {});
        let ended = compio::time::timeout(crate::support::WAIT_TIMEOUT, call).await;
        assert!(ended.expect("the call ends by itself").is_err());
    });
}
