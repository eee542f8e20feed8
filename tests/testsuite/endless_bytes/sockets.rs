//! Sockets that receive faster than their bytes are processed.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::pin::{Pin, pin};
use std::task::{Poll, ready};

use futures_util::AsyncRead;
use jujubelink::util::net::{Datagram, MAX_BYTES_PER_WAIT, MAX_DATAGRAMS_PER_WAIT, Stream};
use socket2::{Domain, Socket, Type};

use crate::support::{WAIT_TIMEOUT, run};

/// Guards against a connection whose task never waits because its peer sends faster than its bytes are
/// processed, so that no timer and no other connection gets its turn.
#[test]
fn a_connection_waits_after_a_limited_number_of_bytes() {
    const READ_BYTES: usize = 16 * 1024;
    run(async {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener
            .set_recv_buffer_size(8 * MAX_BYTES_PER_WAIT)
            .unwrap();
        listener
            .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
            .unwrap();
        listener.listen(1).unwrap();
        let listener = TcpListener::from(listener);
        let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (receiver, _) = listener.accept().unwrap();
        sender.set_nonblocking(true).unwrap();
        let block = vec![0; READ_BYTES];
        let mut sent_bytes = 0;
        while let Ok(written) = sender.write(&block) {
            sent_bytes += written;
        }
        let mut peeked = vec![0; 2 * MAX_BYTES_PER_WAIT];
        let waiting = receiver.peek(&mut peeked).unwrap();
        assert_eq!(waiting, peeked.len(), "bytes that can be read at once");
        let mut stream = Stream::new(receiver).unwrap();
        let (mut received_bytes, mut longest_run) = (0, 0);
        std::future::poll_fn(|cx| {
            let mut run_bytes = 0;
            while received_bytes < sent_bytes {
                let mut buffer = [0; READ_BYTES];
                let read = Pin::new(&mut stream).poll_read(cx, &mut buffer);
                let read = ready!(read).unwrap();
                received_bytes += read;
                run_bytes += read;
                longest_run = longest_run.max(run_bytes);
            }
            Poll::Ready(())
        })
        .await;
        assert!(
            longest_run <= MAX_BYTES_PER_WAIT + READ_BYTES,
            "{longest_run} bytes"
        );
    });
}

/// Guards against a receiver of datagrams that never waits because they arrive faster than they are
/// processed.
#[test]
fn a_socket_waits_after_a_limited_number_of_datagrams() {
    run(async {
        let socket = Datagram::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let sender = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        sender.connect(socket.local_addr().unwrap()).unwrap();
        // Few enough for the receive buffer of the socket.
        let sent = 2 * MAX_DATAGRAMS_PER_WAIT;
        for _ in 0..sent {
            sender.send(b"x").unwrap();
        }
        let (mut received, mut longest_run) = (0, 0);
        let mut buffer = [0; 16];
        let receive = std::future::poll_fn(|cx| {
            let mut run = 0;
            while received < sent {
                let receive = pin!(socket.recv_from(&mut buffer));
                ready!(receive.poll(cx)).unwrap();
                received += 1;
                run += 1;
                longest_run = longest_run.max(run);
            }
            Poll::Ready(())
        });
        compio::time::timeout(WAIT_TIMEOUT, receive).await.unwrap();
        assert!(longest_run <= MAX_DATAGRAMS_PER_WAIT, "{longest_run}");
    });
}
