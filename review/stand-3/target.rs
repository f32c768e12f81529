//! Stand-in for a target ("server" on the users' pages).

use {
    crate::{
        http::{self, Message},
        store::Store,
        world::Record,
    },
    std::{
        collections::HashMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Interval of the liveness reports (`heartbeat_ms`).
pub const BEAT: Duration = Duration::from_millis(1500);
const POLL: Duration = Duration::from_millis(5);

/// What a target does with a request that names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    Run,
    /// It crashes as soon as it begins to run the request.
    Crash,
    /// It crashes while it runs the request, when half of its answer is sent.
    CrashMidway,
}

type React = Arc<dyn Fn(&Message) -> Reaction + Send + Sync>;

#[derive(Clone)]
pub struct Spec {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    pub react: React,
    /// Time after a crash until the target is back.
    pub down: Duration,
}

/// A request that reached a target and was not answered 421.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub target: String,
    pub id: String,
    pub path: String,
    pub reaction: Reaction,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// One boot of a target.
struct Boot {
    id: String,
    born_ms: u128,
    is_over: AtomicBool,
    load: Mutex<Load>,
    freed: Condvar,
    streams: Mutex<HashMap<u64, TcpStream>>,
    next_stream: AtomicU64,
}

pub struct Target {
    spec: Spec,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
    store: Store,
    is_stopped: Arc<AtomicBool>,
    boot: Mutex<Option<Arc<Boot>>>,
}

impl Target {
    pub fn start(
        spec: Spec,
        store: &Store,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> Arc<Self> {
        let target = Arc::new(Self {
            spec,
            arrivals: arrivals.clone(),
            record: record.clone(),
            store: store.clone(),
            is_stopped: Arc::default(),
            boot: Mutex::default(),
        });
        let running = target.clone();
        thread::spawn(move || running.run());
        target
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(boot) = self.boot.lock().unwrap().as_ref() {
            boot.end();
        }
    }

    fn run(self: &Arc<Self>) {
        for number in 1.. {
            if self.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let listener = loop {
                match TcpListener::bind(self.spec.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(POLL),
                }
            };
            let since_epoch = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let boot = Arc::new(Boot {
                id: format!("i-{}-{number}", self.spec.name),
                born_ms: since_epoch.as_millis(),
                is_over: AtomicBool::new(false),
                load: Mutex::default(),
                freed: Condvar::new(),
                streams: Mutex::default(),
                next_stream: AtomicU64::new(0),
            });
            self.record
                .line(&format!("target {} starts as {}", self.spec.name, boot.id));
            *self.boot.lock().unwrap() = Some(boot.clone());
            let (reporting, reported) = (self.clone(), boot.clone());
            thread::spawn(move || reporting.report(&reported));
            listener
                .set_nonblocking(true)
                .expect("non-blocking listener");
            while !boot.is_over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (target, boot) = (self.clone(), boot.clone());
                        thread::spawn(move || target.serve(&boot, stream));
                    }
                    Err(_) => thread::sleep(POLL),
                }
            }
            drop(listener);
            boot.close_streams();
            self.record.line(&format!("target {} has crashed", boot.id));
            thread::sleep(self.spec.down);
        }
    }

    /// Writes the entry of a boot at its start. It goes after three beats of silence.
    fn report(&self, boot: &Boot) {
        let spec = &self.spec;
        let entry = format!(
            r#"{{"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"ready","sequence":0,"warmup_left_ms":0}},"born":{}}}"#,
            spec.address, spec.service, spec.zone, spec.slots, boot.born_ms
        );
        self.store.put("servers", &boot.id, &entry);
        self.record.line(&format!("entry of {} written", boot.id));
        while !boot.is_over.load(Ordering::SeqCst) {
            thread::sleep(POLL);
        }
        thread::sleep(BEAT * 3);
        if !self.is_stopped.load(Ordering::SeqCst) {
            self.store.expire("servers", &boot.id);
        }
    }

    fn serve(&self, boot: &Arc<Boot>, stream: TcpStream) {
        let number = boot.next_stream.fetch_add(1, Ordering::SeqCst);
        let (Ok(reader), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        boot.streams.lock().unwrap().insert(number, kept);
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut stream = stream;
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if boot.is_over.load(Ordering::SeqCst) {
                break;
            }
            let Some(answer) = self.handle(boot, &request, &stream) else {
                break;
            };
            if stream.write_all(&answer.bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        boot.streams.lock().unwrap().remove(&number);
    }

    /// Returns the answer, or `None` if the connection ends without one.
    fn handle(&self, boot: &Arc<Boot>, request: &Message, stream: &TcpStream) -> Option<Message> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let now = Instant::now();
        if request.path() == "/health" {
            let headers = [("X-Instance-Id", boot.id.as_str()), ("X-Warmup-Ms", "0")];
            return Some(Message::new("HTTP/1.1 200 OK", &headers, b""));
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != boot.id)
        {
            let headers = [("X-Instance-Id", boot.id.as_str()), ("X-Request-Id", &id)];
            return Some(Message::new(
                "HTTP/1.1 421 Misdirected Request",
                &headers,
                b"",
            ));
        }
        let reaction = (self.spec.react)(request);
        self.arrivals.lock().unwrap().push(Arrival {
            at: now,
            target: boot.id.clone(),
            id: id.clone(),
            path: request.path().to_owned(),
            reaction,
        });
        match reaction {
            Reaction::Crash => {
                boot.end();
                boot.close_streams();
                return None;
            }
            Reaction::Run | Reaction::CrashMidway => {}
        }
        if !boot.enter(self.spec.slots) {
            let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str())];
            return Some(Message::new(
                "HTTP/1.1 503 Service Unavailable",
                &headers,
                b"",
            ));
        }
        let is_done = boot.work(self.spec.work, stream);
        let load = boot.leave(self.spec.slots);
        if !is_done {
            return None;
        }
        let seal = format!("seal-{id}");
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Seal", &seal),
            ("X-Server-Load", &load),
            ("Keep-Alive", "timeout=10"),
        ];
        let body = format!("answer to {id}");
        let answer = Message::new("HTTP/1.1 200 OK", &headers, body.as_bytes());
        if reaction == Reaction::CrashMidway {
            let bytes = answer.bytes();
            let _ = (&*stream).write_all(&bytes[..bytes.len() - body.len() / 2]);
            thread::sleep(POLL);
            boot.end();
            boot.close_streams();
            return None;
        }
        Some(answer)
    }
}

impl Boot {
    fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.freed.notify_all();
    }

    fn close_streams(&self) {
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Waits for a slot. Returns false if the queue is full or the boot is over.
    fn enter(&self, slots: usize) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= slots && load.waiting >= 3 * slots {
            return false;
        }
        load.waiting += 1;
        while load.running >= slots && !self.is_over.load(Ordering::SeqCst) {
            load = self.freed.wait_timeout(load, POLL).unwrap().0;
        }
        load.waiting -= 1;
        load.running += 1;
        !self.is_over.load(Ordering::SeqCst)
    }

    /// Frees the slot and returns the load for `X-Server-Load`.
    fn leave(&self, slots: usize) -> String {
        let mut load = self.load.lock().unwrap();
        load.running -= 1;
        self.freed.notify_one();
        format!("{},{},{slots}", load.running, load.waiting)
    }

    /// Works for a time. Returns false if the caller leaves or the boot ends before.
    fn work(&self, time: Duration, stream: &TcpStream) -> bool {
        let until = Instant::now() + time;
        let _ = stream.set_read_timeout(Some(POLL));
        let mut is_open = true;
        while is_open && Instant::now() < until && !self.is_over.load(Ordering::SeqCst) {
            let step = POLL.min(until.saturating_duration_since(Instant::now()));
            match stream.peek(&mut [0]) {
                Ok(0) => is_open = false,
                Ok(_) => thread::sleep(step),
                Err(_) => {}
            }
        }
        let _ = stream.set_read_timeout(None);
        is_open && !self.is_over.load(Ordering::SeqCst)
    }
}
