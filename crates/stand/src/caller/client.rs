//! The caller itself.

use {
    super::{Record, Status},
    awc::{Client, ClientResponse, Connector, http::Method},
    std::{
        net::IpAddr,
        time::{Duration, Instant},
    },
    uuid::Uuid,
    wire::{Entry, Lookup, Outcome, Refusal, header},
};

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Time beyond the request's own timeout after which the caller gives a send up.
const MARGIN: Duration = Duration::from_millis(500);

/// What to send.
#[derive(Debug, Clone)]
pub struct Request {
    /// Service to ask.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path behind the service, without the token.
    pub path: String,
    /// Whether it needs a key.
    pub idempotent: bool,
    /// Time the caller gives each send.
    pub timeout: Duration,
    /// Most sends of the request.
    pub max_sends: u32,
    /// Token that makes the request the same each time; a new one without it.
    pub token: Option<String>,
}

/// A caller of one client address. It keeps the last look-up while that lives.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    entries: Vec<String>,
    known: Option<(String, Lookup, Instant)>,
    turn: usize,
}

impl Caller {
    /// A caller at `address` that knows the base URLs of some VMs to ask first.
    #[must_use]
    pub fn new(address: Option<IpAddr>, entries: Vec<String>) -> Self {
        let mut connector = Connector::new().timeout(LOOKUP_TIMEOUT).limit(0);
        if let Some(address) = address {
            connector = connector.local_address(address);
        }
        Self {
            client: Client::builder()
                .connector(connector)
                .disable_timeout()
                .no_default_headers()
                .finish(),
            entries,
            known: None,
            turn: 0,
        }
    }

    /// Sends a request until it has an end: an answer, a doubt that stays, or no
    /// sends left. Waits between sends as told.
    pub async fn send(&mut self, plan: &Request) -> Record {
        let fresh = || Uuid::new_v4().simple().to_string();
        let token = plan.token.clone().unwrap_or_else(fresh);
        let key = if plan.idempotent {
            String::new()
        } else {
            Uuid::now_v7().to_string()
        };
        let start = Instant::now();
        let mut record = Record {
            service: plan.service.clone(),
            token,
            key,
            status: Status::NoAnswer,
            reason: String::new(),
            sends: 0,
            took_ms: 0.0,
            last_send_ms: 0.0,
            replayed: false,
            target: String::new(),
            retry_after_ms: 0,
        };
        let mut unresolved = 0;
        let mut failed = Vec::new();
        while record.sends < plan.max_sends {
            if record.sends > 0 {
                let wait = Duration::from_millis(record.retry_after_ms);
                actix_web::rt::time::sleep(wait).await;
            }
            let vm = self.choose(&plan.service, &failed).await;
            record.sends += 1;
            let Some(vm) = vm else {
                record.retry_after_ms = 500;
                failed.clear();
                continue;
            };
            let told = self.send_once(&vm.url, plan, unresolved, &mut record).await;
            if told == Status::NoAnswer {
                failed.push(vm.name);
                record.retry_after_ms = 50;
            }
            let keeps = told != Status::NoAnswer || record.status != Status::MayHaveRun;
            if keeps {
                record.status = told;
            }
            match told {
                Status::Answered | Status::WrongAnswer => break,
                Status::NotRun => {}
                Status::MayHaveRun | Status::NoAnswer => unresolved += 1,
            }
        }
        record.took_ms = ms(start.elapsed());
        record
    }

    /// Sends a request with a given key to a given VM once.
    pub async fn send_to(&self, url: &str, plan: &Request, key: &str, unresolved: u32) -> Record {
        let mut record = Record {
            service: plan.service.clone(),
            token: plan.token.clone().unwrap_or_else(|| key.to_owned()),
            key: key.to_owned(),
            status: Status::NoAnswer,
            reason: String::new(),
            sends: 1,
            took_ms: 0.0,
            last_send_ms: 0.0,
            replayed: false,
            target: String::new(),
            retry_after_ms: 0,
        };
        record.status = self.send_once(url, plan, unresolved, &mut record).await;
        record.took_ms = record.last_send_ms;
        record
    }

    /// The list of VMs for a service, fresh or still alive.
    pub async fn lookup(&mut self, service: &str) -> Option<Lookup> {
        if let Some((known, lookup, until)) = &self.known
            && known == service
            && Instant::now() < *until
        {
            return Some(lookup.clone());
        }
        for _ in 0..self.entries.len() {
            let url = self.entries[self.turn % self.entries.len()].clone();
            self.turn += 1;
            if let Some(lookup) = self.ask(&url, service).await {
                let until = Instant::now() + Duration::from_millis(lookup.ttl_ms);
                self.known = Some((service.to_owned(), lookup.clone(), until));
                return Some(lookup);
            }
        }
        None
    }

    async fn ask(&self, url: &str, service: &str) -> Option<Lookup> {
        let request = self
            .client
            .get(format!("{url}/v1/lookup?service={service}"));
        let answer = async {
            let mut response = request.send().await.ok()?;
            let body = response.body().await.ok()?;
            serde_json::from_slice::<Lookup>(&body).ok()
        };
        let lookup = actix_web::rt::time::timeout(LOOKUP_TIMEOUT, answer).await;
        lookup
            .ok()
            .flatten()
            .filter(|lookup| !lookup.vms.is_empty())
    }

    async fn choose(&mut self, service: &str, failed: &[String]) -> Option<Entry> {
        let lookup = self.lookup(service).await?;
        let usable = |entry: &&Entry| !failed.contains(&entry.name);
        let found = lookup.vms.iter().find(usable).cloned();
        if found.is_none() {
            self.known = None;
        }
        found
    }

    async fn send_once(
        &self,
        url: &str,
        plan: &Request,
        unresolved: u32,
        record: &mut Record,
    ) -> Status {
        let start = Instant::now();
        let exchange = self.exchange(url, plan, unresolved, record);
        let limit = plan.timeout + MARGIN;
        let told = actix_web::rt::time::timeout(limit, exchange).await;
        record.last_send_ms = ms(start.elapsed());
        told.ok().flatten().unwrap_or(Status::NoAnswer)
    }

    async fn exchange(
        &self,
        url: &str,
        plan: &Request,
        unresolved: u32,
        record: &mut Record,
    ) -> Option<Status> {
        let method = Method::from_bytes(plan.method.as_bytes()).ok()?;
        let full = format!(
            "{url}/v1/{}{}?token={}",
            plan.service, plan.path, record.token
        );
        let timeout = plan.timeout.as_millis().to_string();
        let mut request = self
            .client
            .request(method, full)
            .insert_header((header::TIMEOUT_MS, timeout))
            .insert_header((header::UNRESOLVED, unresolved.to_string()));
        if !record.key.is_empty() {
            request = request.insert_header((header::IDEMPOTENCY_KEY, record.key.as_str()));
        }
        let mut response = request.send().await.ok()?;
        let outcome = text(&response, header::OUTCOME);
        record.replayed = !text(&response, header::REPLAYED).is_empty();
        record.target = text(&response, header::TARGET);
        let declared: Option<usize> = text(&response, "content-length").parse().ok();
        let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        if declared != Some(body.len()) {
            return None;
        }
        if outcome == Outcome::Answered.to_string() {
            let own = is_own(&body, &record.token);
            return Some(if own {
                Status::Answered
            } else {
                Status::WrongAnswer
            });
        }
        let refusal: Refusal = serde_json::from_slice(&body).ok()?;
        record.reason = refusal.reason.to_string();
        record.retry_after_ms = refusal.retry_after_ms;
        Some(Status::from(refusal.outcome))
    }
}

fn text<S>(response: &ClientResponse<S>, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Whether an answer of the stand-in upstream carries the token at both ends.
fn is_own(body: &[u8], token: &str) -> bool {
    let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) else {
        return false;
    };
    value["token"] == token && value["z_token"] == token
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
