//! A small HTTP/1.1 server and client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }
}

/// Reads a request. `None` if the connection has ended.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if stream.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(stream)?;
    let mut request = Request { method, path, headers, body: String::new() };
    let length = request.header("content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Some(request)
}

fn read_headers(stream: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Accepts connections for good, each on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// How a response ended for a client.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum End {
    /// Complete by its length or by its last chunk.
    Complete,
    /// The connection ended before.
    #[default]
    BrokenOff,
    /// Nothing came in time.
    Silence,
}

/// A response as a client saw it.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// 0 if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub end: End,
    pub took: Duration,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }
}

/// Sends a request on a new connection and reads the response.
pub fn ask(address: SocketAddr, head: &str, body: &str, patience: Duration) -> Response {
    let started = Instant::now();
    let mut response = Response::default();
    if let Err(error) = exchange(address, head, body, patience, &mut response) {
        response.end = match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Silence,
            _ => End::BrokenOff,
        };
    }
    response.took = started.elapsed();
    response
}

fn exchange(
    address: SocketAddr,
    head: &str,
    body: &str,
    patience: Duration,
    response: &mut Response,
) -> io::Result<()> {
    let mut stream = connect(address, patience)?;
    stream.get_mut().write_all(format!("{head}\r\n{body}").as_bytes())?;
    read_response(&mut stream, response)
}

/// Opens a connection for several requests.
pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}

/// Reads one response.
pub fn read_response(stream: &mut BufReader<TcpStream>, response: &mut Response) -> io::Result<()> {
    let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut line = String::new();
    stream.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    response.status = status.ok_or_else(broken)?;
    response.headers = read_headers(stream).ok_or_else(broken)?;
    let chunked = response.header("transfer-encoding").is_some();
    let length: Option<usize> = response.header("content-length").and_then(|l| l.parse().ok());
    if chunked {
        loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken())?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            response.body += &String::from_utf8_lossy(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        let mut bytes = vec![0; length.unwrap_or(0)];
        stream.read_exact(&mut bytes)?;
        response.body = String::from_utf8_lossy(&bytes).into_owned();
    }
    response.end = End::Complete;
    Ok(())
}
