//! Requests of the property tests as bytes, with what has to become of them.

use proptest::prelude::*;

use super::KEY;
use super::request_forms::{MAX_BODY_BYTES, MAX_HEADER_BYTES};

/// What has to become of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It reaches the target once and as it was sent.
    Served,
    /// It is refused, and does not reach the target. Those that follow it are not affected, unless the connection
    /// closes.
    Refused,
    /// It is refused, if it is answered, and does not reach the target. Where it ends is not known, so that what
    /// follows it is no request.
    Malformed,
}

/// How the length of a body is stated.
#[derive(Debug, Clone)]
pub(super) enum Framing {
    /// There is no body.
    None,
    Length(Vec<u8>),
    Chunks {
        chunks: Vec<Chunk>,
        trailers: Vec<String>,
        /// Lines about the length in the head.
        head_lines: &'static str,
    },
}

#[derive(Debug, Clone)]
pub(super) struct Chunk {
    pub(super) data: Vec<u8>,
    /// Format of the size.
    size: SizeForm,
    extension: &'static str,
}

#[derive(Debug, Clone, Copy)]
enum SizeForm {
    Lower,
    Upper,
    LeadingZeros,
}

/// A fault, in its place.
#[derive(Debug, Clone)]
enum Fault {
    /// Replaces the request line; `{}` stands for the path.
    RequestLine(&'static str),
    /// Replaces the line of a header, or removes it.
    Header(&'static str, &'static str),
    /// Adds a line to the head.
    HeadLine(&'static str),
    /// Replaces a body with chunks of faulty sizes, extensions or ends.
    ChunkedBody(&'static str),
    /// States a transfer coding of the body that is not known, before its chunks.
    Coding(&'static str),
    /// Adds headers beyond the limit of a head.
    LargeHead,
    /// Announces a body beyond the limit, or sends it in chunks.
    LargeBody { is_chunked: bool },
}

/// A request to be sent.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) id: String,
    pub(super) method: &'static str,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) outcome: Outcome,
    /// Whether the connection may close after the response.
    pub(super) closes: bool,
    pub(super) asks_for_close: bool,
    pub(super) deadline_ms: u64,
    framing: Framing,
    extra_lines: &'static str,
    is_absolute: bool,
    fault: Option<Fault>,
}

/// A request that must never run, as it is a part of another one.
fn hidden_request() -> String {
    format!(
        "GET /read/hidden HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: hidden\r\n\
         authorization: Bearer {KEY}\r\n\r\n"
    )
}

/// Returns a valid request.
pub(super) fn good_request(framing: Framing) -> Request {
    let body = match &framing {
        Framing::None => Vec::new(),
        Framing::Length(body) => body.clone(),
        Framing::Chunks { chunks, .. } => chunks
            .iter()
            .flat_map(|chunk| &chunk.data)
            .copied()
            .collect(),
    };
    let closes =
        matches!(&framing, Framing::Chunks { head_lines, .. } if head_lines.contains("length"));
    Request {
        id: String::new(),
        method: "POST",
        path: String::new(),
        body,
        outcome: Outcome::Served,
        closes,
        asks_for_close: false,
        deadline_ms: 5_000,
        framing,
        extra_lines: "",
        is_absolute: false,
        fault: None,
    }
}

impl Request {
    pub(super) fn set_id(&mut self, id: String) {
        self.path = format!("/read/{id}?x=%2F{id}");
        self.id = id;
    }

    fn with_fault(mut self, (outcome, fault): (Outcome, Fault)) -> Self {
        // The fault may not be made up for by a valid length.
        match &fault {
            Fault::HeadLine(_) => self.framing = Framing::None,
            Fault::Coding(head_lines) => {
                self.framing = Framing::Chunks {
                    chunks: Vec::new(),
                    trailers: Vec::new(),
                    head_lines,
                };
            }
            _ => {}
        }
        self.outcome = outcome;
        self.fault = Some(fault);
        self
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        let target = match self.is_absolute {
            true => format!("http://shop.example{}", self.path),
            false => self.path.clone(),
        };
        let request_line = match &self.fault {
            Some(Fault::RequestLine(line)) => line.replace("{}", &target),
            _ => format!("{} {target} HTTP/1.1", self.method),
        };
        let mut lines = vec![
            format!("host: shop.example"),
            format!("Jujubelink-Attempt-Id: {}", self.id),
            format!("authorization: Bearer {KEY}"),
            format!("jujubelink-deadline-ms: {}", self.deadline_ms),
        ];
        if self.asks_for_close {
            lines.push("connection: close".to_owned());
        }
        match &self.fault {
            Some(Fault::Header(name, line)) => {
                lines.retain(|line| !line.to_ascii_lowercase().starts_with(name));
                if !line.is_empty() {
                    lines.push(line.replace("{}", &self.id));
                }
            }
            Some(Fault::HeadLine(line)) => lines.push((*line).to_owned()),
            Some(Fault::LargeHead) => {
                lines.push(format!("x-large: {}", "l".repeat(MAX_HEADER_BYTES)))
            }
            _ => {}
        }
        let mut head = format!(
            "{request_line}\r\n{}\r\n{}",
            lines.join("\r\n"),
            self.extra_lines
        );
        let mut body = Vec::new();
        let large = Framing::Length(
            hidden_request()
                .repeat(1 + MAX_BODY_BYTES / 64)
                .into_bytes(),
        );
        let framing = match &self.fault {
            Some(Fault::LargeBody { is_chunked: false }) => &large,
            _ => &self.framing,
        };
        match (&self.fault, framing) {
            (Some(Fault::ChunkedBody(faulty)), _) => {
                head += "transfer-encoding: chunked\r\n";
                body.extend_from_slice(faulty.as_bytes());
                body.extend_from_slice(hidden_request().as_bytes());
            }
            (Some(Fault::LargeBody { is_chunked: true }), _) => {
                head += "transfer-encoding: chunked\r\n";
                let data = hidden_request();
                for _ in 0..1 + MAX_BODY_BYTES / data.len() {
                    body.extend_from_slice(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes());
                }
                body.extend_from_slice(b"0\r\n\r\n");
            }
            (_, Framing::None) => {}
            (_, Framing::Length(data)) => {
                head += &format!("content-length: {}\r\n", data.len());
                body.extend_from_slice(data);
            }
            (
                _,
                Framing::Chunks {
                    chunks,
                    trailers,
                    head_lines,
                },
            ) => {
                head += head_lines;
                for chunk in chunks {
                    let length = chunk.data.len();
                    let size = match chunk.size {
                        SizeForm::Lower => format!("{length:x}"),
                        SizeForm::Upper => format!("{length:X}"),
                        SizeForm::LeadingZeros => format!("{length:05x}"),
                    };
                    body.extend_from_slice(format!("{size}{}\r\n", chunk.extension).as_bytes());
                    body.extend_from_slice(&chunk.data);
                    body.extend_from_slice(b"\r\n");
                }
                body.extend_from_slice(b"0\r\n");
                for trailer in trailers {
                    body.extend_from_slice(format!("{trailer}\r\n").as_bytes());
                }
                body.extend_from_slice(b"\r\n");
            }
        }
        head += "\r\n";
        [head.into_bytes(), body].concat()
    }
}

/// Data of a body. A part of it reads as a request.
fn any_data() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        prop::collection::vec(any::<u8>(), 1..300),
        Just(hidden_request().into_bytes()),
        Just(format!("0\r\n\r\n{}", hidden_request()).into_bytes()),
    ]
}

fn any_chunk() -> impl Strategy<Value = Chunk> {
    let size = prop::sample::select(vec![
        SizeForm::Lower,
        SizeForm::Upper,
        SizeForm::LeadingZeros,
    ]);
    let extension =
        prop::sample::select(vec!["", ";a", ";a=b", ";a=\"GET /read/hidden\"", " ;a=b"]);
    (any_data(), size, extension).prop_map(|(data, size, extension)| Chunk {
        data,
        size,
        extension,
    })
}

fn any_framing() -> impl Strategy<Value = Framing> {
    let trailers = prop::sample::subsequence(
        vec![
            "x-checksum: 1".to_owned(),
            "content-length: 7".to_owned(),
            "transfer-encoding: chunked".to_owned(),
            "host: other.example".to_owned(),
            "jujubelink-attempt-id: hidden".to_owned(),
            "jujubelink-tenant: hidden".to_owned(),
            "x: GET /read/hidden HTTP/1.1".to_owned(),
        ],
        0..4,
    );
    // A request with both lengths may be refused or served by its chunks (RFC 9112, section 6.1). It is served.
    let head_lines = prop::sample::select(vec![
        "transfer-encoding: chunked\r\n",
        "Transfer-Encoding: Chunked\r\ntrailer: x-checksum\r\n",
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
        "content-length: 3\r\ntransfer-encoding: chunked\r\ncontent-length: 99\r\n",
    ]);
    let chunks = prop::collection::vec(any_chunk(), 0..4);
    prop_oneof![
        Just(Framing::None),
        any_data().prop_map(Framing::Length),
        (chunks, trailers, head_lines).prop_map(|(chunks, trailers, head_lines)| {
            Framing::Chunks {
                chunks,
                trailers,
                head_lines,
            }
        }),
    ]
}

fn any_good_request() -> impl Strategy<Value = Request> {
    let method = prop::sample::select(vec!["GET", "POST", "PUT", "DELETE", "PATCH"]);
    let extra_lines = prop::sample::select(vec![
        "",
        "X-Upper-Case:no-space\r\n",
        "x-spaces: \t value \t\r\nx-empty:\r\n",
        "x-bytes: \u{e9}\u{fffd}\r\n",
        "x-twice: 1\r\nx-twice: 2\r\n",
        "jujubelink-tenant: hidden\r\nconnection: keep-alive, x-own\r\nx-own: 1\r\n",
        "expect: nothing\r\nupgrade: h2c\r\nte: trailers\r\n",
    ]);
    (any_framing(), method, extra_lines, any::<bool>()).prop_map(
        |(framing, method, extra_lines, is_absolute)| Request {
            method,
            extra_lines,
            is_absolute,
            ..good_request(framing)
        },
    )
}

/// Faults after which the end of the request is not known.
fn malformed() -> Vec<Fault> {
    let request_lines = [
        "POST {}",
        "POST {} HTTP/1.2",
        "POST {} HTTP/3.0",
        "POST  {} HTTP/1.1",
        "POST {} x HTTP/1.1",
        "PO ST {} HTTP/1.1",
        "P\u{0}ST {} HTTP/1.1",
        "POST {}\u{1} HTTP/1.1",
        "{} POST HTTP/1.1",
        "HTTP/1.1 200 OK",
    ];
    let head_lines = [
        "content-length: 1\r\ncontent-length: 2",
        "content-length: +5",
        "content-length: -1",
        "content-length: 0x5",
        "content-length: 5, 6",
        "content-length: 5 5",
        "content-length: 99999999999999999999",
        "content-length: five",
        "transfer-encoding: gzip",
        "transfer-encoding: chunked, gzip",
        "transfer-encoding: xchunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity",
        "transfer-encoding : chunked",
        "content-length : 5",
        "x-name with space: 1",
        ": no name",
        "no colon",
        "x-null: a\u{0}b",
        "x-return: a\rb",
        "x-folded: a\r\n b",
        " x-folded: a",
        "x(name: 1",
    ];
    let chunked_bodies = [
        "\r\n",
        "g\r\n",
        "-1\r\n",
        "+1\r\na\r\n",
        "0x1\r\na\r\n",
        "\r\n1\r\na\r\n",
        "1 1\r\na\r\n",
        "1",
        "1\na\r\n",
        "1\ra\r\n",
        "1\r\nab\r\n0\r\n\r\n",
        "1\r\na\n0\r\n\r\n",
        "1\r\na0\r\n\r\n",
        "1;a\n0\r\n\r\n",
        "ffffffffffffffff1\r\na\r\n",
        "10000000000000001\r\na\r\n0\r\n\r\n",
        "0\r\nx: 1\n\r\n",
        "0\r\nx: 1\rx: 2\r\n\r\n",
        "0\r\nx\r\n\r\n",
        "0\r\n: 1\r\n\r\n",
        "0\r\nx y: 1\r\n\r\n",
        "0\n\r\n",
    ];
    let request_lines = request_lines.map(Fault::RequestLine).into_iter();
    let head_lines = head_lines.map(Fault::HeadLine).into_iter();
    let bodies = chunked_bodies.map(Fault::ChunkedBody).into_iter();
    request_lines.chain(head_lines).chain(bodies).collect()
}

/// Faults of requests that end where they say.
fn refused() -> Vec<Fault> {
    vec![
        Fault::Header("host", ""),
        Fault::Header("host", "host: other.example"),
        Fault::Header("host", "host: shop.example\r\nhost: other.example"),
        Fault::Header("host", "host: other.example\r\nhost: shop.example"),
        Fault::Header("jujubelink-attempt-id", ""),
        Fault::Header("jujubelink-attempt-id", "jujubelink-attempt-id:"),
        Fault::Header("jujubelink-attempt-id", "jujubelink-attempt-id: \u{e9}"),
        Fault::Header(
            "jujubelink-attempt-id",
            "jujubelink-attempt-id: {}\r\njujubelink-attempt-id: hidden",
        ),
        Fault::Header("authorization", ""),
        Fault::Header("authorization", "authorization: Bearer unknown"),
        Fault::Header("authorization", "authorization: Basic unknown"),
        Fault::Header("jujubelink-deadline-ms", "jujubelink-deadline-ms: soon"),
        Fault::Header("jujubelink-deadline-ms", "jujubelink-deadline-ms: -1"),
        Fault::Coding("transfer-encoding: gzip, chunked\r\n"),
        Fault::Coding("transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n"),
        Fault::Coding("transfer-encoding: chunked, chunked\r\n"),
        Fault::RequestLine("POST /none{} HTTP/1.1"),
        Fault::RequestLine("OPTIONS * HTTP/1.1"),
        Fault::LargeHead,
        Fault::LargeBody { is_chunked: false },
        Fault::LargeBody { is_chunked: true },
    ]
}

/// Returns valid requests and faulty ones of each kind.
pub(super) fn any_request() -> impl Strategy<Value = Request> {
    let malformed = prop::sample::select(malformed()).prop_map(|fault| (Outcome::Malformed, fault));
    let refused = prop::sample::select(refused()).prop_map(|fault| (Outcome::Refused, fault));
    let faulty =
        (any_good_request(), prop_oneof![malformed, refused]).prop_map(|(request, fault)| {
            let mut request = request.with_fault(fault);
            // An absolute path states the host, and replaces the header.
            request.is_absolute = false;
            request
        });
    prop_oneof![3 => any_good_request(), 2 => faulty]
}
