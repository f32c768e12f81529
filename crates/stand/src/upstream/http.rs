//! As much of HTTP/1.1 as a target needs, with the power to break it.

use {
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 96;
const PIECE_BYTES: usize = 16 * 1024;

/// A request as it came.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) path: String,
    pub(crate) key: String,
    pub(crate) id: String,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) close: bool,
    pub(crate) body: Vec<u8>,
}

/// Reads one request; none when the connection ended before it.
pub(crate) async fn read(
    stream: &mut TcpStream,
    pending: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    loop {
        if let Some((mut request, head, length)) = parse(pending)? {
            while pending.len() < head + length {
                if fill(stream, pending).await? == 0 {
                    return Ok(None);
                }
            }
            request.body = pending[head..head + length].to_vec();
            pending.drain(..head + length);
            return Ok(Some(request));
        }
        if pending.len() > MAX_HEAD_BYTES || fill(stream, pending).await? == 0 {
            return Ok(None);
        }
    }
}

async fn fill(stream: &mut TcpStream, pending: &mut Vec<u8>) -> io::Result<usize> {
    let mut piece = vec![0; PIECE_BYTES];
    let length = stream.read(&mut piece).await?;
    pending.extend_from_slice(&piece[..length]);
    Ok(length)
}

/// The request's head, its length and the length of the body.
fn parse(bytes: &[u8]) -> io::Result<Option<(Request, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes).map_err(io::Error::other)?;
    let httparse::Status::Complete(head) = status else {
        return Ok(None);
    };
    let mut request = Request {
        path: parsed.path.unwrap_or_default().to_owned(),
        ..Request::default()
    };
    let mut length = 0;
    for header in parsed.headers.iter() {
        let value = String::from_utf8_lossy(header.value).into_owned();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap_or(0),
            "idempotency-key" => request.key = value,
            "x-request-id" => request.id = value,
            "x-deadline-ms" => request.deadline_ms = value.parse().ok(),
            "connection" => request.close = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    Ok(Some((request, head, length)))
}

/// Writes an answer; `cut` stops after so many bytes of the body.
pub(crate) async fn write(
    stream: &mut TcpStream,
    status: u16,
    extra: &str,
    body: &str,
    cut: Option<usize>,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{extra}content-length: {}\r\ncontent-type: application/json\r\n\r\n",
        body.len()
    );
    let sent = cut.map_or(body, |cut| &body[..cut.min(body.len())]);
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(sent.as_bytes());
    stream.write_all(&bytes).await
}
