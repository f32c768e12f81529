//! Minimal HTTP/1.1 over blocking sockets, for clients and servers that need control of every byte.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn new(start_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Self {
        let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned()));
        Self { start_line: start_line.to_owned(), headers: headers.collect(), body: body.to_vec() }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn uri(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.uri().split_once('?')?;
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name)?;
        Some(percent_decode(pair.1))
    }

    /// Bytes with a `Content-Length`.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.start_line);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads messages from one connection.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    pub fn send(&mut self, message: &Message) -> io::Result<()> {
        self.stream.write_all(&message.to_bytes())
    }

    fn fill(&mut self, deadline: Option<Instant>) -> io::Result<usize> {
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        } else {
            self.stream.set_read_timeout(None)?;
        }
        let mut chunk = [0; 16384];
        let count = match self.stream.read(&mut chunk) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Err(io::ErrorKind::TimedOut.into()),
            result => result?,
        };
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads one message. `Ok(None)` if the connection ends before its first byte.
    pub fn read(&mut self, deadline: Option<Instant>) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill(deadline)? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { start_line: lines.next().unwrap_or("").to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let is_response = message.start_line.starts_with("HTTP/");
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        match length {
            _ if chunked => message.body = self.read_chunks(deadline)?,
            Some(length) => {
                while self.buffer.len() < length {
                    if self.fill(deadline)? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.buffer.drain(..length).collect();
            }
            None if is_response => {
                while self.fill(deadline)? > 0 {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => {}
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                    break String::from_utf8_lossy(&self.buffer.drain(..at + 2).collect::<Vec<u8>>()).trim().to_owned();
                }
                if self.fill(deadline)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size = usize::from_str_radix(&line, 16).map_err(io::Error::other)?;
            while self.buffer.len() < size + 2 {
                if self.fill(deadline)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// How a request ended for its client.
#[derive(Debug)]
pub enum Answer {
    Response(Message),
    /// The connection ended without a whole answer.
    Cut(String),
    /// The client gave up at its time budget.
    GaveUp,
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Self::Response(message) => message.status(),
            _ => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Response(message) => format!("status {}", message.status()),
            Self::Cut(reason) => format!("connection ended without an answer ({reason})"),
            Self::GaveUp => "no answer within the time budget".to_owned(),
        }
    }

    /// Whether this is a target's answer.
    pub fn is_sealed(&self) -> bool {
        matches!(self, Self::Response(message) if message.header("x-response-seal").is_some())
    }
}

/// Sends a request on a connection and awaits the answer until the client's time budget is over.
pub fn exchange(connection: &mut Connection, request: &Message, budget: Duration) -> Answer {
    let deadline = Instant::now() + budget;
    if let Err(error) = connection.send(request) {
        return Answer::Cut(format!("send: {error}"));
    }
    match connection.read(Some(deadline)) {
        Ok(Some(message)) => Answer::Response(message),
        Ok(None) => Answer::Cut("closed".to_owned()),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => Answer::GaveUp,
        Err(error) => Answer::Cut(error.to_string()),
    }
}

/// Sends a request on a new connection.
pub fn send_once(address: SocketAddr, request: &Message, budget: Duration) -> Answer {
    match Connection::open(address, Duration::from_secs(1)) {
        Ok(mut connection) => exchange(&mut connection, request, budget),
        Err(error) => Answer::Cut(format!("connect: {error}")),
    }
}
