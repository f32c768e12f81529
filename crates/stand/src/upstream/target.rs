//! One target: accepts connections, runs requests within its slots and injects faults.

use {
    super::{
        http::{self, Request},
        log::{Log, Run, unix_time_ms},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a silent target withholds its response.
const SILENCE_DURATION: Duration = Duration::from_mins(10);
const PADDING_BYTES: usize = 600;

/// Fault of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Runs requests and never responds.
    Silent,
    /// Stops responding on connections that are open when the fault is set; new ones work.
    SilenceOpen,
    /// Closes the connection in the middle of each response.
    #[serde(rename = "cut-answers")]
    CutResponses,
    /// Sends two content-length headers with each response.
    TwoLengths,
    /// Runs requests and answers with this status, in three digits or more.
    Status(u16),
    /// Refuses every request without running it.
    Shed,
    /// Does not listen, so that connections are refused.
    Down,
}

/// Behaviour of a target, which can be changed while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Behaviour {
    /// Mean service time, in milliseconds.
    pub service_ms: f64,
    /// Fault to inject.
    #[serde(default)]
    pub fault: Fault,
    /// Time for which a target is down after a crash, in milliseconds.
    #[serde(default = "default_restart_ms")]
    pub restart_ms: u64,
}

fn default_restart_ms() -> u64 {
    1000
}

/// Fixed properties of a target.
#[derive(Debug, Clone)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: String,
    /// Name of its service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Running target.
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    behaviour: Mutex<Behaviour>,
    rng: Mutex<StdRng>,
    /// Number of requests in progress, those that are being refused included.
    running: AtomicU32,
    /// Incremented by each crash; connections of an earlier incarnation are closed.
    incarnation: AtomicU64,
    /// End of the outage after a crash, in milliseconds since the Unix epoch.
    down_until_ms: AtomicU64,
    /// Incremented by [`Fault::SilenceOpen`]; connections that were opened under a lower
    /// value get no more responses.
    silence_epoch: AtomicU64,
    /// Whether the listener is open.
    is_listening: AtomicBool,
    log: Arc<Log>,
}

impl Target {
    pub(crate) fn new(spec: TargetSpec, behaviour: Behaviour, seed: u64, log: Arc<Log>) -> Self {
        Self {
            spec,
            behaviour: Mutex::new(behaviour),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            running: AtomicU32::new(0),
            incarnation: AtomicU64::new(0),
            down_until_ms: AtomicU64::new(0),
            silence_epoch: AtomicU64::new(0),
            is_listening: AtomicBool::new(false),
            log,
        }
    }

    /// Waits until connections are refused, if the target is set to [`Fault::Down`]. Before that, one
    /// that is opened may be reset when the listener closes.
    pub(crate) async fn wait_until_closed(&self) {
        while self.behaviour().fault == Fault::Down && self.is_listening.load(Ordering::SeqCst) {
            actix_web::rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) fn behaviour(&self) -> Behaviour {
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        if behaviour.fault == Fault::SilenceOpen {
            self.silence_epoch.fetch_add(1, Ordering::SeqCst);
        }
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    fn is_down(&self) -> bool {
        self.behaviour().fault == Fault::Down
            || unix_time_ms() < self.down_until_ms.load(Ordering::SeqCst)
    }

    /// Closes all connections, and takes the target down for `restart_ms`.
    fn crash(&self) {
        let down_until_ms = unix_time_ms() + self.behaviour().restart_ms;
        self.down_until_ms.store(down_until_ms, Ordering::SeqCst);
        self.incarnation.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns a random service time, uniform between 0.5 and 1.5 times the mean.
    fn sample_service_time(&self) -> Duration {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let factor = rng.random_range(0.5..1.5);
        Duration::from_secs_f64(self.behaviour().service_ms * factor / 1000.0)
    }
}

/// Serves connections, and closes the listener while the target is down.
pub(crate) async fn serve(target: Arc<Target>) -> io::Result<()> {
    loop {
        let listener = TcpListener::bind(target.spec.address).await?;
        target.is_listening.store(true, Ordering::SeqCst);
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let _ = stream.set_nodelay(true);
                        actix_web::rt::spawn(serve_connection(stream, target.clone()));
                    }
                }
                () = wait_until_down(&target) => break,
            }
        }
        drop(listener);
        target.is_listening.store(false, Ordering::SeqCst);
        while target.is_down() {
            actix_web::rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn wait_until_down(target: &Target) {
    while !target.is_down() {
        actix_web::rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn serve_connection(mut stream: TcpStream, target: Arc<Target>) {
    let incarnation = target.incarnation.load(Ordering::SeqCst);
    let silence_epoch = target.silence_epoch.load(Ordering::SeqCst);
    let mut pending = Vec::new();
    loop {
        let read = tokio::select! {
            read = http::read_request(&mut stream, &mut pending) => read,
            () = wait_for_crash(&target, incarnation) => return,
        };
        let Ok(Some(request)) = read else {
            return;
        };
        if target.silence_epoch.load(Ordering::SeqCst) != silence_epoch {
            actix_web::rt::time::sleep(SILENCE_DURATION).await;
            return;
        }
        let closes = request.closes_connection;
        if handle_request(&mut stream, &target, incarnation, &request)
            .await
            .is_err()
            || closes
        {
            return;
        }
    }
}

async fn wait_for_crash(target: &Target, incarnation: u64) {
    while target.incarnation.load(Ordering::SeqCst) == incarnation {
        actix_web::rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Decrements the number of running requests when it is dropped.
struct RunningGuard<'a>(&'a Target);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Runs one request, or refuses it, and writes the response. An error means that the
/// connection is to be closed.
async fn handle_request(
    stream: &mut TcpStream,
    target: &Target,
    incarnation: u64,
    request: &Request,
) -> io::Result<()> {
    let past_deadline = request
        .deadline_ms
        .is_some_and(|deadline| unix_time_ms() > deadline);
    let fault = target.behaviour().fault;
    let running = target.running.fetch_add(1, Ordering::SeqCst) + 1;
    let _guard = RunningGuard(target);
    if past_deadline || fault == Fault::Shed || running > target.spec.slots {
        target.log.count_shed();
        return http::write_response(stream, 503, "x-shed: not-run\r\n", "{}", None).await;
    }
    log_run(target, request, running);
    // A path with this text crashes the target, to test crash detection.
    if request.path.contains("poison") {
        target.crash();
    }
    let service_time = if fault == Fault::Silent {
        SILENCE_DURATION
    } else {
        target.sample_service_time()
    };
    tokio::select! {
        () = actix_web::rt::time::sleep(service_time) => {}
        () = wait_for_crash(target, incarnation) => return Err(io::Error::other("target crashed")),
        () = wait_for_disconnect(stream) => return Err(io::Error::other("client closed the connection")),
    }
    let body = response_body(target, request);
    let max_body_bytes = (fault == Fault::CutResponses).then_some(body.len() / 2);
    let second_length = match fault {
        Fault::TwoLengths => "content-length: 2\r\n",
        _ => "",
    };
    let extra_headers = format!("x-request-id: {}\r\n{second_length}", request.id);
    let status = match fault {
        Fault::Status(status) => status,
        _ => 200,
    };
    http::write_response(stream, status, &extra_headers, &body, max_body_bytes).await?;
    if max_body_bytes.is_some() || status != 200 {
        return Err(io::Error::other(
            "response truncated, or with another status",
        ));
    }
    Ok(())
}

/// Returns when the client has closed the connection.
async fn wait_for_disconnect(stream: &TcpStream) {
    let mut byte = [0; 1];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => actix_web::rt::time::sleep(POLL_INTERVAL).await,
        }
    }
}

fn log_run(target: &Target, request: &Request, running: u32) {
    target.log.add_run(Run {
        target: target.spec.name.clone(),
        zone: target.spec.zone.clone(),
        service: target.spec.service.clone(),
        key: request.idempotency_key.clone(),
        path: request.path.clone(),
        request_id: request.id.clone(),
        started_at_ms: unix_time_ms(),
        running,
        slots: target.spec.slots,
    });
}

/// Returns a body that contains the request's token twice, the second time in its last
/// field, so that a truncated response or one to another request is detected.
fn response_body(target: &Target, request: &Request) -> String {
    let token = request
        .path
        .split_once("token=")
        .map_or("", |(_, token)| token);
    json!({
        "token": token,
        "target": target.spec.name,
        "body_bytes": request.body.len(),
        "pad": "x".repeat(PADDING_BYTES),
        "z_token": token,
    })
    .to_string()
}
