//! One target: its slots, its clock and its faults.

use {
    super::{
        http::{self, Request},
        log::{Log, Run, wall_ms},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
};

const POLL: Duration = Duration::from_millis(10);
const SILENCE: Duration = Duration::from_mins(10);
const PAD_BYTES: usize = 600;

/// How a target fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// It runs requests and never answers.
    Silent,
    /// Connections that are open go silent for good; new ones work.
    SilenceOpen,
    /// It breaks off in the middle of each answer.
    CutAnswers,
    /// It states two lengths of each answer.
    TwoLengths,
    /// It refuses every request as not run.
    Shed,
    /// It accepts no connection.
    Down,
}

/// What can be changed of a target while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Behaviour {
    /// Mean time of a run, in milliseconds.
    pub service_ms: f64,
    /// How it fails.
    #[serde(default)]
    pub fault: Fault,
    /// Time a target is down after it crashed, in milliseconds.
    #[serde(default = "default_restart_ms")]
    pub restart_ms: u64,
}

fn default_restart_ms() -> u64 {
    1000
}

/// What a target is.
#[derive(Debug, Clone)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: String,
    /// Service it belongs to.
    pub service: String,
    /// Availability zone it stands in.
    pub zone: String,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
}

/// One target at work.
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    behaviour: Mutex<Behaviour>,
    random: Mutex<StdRng>,
    running: AtomicU32,
    /// Raised by each crash; connections of an earlier life are closed.
    life: AtomicU64,
    down_until_ms: AtomicU64,
    /// Raised when open connections go silent.
    silenced: AtomicU64,
    log: Arc<Log>,
}

impl Target {
    pub(crate) fn new(spec: TargetSpec, behaviour: Behaviour, seed: u64, log: Arc<Log>) -> Self {
        Self {
            spec,
            behaviour: Mutex::new(behaviour),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            running: AtomicU32::new(0),
            life: AtomicU64::new(0),
            down_until_ms: AtomicU64::new(0),
            silenced: AtomicU64::new(0),
            log,
        }
    }

    pub(crate) fn behaviour(&self) -> Behaviour {
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set(&self, behaviour: Behaviour) {
        if behaviour.fault == Fault::SilenceOpen {
            self.silenced.fetch_add(1, Ordering::SeqCst);
        }
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    fn down(&self) -> bool {
        self.behaviour().fault == Fault::Down
            || wall_ms() < self.down_until_ms.load(Ordering::SeqCst)
    }

    fn crash(&self) {
        let until = wall_ms() + self.behaviour().restart_ms;
        self.down_until_ms.store(until, Ordering::SeqCst);
        self.life.fetch_add(1, Ordering::SeqCst);
    }

    /// A service time between half and one and a half of the mean.
    fn service_time(&self) -> Duration {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let factor = random.random_range(0.5..1.5);
        Duration::from_secs_f64(self.behaviour().service_ms * factor / 1000.0)
    }
}

/// Accepts connections, and none while the target is down.
pub(crate) async fn run(target: Arc<Target>) -> io::Result<()> {
    loop {
        let listener = TcpListener::bind(target.spec.address).await?;
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let _ = stream.set_nodelay(true);
                        actix_web::rt::spawn(connection(stream, target.clone()));
                    }
                }
                () = until_down(&target) => break,
            }
        }
        drop(listener);
        while target.down() {
            actix_web::rt::time::sleep(POLL).await;
        }
    }
}

async fn until_down(target: &Target) {
    while !target.down() {
        actix_web::rt::time::sleep(POLL).await;
    }
}

async fn connection(mut stream: TcpStream, target: Arc<Target>) {
    let life = target.life.load(Ordering::SeqCst);
    let silenced = target.silenced.load(Ordering::SeqCst);
    let mut pending = Vec::new();
    loop {
        let read = tokio::select! {
            read = http::read(&mut stream, &mut pending) => read,
            () = until_dead(&target, life) => return,
        };
        let Ok(Some(request)) = read else {
            return;
        };
        if target.silenced.load(Ordering::SeqCst) != silenced {
            actix_web::rt::time::sleep(SILENCE).await;
            return;
        }
        let close = request.close;
        if answer(&mut stream, &target, life, &request).await.is_err() || close {
            return;
        }
    }
}

async fn until_dead(target: &Target, life: u64) {
    while target.life.load(Ordering::SeqCst) == life {
        actix_web::rt::time::sleep(POLL).await;
    }
}

/// Counts a run for as long as it lasts.
struct Running<'a>(&'a Target);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer(
    stream: &mut TcpStream,
    target: &Target,
    life: u64,
    request: &Request,
) -> io::Result<()> {
    let late = request
        .deadline_ms
        .is_some_and(|deadline| wall_ms() > deadline);
    let fault = target.behaviour().fault;
    let running = target.running.fetch_add(1, Ordering::SeqCst) + 1;
    let _running = Running(target);
    if late || fault == Fault::Shed || running > target.spec.slots {
        target.log.note_shed();
        return http::write(stream, 503, "x-shed: not-run\r\n", "{}", None).await;
    }
    note_run(target, request, running);
    if request.path.contains("poison") {
        target.crash();
    }
    let time = if fault == Fault::Silent {
        SILENCE
    } else {
        target.service_time()
    };
    tokio::select! {
        () = actix_web::rt::time::sleep(time) => {}
        () = until_dead(target, life) => return Err(io::Error::other("crashed")),
        () = until_cancelled(stream) => return Err(io::Error::other("cancelled")),
    }
    let body = body(target, request);
    let cut = (fault == Fault::CutAnswers).then_some(body.len() / 2);
    let second = match fault {
        Fault::TwoLengths => "content-length: 2\r\n",
        _ => "",
    };
    let echo = format!("x-request-id: {}\r\n{second}", request.id);
    http::write(stream, 200, &echo, &body, cut).await?;
    if cut.is_some() {
        return Err(io::Error::other("answer cut"));
    }
    Ok(())
}

/// Ends when the other side has closed the connection.
async fn until_cancelled(stream: &TcpStream) {
    let mut byte = [0; 1];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => actix_web::rt::time::sleep(POLL).await,
        }
    }
}

fn note_run(target: &Target, request: &Request, running: u32) {
    target.log.add(Run {
        target: target.spec.name.clone(),
        zone: target.spec.zone.clone(),
        service: target.spec.service.clone(),
        key: request.key.clone(),
        path: request.path.clone(),
        request_id: request.id.clone(),
        started_at_ms: wall_ms(),
        running,
        slots: target.spec.slots,
    });
}

/// An answer that names its request at both ends, so that a mixed-up or cut one shows.
fn body(target: &Target, request: &Request) -> String {
    let token = request
        .path
        .split_once("token=")
        .map_or("", |(_, token)| token);
    json!({
        "token": token,
        "target": target.spec.name,
        "body_bytes": request.body.len(),
        "pad": "x".repeat(PAD_BYTES),
        "z_token": token,
    })
    .to_string()
}
