//! Adapter for the platform's HTTP interface in JSON.

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
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Fills the ports with calls to the platform at `base`.
#[must_use]
pub fn build_platform(base: &str) -> Platform {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT);
    let client = Client::builder()
        .connector(connector)
        .timeout(CALL_TIMEOUT)
        .finish();
    let caller = Rc::new(Caller {
        client,
        base: base.trim_end_matches('/').to_owned(),
    });
    Platform {
        table: table(&caller),
        objects: objects(&caller),
        vms: vms(&caller),
    }
}

struct Caller {
    client: Client,
    base: String,
}

impl Caller {
    fn post(&self, path: &str) -> ClientRequest {
        self.client.post(format!("{}{path}", self.base))
    }

    fn get(&self, path: &str) -> ClientRequest {
        self.client.get(format!("{}{path}", self.base))
    }
}

fn table(caller: &Rc<Caller>) -> Table {
    Table {
        commit: json_call(caller, "/table/commit"),
        get: json_call(caller, "/table/get"),
        delete_range: json_call(caller, "/table/sweep"),
    }
}

/// A port's call that posts its argument and reads its result as JSON.
fn json_call<A, R>(caller: &Rc<Caller>, path: &'static str) -> Call<A, R>
where
    A: Serialize + 'static,
    R: DeserializeOwned + 'static,
{
    let caller = caller.clone();
    Rc::new(move |argument: A| {
        let request = caller.post(path);
        Box::pin(async move { call(request, &argument).await })
    })
}

fn objects(caller: &Rc<Caller>) -> Objects {
    let (get, put) = (caller.clone(), caller.clone());
    Objects {
        get: Rc::new(move |name: String| {
            let request = get.get(&format!("/objects/{name}"));
            Box::pin(read_object(request))
        }),
        put: Rc::new(move |(name, bytes): (String, Vec<u8>)| {
            let request = put.post(&format!("/objects/{name}"));
            Box::pin(async move { send_bytes(request, bytes).await.map(drop) })
        }),
    }
}

fn vms(caller: &Rc<Caller>) -> Vms {
    let list = caller.clone();
    Vms {
        list: Rc::new(move |()| {
            let request = list.get("/vms");
            Box::pin(async move { parse(&send_bytes(request, Vec::new()).await?) })
        }),
    }
}

async fn call<A: Serialize, R: DeserializeOwned>(
    request: ClientRequest,
    argument: &A,
) -> Result<R, PlatformError> {
    let body = serde_json::to_vec(argument).map_err(|_| PlatformError::Unreachable)?;
    let answer = send_bytes(request, body).await?;
    parse(&answer)
}

fn parse<R: DeserializeOwned>(bytes: &[u8]) -> Result<R, PlatformError> {
    serde_json::from_slice(bytes).map_err(|_| PlatformError::ResponseLost)
}

async fn read_object(request: ClientRequest) -> Result<Option<Vec<u8>>, PlatformError> {
    match send_bytes(request, Vec::new()).await {
        Ok(bytes) => Ok(Some(bytes)),
        Err(PlatformError::Refused(status)) if status == StatusCode::NOT_FOUND => Ok(None),
        Err(error) => Err(error),
    }
}

async fn send_bytes(request: ClientRequest, body: Vec<u8>) -> Result<Vec<u8>, PlatformError> {
    let mut response = request.send_body(body).await.map_err(|e| sent(&e))?;
    let status = response.status();
    let bytes = response.body().limit(MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|_| PlatformError::ResponseLost)?;
    if status.is_success() {
        return Ok(bytes.to_vec());
    }
    Err(PlatformError::Refused(status.as_u16()))
}

/// Only a failure to connect proves that nothing was sent.
fn sent(error: &SendRequestError) -> PlatformError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => PlatformError::ResponseLost,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PlatformError::Unreachable,
        _ => PlatformError::ResponseLost,
    }
}
