//! Clients that use HTTP/2.

use http_body_util::BodyExt;
use hyper::client::conn::http2;
use jujubelink::util::http::{LocalExecutor, full};
use jujubelink::util::net::Stream;
use jujubelink_standins::engine::generated_text;

use crate::support::{
    Fleet, TestResponse, canonical_chat_prompt, chat_body, chat_request, run, stream_text,
};

/// Guards against a listener that serves HTTP/1.1 only, and against concurrent streams of one connection
/// that are mixed up or block each other.
#[test]
fn concurrent_streams_of_one_connection_are_complete() {
    run(async {
        let fleet = Fleet::new(2);
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let stream = Stream::connect(address).await.unwrap();
        let (sender, connection) = http2::handshake(LocalExecutor, stream).await.unwrap();
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        let requests = (0..12).map(|number| {
            let mut sender = sender.clone();
            async move {
                let prompt = format!("verse {number}");
                let request = chat_request()
                    .uri(format!("http://{address}/v1/chat/completions"))
                    .body(full(chat_body(&prompt, 30, true)))
                    .unwrap();
                let (head, body) = sender.send_request(request).await.unwrap().into_parts();
                let body = body.collect().await.unwrap().to_bytes();
                let response = TestResponse {
                    status: head.status.as_u16(),
                    headers: head.headers,
                    body: String::from_utf8(body.to_vec()).unwrap(),
                };
                let expected = generated_text(&canonical_chat_prompt(&prompt), 30);
                assert_eq!(stream_text(&response), expected);
            }
        });
        futures_util::future::join_all(requests).await;
    });
}
