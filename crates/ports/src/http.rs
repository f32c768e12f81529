//! Adapter for a platform with an HTTP interface that carries JSON.

use {
    crate::{Call, Objects, Platform, PlatformError, Table, Vms},
    awc::{
        Client, ClientRequest, Connector,
        error::{ConnectError, SendRequestError},
        http::StatusCode,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{rc::Rc, time::Duration},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Returns ports that call the platform at `base_url`. It opens no connection yet.
#[must_use]
pub fn build_platform(base_url: &str) -> Platform {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT);
    let client = Client::builder()
        .connector(connector)
        .timeout(CALL_TIMEOUT)
        .finish();
    let http = Rc::new(HttpClient {
        client,
        base_url: base_url.trim_end_matches('/').to_owned(),
    });
    Platform {
        table: build_table(&http),
        objects: build_objects(&http),
        vms: build_vms(&http),
    }
}

struct HttpClient {
    client: Client,
    base_url: String,
}

impl HttpClient {
    fn post(&self, path: &str) -> ClientRequest {
        self.client.post(format!("{}{path}", self.base_url))
    }

    fn get(&self, path: &str) -> ClientRequest {
        self.client.get(format!("{}{path}", self.base_url))
    }
}

fn build_table(http: &Rc<HttpClient>) -> Table {
    Table {
        commit: build_json_call(http, "/table/commit"),
        get: build_json_call(http, "/table/get"),
        delete_range: build_json_call(http, "/table/sweep"),
    }
}

/// Returns a port function that posts its argument as JSON and parses the response as JSON.
fn build_json_call<A, R>(http: &Rc<HttpClient>, path: &'static str) -> Call<A, R>
where
    A: Serialize + 'static,
    R: DeserializeOwned + 'static,
{
    let http = http.clone();
    Rc::new(move |argument: A| {
        let request = http.post(path);
        Box::pin(async move { send_json(request, &argument).await })
    })
}

fn build_objects(http: &Rc<HttpClient>) -> Objects {
    let (get_http, put_http) = (http.clone(), http.clone());
    Objects {
        get: Rc::new(move |name: String| {
            let request = get_http.get(&format!("/objects/{name}"));
            Box::pin(read_object(request))
        }),
        put: Rc::new(move |(name, bytes): (String, Vec<u8>)| {
            let request = put_http.post(&format!("/objects/{name}"));
            Box::pin(async move { send_bytes(request, bytes).await.map(drop) })
        }),
    }
}

fn build_vms(http: &Rc<HttpClient>) -> Vms {
    let list_http = http.clone();
    Vms {
        list: Rc::new(move |()| {
            let request = list_http.get("/vms");
            Box::pin(async move { parse_json(&send_bytes(request, Vec::new()).await?) })
        }),
    }
}

async fn send_json<A: Serialize, R: DeserializeOwned>(
    request: ClientRequest,
    argument: &A,
) -> Result<R, PlatformError> {
    let body = serde_json::to_vec(argument).map_err(|_| PlatformError::Unreachable)?;
    let response = send_bytes(request, body).await?;
    parse_json(&response)
}

fn parse_json<R: DeserializeOwned>(bytes: &[u8]) -> Result<R, PlatformError> {
    serde_json::from_slice(bytes).map_err(|_| PlatformError::ResponseLost)
}

async fn read_object(request: ClientRequest) -> Result<Option<Vec<u8>>, PlatformError> {
    match send_bytes(request, Vec::new()).await {
        Ok(bytes) => Ok(Some(bytes)),
        Err(PlatformError::Rejected(status)) if status == StatusCode::NOT_FOUND => Ok(None),
        Err(error) => Err(error),
    }
}

async fn send_bytes(request: ClientRequest, body: Vec<u8>) -> Result<Vec<u8>, PlatformError> {
    let mut response = request
        .send_body(body)
        .await
        .map_err(|error| classify_send_error(&error))?;
    let status = response.status();
    let bytes = response.body().limit(MAX_RESPONSE_BYTES).await;
    let bytes = bytes.map_err(|_| PlatformError::ResponseLost)?;
    if status.is_success() {
        return Ok(bytes.to_vec());
    }
    Err(PlatformError::Rejected(status.as_u16()))
}

/// Maps an error of sending a request. Only a failure to connect proves that nothing was sent;
/// after any other error the request may have taken effect.
fn classify_send_error(error: &SendRequestError) -> PlatformError {
    match error {
        // awc also returns this error if an open connection is closed before a response arrives;
        // the request may already have been sent.
        SendRequestError::Connect(ConnectError::Disconnected) => PlatformError::ResponseLost,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PlatformError::Unreachable,
        _ => PlatformError::ResponseLost,
    }
}
