//! Calls to another VM.

use {
    crate::{errors::PeerError, run::Context, upstream::Clients},
    actix_web::web::Bytes,
    awc::{
        Client, ClientRequest,
        error::{ConnectError, SendRequestError},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::time::Duration,
    wire::{Document, Forward, Gossip, Member, Reply},
};

const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Forwards a request and waits for the whole answer.
pub(crate) async fn forward_request(
    context: &Context,
    owner: &Member,
    head: &Forward,
    body: &[u8],
    timeout: Duration,
) -> Result<(Reply, Bytes), PeerError> {
    let address = context.node.peer_address(&owner.name, &owner.peer);
    let frame = wire::encode_frame(head, body).map_err(|_| PeerError::Unreachable)?;
    let call = post(&context.clients.unpooled, &address, "/peer/forward").force_close();
    let answer = actix_web::rt::time::timeout(timeout, send(call, frame)).await;
    let answer = answer.unwrap_or(Err(PeerError::ResponseLost))?;
    let (reply, rest) =
        wire::decode_frame::<Reply>(&answer).map_err(|_| PeerError::ResponseLost)?;
    let body = answer.slice_ref(rest);
    Ok((reply, body))
}

/// Exchanges news with another VM.
pub(crate) async fn gossip(
    clients: &Clients,
    address: &str,
    news: &Gossip,
) -> Result<Gossip, PeerError> {
    call(post(&clients.peers, address, "/peer/gossip"), news).await
}

/// Asks another VM to probe a third.
pub(crate) async fn probe_for(
    clients: &Clients,
    helper: &str,
    name: &str,
) -> Result<bool, PeerError> {
    call(post(&clients.peers, helper, "/peer/probe"), name).await
}

/// Gives another VM the control document, and learns which version it has then.
pub(crate) async fn push_document(
    clients: &Clients,
    address: &str,
    document: &Document,
) -> Result<u64, PeerError> {
    call(post(&clients.peers, address, "/peer/control"), document).await
}

/// Reads the control document of another VM.
pub(crate) async fn pull_document(
    clients: &Clients,
    address: &str,
) -> Result<Option<Document>, PeerError> {
    call(post(&clients.peers, address, "/peer/document"), &()).await
}

fn post(client: &Client, address: &str, path: &str) -> ClientRequest {
    client.post(format!("http://{address}{path}"))
}

async fn call<A, R>(request: ClientRequest, argument: &A) -> Result<R, PeerError>
where
    A: Serialize + ?Sized,
    R: DeserializeOwned,
{
    let body = rmp_serde::to_vec(argument).map_err(|_| PeerError::Unreachable)?;
    let answer = send(request, body).await?;
    wire::decode(&answer).map_err(|_| PeerError::ResponseLost)
}

async fn send(request: ClientRequest, body: Vec<u8>) -> Result<Bytes, PeerError> {
    let mut response = request.send_body(body).await.map_err(|e| classify(&e))?;
    let declared = response.headers().get("content-length").cloned();
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let body = response.body().limit(MAX_MESSAGE_BYTES).await;
    let body = body.map_err(|_| PeerError::ResponseLost)?;
    let whole = declared == Some(body.len());
    if response.status().is_success() && whole {
        return Ok(body);
    }
    Err(PeerError::ResponseLost)
}

/// Only a failure to connect proves that nothing was sent.
fn classify(error: &SendRequestError) -> PeerError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => PeerError::ResponseLost,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PeerError::Unreachable,
        _ => PeerError::ResponseLost,
    }
}
