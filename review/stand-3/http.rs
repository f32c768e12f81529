//! Blocking HTTP/1.1 messages, as far as the cases need them.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn new(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Self {
        let headers = headers
            .iter()
            .map(|(n, v)| ((*n).to_owned(), (*v).to_owned()));
        Self {
            start: start.to_owned(),
            headers: headers.collect(),
            body: body.to_vec(),
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn uri(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.uri().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.uri().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut out = format!("{}\r\n", self.start);
        for (name, value) in &self.headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        let mut out = out.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }
}

/// Reads a message, or returns `None` at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: line.trim_end().to_owned(),
        ..Message::default()
    };
    let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(broken());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    if is_chunked {
        loop {
            line.clear();
            if stream.read_line(&mut line)? == 0 {
                return Err(broken());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken())?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends a request on a new connection and returns the answer.
pub fn send(address: SocketAddr, request: &Message, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&request.bytes())?;
    let answer = read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
}
