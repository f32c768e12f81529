//! Client that sends one request through the entry VMs, with retries, and records the result.

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
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Added to the request's own timeout before the client abandons a send.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Request that a caller sends, with its retry limit.
#[derive(Debug, Clone)]
pub struct Request {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service, without the query that carries the token.
    pub path: String,
    /// Whether the request is idempotent; all others are sent with an idempotency key.
    pub idempotent: bool,
    /// Timeout of each send.
    pub timeout: Duration,
    /// Maximum number of sends, the first one included.
    pub max_sends: u32,
    /// Token that the upstream echoes; `None` generates a new one for each request.
    pub token: Option<String>,
}

/// Client with one local address. It caches the last lookup until its TTL expires.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    entry_urls: Vec<String>,
    cached_lookup: Option<(String, Lookup, Instant)>,
    next_entry: usize,
}

impl Caller {
    /// Returns a caller that connects from `address`, or from any local address without
    /// one, and sends its lookups to the VMs at the base URLs in `entry_urls`.
    #[must_use]
    pub fn new(address: Option<IpAddr>, entry_urls: Vec<String>) -> Self {
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
            entry_urls,
            cached_lookup: None,
            next_entry: 0,
        }
    }

    /// Sends a request until it is answered or `max_sends` is reached, and returns its record.
    /// A refusal does not end it. Between sends it waits for the delay in the last refusal, or
    /// for a fixed delay after a send without a response.
    pub async fn send(&mut self, request: &Request) -> Record {
        let new_token = || Uuid::new_v4().simple().to_string();
        let token = request.token.clone().unwrap_or_else(new_token);
        let key = if request.idempotent {
            String::new()
        } else {
            Uuid::now_v7().to_string()
        };
        let start = Instant::now();
        let mut record = Record {
            service: request.service.clone(),
            token,
            key,
            status: Status::NoResponse,
            reason: String::new(),
            sends: 0,
            took_ms: 0.0,
            last_send_ms: 0.0,
            replayed: false,
            target: String::new(),
            retry_after_ms: 0,
        };
        let mut unresolved_sends = 0;
        let mut failed_vms = Vec::new();
        while record.sends < request.max_sends {
            if record.sends > 0 {
                let delay = Duration::from_millis(record.retry_after_ms);
                actix_web::rt::time::sleep(delay).await;
            }
            let vm = self.choose_entry(&request.service, &failed_vms).await;
            record.sends += 1;
            let Some(vm) = vm else {
                record.retry_after_ms = 500;
                failed_vms.clear();
                continue;
            };
            let status = self
                .send_once(&vm.url, request, unresolved_sends, &mut record)
                .await;
            if status == Status::NoResponse {
                failed_vms.push(vm.name);
                record.retry_after_ms = 50;
            }
            let replaces_status =
                status != Status::NoResponse || record.status != Status::MayHaveRun;
            if replaces_status {
                record.status = status;
            }
            match status {
                Status::Answered | Status::WrongResponse => break,
                Status::NotRun => {}
                Status::MayHaveRun | Status::NoResponse => unresolved_sends += 1,
            }
        }
        record.took_ms = millis(start.elapsed());
        record
    }

    /// Sends a request once, with the idempotency key `key`, to the VM at `url`.
    /// `unresolved_sends` is the number of earlier sends of the key whose outcome the
    /// caller doesn't know.
    pub async fn send_to(
        &self,
        url: &str,
        request: &Request,
        key: &str,
        unresolved_sends: u32,
    ) -> Record {
        let mut record = Record {
            service: request.service.clone(),
            token: request.token.clone().unwrap_or_else(|| key.to_owned()),
            key: key.to_owned(),
            status: Status::NoResponse,
            reason: String::new(),
            sends: 1,
            took_ms: 0.0,
            last_send_ms: 0.0,
            replayed: false,
            target: String::new(),
            retry_after_ms: 0,
        };
        record.status = self
            .send_once(url, request, unresolved_sends, &mut record)
            .await;
        record.took_ms = record.last_send_ms;
        record
    }

    /// Returns the lookup result for a service, from the cache while it is valid.
    /// `None` if no VM in `entry_urls` returns a non-empty list.
    pub async fn lookup(&mut self, service: &str) -> Option<Lookup> {
        if let Some((cached_service, lookup, expires_at)) = &self.cached_lookup
            && cached_service == service
            && Instant::now() < *expires_at
        {
            return Some(lookup.clone());
        }
        for _ in 0..self.entry_urls.len() {
            let url = self.entry_urls[self.next_entry % self.entry_urls.len()].clone();
            self.next_entry += 1;
            if let Some(lookup) = self.fetch_lookup(&url, service).await {
                let expires_at = Instant::now() + Duration::from_millis(lookup.ttl_ms);
                self.cached_lookup = Some((service.to_owned(), lookup.clone(), expires_at));
                return Some(lookup);
            }
        }
        None
    }

    /// Looks a service up at one VM; `None` on an error, a timeout or an empty list.
    async fn fetch_lookup(&self, url: &str, service: &str) -> Option<Lookup> {
        let request = self
            .client
            .get(format!("{url}/v1/lookup?service={service}"));
        let fetch = async {
            let mut response = request.send().await.ok()?;
            let body = response.body().await.ok()?;
            serde_json::from_slice::<Lookup>(&body).ok()
        };
        let lookup = actix_web::rt::time::timeout(LOOKUP_TIMEOUT, fetch).await;
        lookup
            .ok()
            .flatten()
            .filter(|lookup| !lookup.vms.is_empty())
    }

    /// Returns the first VM of the lookup result that is not in `failed_vms`. If there is
    /// none, drops the cached result so that the next call looks up again.
    async fn choose_entry(&mut self, service: &str, failed_vms: &[String]) -> Option<Entry> {
        let lookup = self.lookup(service).await?;
        let is_usable = |entry: &&Entry| !failed_vms.contains(&entry.name);
        let found = lookup.vms.iter().find(is_usable).cloned();
        if found.is_none() {
            self.cached_lookup = None;
        }
        found
    }

    /// Sends a request to one VM and enters the result in the record. Returns
    /// [`Status::NoResponse`] on a timeout or a broken connection.
    async fn send_once(
        &self,
        url: &str,
        request: &Request,
        unresolved_sends: u32,
        record: &mut Record,
    ) -> Status {
        let start = Instant::now();
        let exchange = self.exchange(url, request, unresolved_sends, record);
        let send_timeout = request.timeout + TIMEOUT_MARGIN;
        let status = actix_web::rt::time::timeout(send_timeout, exchange).await;
        record.last_send_ms = millis(start.elapsed());
        status.ok().flatten().unwrap_or(Status::NoResponse)
    }

    /// Returns the status of one HTTP exchange, or `None` if no complete response arrived.
    async fn exchange(
        &self,
        url: &str,
        request: &Request,
        unresolved_sends: u32,
        record: &mut Record,
    ) -> Option<Status> {
        let method = Method::from_bytes(request.method.as_bytes()).ok()?;
        let url = format!(
            "{url}/v1/{}{}?token={}",
            request.service, request.path, record.token
        );
        let timeout = request.timeout.as_millis().to_string();
        let mut http_request = self
            .client
            .request(method, url)
            .insert_header((header::TIMEOUT_MS, timeout))
            .insert_header((header::UNRESOLVED, unresolved_sends.to_string()));
        if !record.key.is_empty() {
            http_request =
                http_request.insert_header((header::IDEMPOTENCY_KEY, record.key.as_str()));
        }
        let mut response = http_request.send().await.ok()?;
        let outcome = header_text(&response, header::OUTCOME);
        record.replayed = !header_text(&response, header::REPLAYED).is_empty();
        record.target = header_text(&response, header::TARGET);
        let declared_bytes: Option<usize> = header_text(&response, "content-length").parse().ok();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?;
        if declared_bytes != Some(body.len()) {
            return None;
        }
        if outcome == Outcome::Answered.to_string() {
            let matches_request = has_own_token(&body, &record.token);
            return Some(if matches_request {
                Status::Answered
            } else {
                Status::WrongResponse
            });
        }
        let refusal: Refusal = serde_json::from_slice(&body).ok()?;
        record.reason = refusal.reason.to_string();
        record.retry_after_ms = refusal.retry_after_ms;
        Some(Status::from(refusal.outcome))
    }
}

fn header_text<S>(response: &ClientResponse<S>, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Returns whether both token fields in a body of the stand-in upstream equal `token`.
/// This fails for a truncated body and for one that belongs to another request.
fn has_own_token(body: &[u8], token: &str) -> bool {
    let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) else {
        return false;
    };
    value["token"] == token && value["z_token"] == token
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
