//! HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond what was asked for.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes. Returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads a head. `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                });
                return Ok(Some(Message {
                    start,
                    headers: headers.collect(),
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads the next part of a body; each call returns at most one chunk.
    pub fn chunk(&mut self) -> io::Result<Chunk> {
        let Some(size) = self.line()? else {
            return Ok(Chunk::BrokenOff);
        };
        let size = size.split(';').next().unwrap_or_default().trim();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return Ok(Chunk::BrokenOff);
        };
        if size == 0 {
            while let Some(line) = self.line()? {
                if line.is_empty() {
                    return Ok(Chunk::End);
                }
            }
            return Ok(Chunk::BrokenOff);
        }
        let Some(data) = self.exactly(size)? else {
            return Ok(Chunk::BrokenOff);
        };
        match self.line()? {
            Some(_) => Ok(Chunk::Data(data)),
            None => Ok(Chunk::BrokenOff),
        }
    }

    /// Reads a whole body. Returns it and whether it ended as its framing states.
    pub fn body(&mut self, head: &Message, is_response: bool) -> io::Result<(Vec<u8>, bool)> {
        let coding = head.header("transfer-encoding").unwrap_or_default();
        if coding.eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                match self.chunk() {
                    Ok(Chunk::Data(data)) => body.extend(data),
                    Ok(Chunk::End) => return Ok((body, true)),
                    Ok(Chunk::BrokenOff) | Err(_) => return Ok((body, false)),
                }
            }
        }
        let length = head.header("content-length").and_then(|v| v.parse().ok());
        match length {
            Some(length) => {
                let mut whole = true;
                while self.buffer.len() < length {
                    if !matches!(self.fill(), Ok(true)) {
                        whole = false;
                        break;
                    }
                }
                let count = length.min(self.buffer.len());
                Ok((self.buffer.drain(..count).collect(), whole))
            }
            None if is_response => {
                while matches!(self.fill(), Ok(true)) {}
                Ok((std::mem::take(&mut self.buffer), true))
            }
            None => Ok((Vec::new(), true)),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a response with a length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.send(&[head.as_bytes(), body].concat())
    }
}

pub enum Chunk {
    Data(Vec<u8>),
    End,
    BrokenOff,
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}

/// Sends a small call and returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, String)> {
    let mut conn = Conn::connect(address)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    conn.send(request.as_bytes())?;
    let head = conn.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (body, _) = conn.body(&head, true)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
