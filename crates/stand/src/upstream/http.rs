//! Minimal HTTP/1.1 server side that can also send malformed or truncated responses.

use {
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 96;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Parsed request.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) path: String,
    pub(crate) idempotency_key: String,
    pub(crate) id: String,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) closes_connection: bool,
    pub(crate) body: Vec<u8>,
}

/// Reads one request. Returns `None` if the connection ends before the request is complete
/// or the header is too large. Bytes beyond the request stay in `pending`.
pub(crate) async fn read_request(
    stream: &mut TcpStream,
    pending: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    loop {
        if let Some((mut request, head_bytes, body_bytes)) = parse_head(pending)? {
            while pending.len() < head_bytes + body_bytes {
                if read_chunk(stream, pending).await? == 0 {
                    return Ok(None);
                }
            }
            request.body = pending[head_bytes..head_bytes + body_bytes].to_vec();
            pending.drain(..head_bytes + body_bytes);
            return Ok(Some(request));
        }
        if pending.len() > MAX_HEAD_BYTES || read_chunk(stream, pending).await? == 0 {
            return Ok(None);
        }
    }
}

async fn read_chunk(stream: &mut TcpStream, pending: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = vec![0; READ_BUFFER_BYTES];
    let length = stream.read(&mut chunk).await?;
    pending.extend_from_slice(&chunk[..length]);
    Ok(length)
}

/// Returns the request without its body, and the lengths of its head and of its body in
/// bytes; `None` if the head is incomplete.
fn parse_head(bytes: &[u8]) -> io::Result<Option<(Request, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes).map_err(io::Error::other)?;
    let httparse::Status::Complete(head_bytes) = status else {
        return Ok(None);
    };
    let mut request = Request {
        path: parsed.path.unwrap_or_default().to_owned(),
        ..Request::default()
    };
    let mut body_bytes = 0;
    for header in parsed.headers.iter() {
        let value = String::from_utf8_lossy(header.value).into_owned();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => body_bytes = value.parse().unwrap_or(0),
            "idempotency-key" => request.idempotency_key = value,
            "x-request-id" => request.id = value,
            "x-deadline-ms" => request.deadline_ms = value.parse().ok(),
            "connection" => request.closes_connection = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    Ok(Some((request, head_bytes, body_bytes)))
}

/// Writes a response. `extra_headers` are complete lines that end with CRLF;
/// `max_body_bytes` truncates the body without changing the content length.
pub(crate) async fn write_response(
    stream: &mut TcpStream,
    status: u16,
    extra_headers: &str,
    body: &str,
    max_body_bytes: Option<usize>,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status:03} X\r\n{extra_headers}content-length: {}\r\ncontent-type: application/json\r\n\r\n",
        body.len()
    );
    let sent = max_body_bytes.map_or(body, |max| &body[..max.min(body.len())]);
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(sent.as_bytes());
    stream.write_all(&bytes).await
}
