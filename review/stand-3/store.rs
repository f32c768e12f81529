//! Stand-in for the platform's store: rows in tables, reads, a feed of changes, transactions.

use {
    crate::{
        http::{self, Message},
        json::{Json, base64},
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Debug, Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// A running store. Clones share its rows.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

/// Time that a transaction takes (`tx_ms`).
const TRANSACTION_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            rows: BTreeMap::new(),
            version: 100,
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row for the operator or a target.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        thread::sleep(TRANSACTION_TIME);
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row whose lease has run out.
    pub fn expire(&self, table: &str, key: &str) {
        let is_there = {
            let state = self.state.0.lock().unwrap();
            let row = state.rows.get(&(table.to_owned(), key.to_owned()));
            row.is_some_and(|row| row.value.is_some())
        };
        if is_there {
            self.write(table, key, None);
        }
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state
            .rows
            .insert((table.to_owned(), key.to_owned()), Row { value, version });
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let (mut reader, mut stream) = (BufReader::new(reader), stream);
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if stream.write_all(&self.answer(&request).bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Message {
        match request.path() {
            "/api/rows-get" => self.rows_get(request),
            "/api/rows-feed" => self.rows_feed(request),
            "/api/rows-tx" => self.rows_tx(request),
            _ => with_era("HTTP/1.1 404 Not Found", ""),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn rows_get(&self, request: &Message) -> Message {
        let table = request.query("table").unwrap_or_default();
        let from = request
            .query("from")
            .unwrap_or_default()
            .replace("%00", "\0");
        let state = self.state.0.lock().unwrap();
        let rows = state
            .rows
            .iter()
            .filter(|((t, key), row)| t == table && *key >= from && row.value.is_some());
        let rows: Vec<String> = rows.map(|((t, key), row)| row_json(t, key, row)).collect();
        let body = format!(
            r#"{{"rows":[{}],"has_more":false,"ver":{},"now_ms":{}}}"#,
            rows.join(","),
            state.version,
            self.now_ms()
        );
        with_era("HTTP/1.1 200 OK", &body)
    }

    fn rows_feed(&self, request: &Message) -> Message {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let table = request.query("table").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changed = state.rows.iter();
            let changed = changed.filter(|((t, _), row)| t == table && row.version > after);
            let mut rows: Vec<_> = changed.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                let rows: Vec<String> = rows
                    .into_iter()
                    .map(|((t, key), row)| row_json(t, key, row))
                    .collect();
                let body = format!(
                    r#"{{"rows":[{}],"ver":{},"now_ms":{}}}"#,
                    rows.join(","),
                    state.version,
                    self.now_ms()
                );
                return with_era("HTTP/1.1 200 OK", &body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows_tx(&self, request: &Message) -> Message {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        thread::sleep(TRANSACTION_TIME);
        let field = |row: &Json, name: &str| {
            row.get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        for row in body.get("writes").map(Json::list).unwrap_or_default() {
            self.write(
                &field(row, "table"),
                &field(row, "key"),
                Some(field(row, "value")),
            );
        }
        for row in body.get("delete").map(Json::list).unwrap_or_default() {
            self.write(&field(row, "table"), &field(row, "key"), None);
        }
        let version = self.state.0.lock().unwrap().version;
        let body = format!(r#"{{"ver":{version},"now_ms":{}}}"#, self.now_ms());
        with_era("HTTP/1.1 200 OK", &body)
    }
}

fn with_era(start: &str, body: &str) -> Message {
    let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
    Message::new(start, &headers, body.as_bytes())
}

fn row_json(table: &str, key: &str, row: &Row) -> String {
    let tail = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""tombstone":true"#.to_owned(),
    };
    let version = row.version;
    format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},{tail}}}"#)
}
