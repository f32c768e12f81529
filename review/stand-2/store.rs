//! Stand-in for the platform's store: rows with one version counter, reads, feeds and transactions.

use {
    crate::{json::Json, net::{Connection, Message}},
    std::{
        collections::BTreeMap,
        io::Write,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex, atomic::{AtomicU8, Ordering}},
        thread,
        time::{Duration, Instant},
    },
};

/// The store answers.
pub const UP: u8 = 0;
/// The store accepts connections and answers nothing.
pub const SILENT: u8 = 1;

#[derive(Clone)]
struct Row {
    value: Option<String>,
    ver: u64,
}

#[derive(Clone, Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
    /// Rises by one each time the store comes back from an older copy.
    era: u64,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

/// The rows of a store at some moment.
pub struct Copy(Rows);

/// A running store. Each machine reaches it at an address of its own, so that the store can be away
/// for some of them.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

impl Store {
    pub fn new() -> Self {
        Self(Arc::new(Shared { rows: Mutex::default(), changed: Condvar::new(), started: Instant::now() }))
    }

    /// Serves at one more address. The result sets whether the store answers there.
    pub fn listen(&self, address: SocketAddr) -> std::io::Result<Arc<AtomicU8>> {
        let listener = TcpListener::bind(address)?;
        let mode = Arc::new(AtomicU8::new(UP));
        let (store, shared_mode) = (self.clone(), mode.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, mode) = (store.clone(), shared_mode.clone());
                thread::spawn(move || store.serve(Connection::new(stream), &mode));
            }
        });
        Ok(mode)
    }

    /// Writes a row, or deletes it. Returns the version: the ack.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        self.put_encoded(table, key, value.map(|v| base64(v.as_bytes())))
    }

    /// Returns a copy from which the store may come back.
    pub fn copy(&self) -> Copy {
        Copy(self.0.rows.lock().unwrap().clone())
    }

    /// Comes back from a copy: what was written since is gone, versions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut rows = self.0.rows.lock().unwrap();
        let era = rows.era + 1;
        *rows = Rows { era, ..copy.0.clone() };
        self.0.changed.notify_all();
    }

    fn put_encoded(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut rows = self.0.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert((table.to_owned(), key.to_owned()), Row { value, ver });
        self.0.changed.notify_all();
        ver
    }

    fn serve(&self, mut connection: Connection, mode: &AtomicU8) {
        while let Ok(Some(request)) = connection.read(None) {
            let mut response = self.respond(&request, mode);
            let era = self.0.rows.lock().unwrap().era.to_string();
            response.headers.push(("Store-Era".to_owned(), era));
            while mode.load(Ordering::SeqCst) == SILENT {
                thread::sleep(Duration::from_millis(20));
                // What was asked while the store was away is not answered any more.
                if mode.load(Ordering::SeqCst) != SILENT {
                    return;
                }
            }
            if connection.stream.write_all(&response.to_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, mode: &AtomicU8) -> Message {
        let path = request.uri().split('?').next().unwrap_or("").to_owned();
        match path.as_str() {
            "/api/rows-get" => self.get(request),
            "/api/rows-feed" => self.feed(request, mode),
            "/api/rows-tx" => self.transact(request),
            _ => Message::new("HTTP/1.1 404 Not Found", &[], b""),
        }
    }

    fn now_ms(&self) -> u128 {
        self.0.started.elapsed().as_millis()
    }

    fn get(&self, request: &Message) -> Message {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let limit: usize = request.query("limit").and_then(|l| l.parse().ok()).unwrap_or(500);
        let rows = self.0.rows.lock().unwrap();
        let found: Vec<String> = rows
            .rows
            .iter()
            .filter(|((t, key), row)| *t == table && *key >= from && row.value.is_some())
            .map(|((_, key), row)| row_text(&table, key, row))
            .collect();
        let has_more = found.len() > limit;
        let text = found.into_iter().take(limit).collect::<Vec<_>>().join(",");
        ok(&format!(r#"{{"rows":[{text}],"has_more":{has_more},"ver":{},"now_ms":{}}}"#, rows.ver, self.now_ms()))
    }

    fn feed(&self, request: &Message, mode: &AtomicU8) -> Message {
        let table = request.query("table").unwrap_or_default();
        let after: u64 = request.query("after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let wait: u64 = request.query("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.0.rows.lock().unwrap();
        loop {
            if after > rows.ver {
                return Message::new("HTTP/1.1 410 Gone", &[], b"");
            }
            let mut changed: Vec<(u64, String)> = rows
                .rows
                .iter()
                .filter(|((t, _), row)| *t == table && row.ver > after)
                .map(|((_, key), row)| (row.ver, row_text(&table, key, row)))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() || mode.load(Ordering::SeqCst) == SILENT {
                changed.sort();
                let text = changed.into_iter().map(|(_, text)| text).collect::<Vec<_>>().join(",");
                return ok(&format!(r#"{{"rows":[{text}],"ver":{},"now_ms":{}}}"#, rows.ver, self.now_ms()));
            }
            rows = self.0.changed.wait_timeout(rows, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> Message {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&body) else {
            return Message::new("HTTP/1.1 400 Bad Request", &[], b"");
        };
        for write in body.list("writes") {
            self.put_encoded(&write.text("table"), &write.text("key"), Some(write.text("value")));
        }
        for delete in body.list("delete") {
            self.put_encoded(&delete.text("table"), &delete.text("key"), None);
        }
        let ver = self.0.rows.lock().unwrap().ver;
        ok(&format!(r#"{{"ver":{ver},"now_ms":{}}}"#, self.now_ms()))
    }
}

fn ok(body: &str) -> Message {
    Message::new("HTTP/1.1 200 OK", &[("Content-Type", "application/json")], body.as_bytes())
}

fn row_text(table: &str, key: &str, row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""tombstone":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}",{rest},"ver":{}}}"#, row.ver)
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(SET[(n >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
