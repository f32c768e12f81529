//! HTTP calls to other VMs, with `MessagePack` bodies.

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

/// Forwards a request to the owner of its pool and returns the reply with the response
/// body. Fails with [`PeerError::ResponseLost`] if no response arrives within `timeout`.
pub(crate) async fn forward_request(
    context: &Context,
    owner: &Member,
    head: &Forward,
    body: &[u8],
    timeout: Duration,
) -> Result<(Reply, Bytes), PeerError> {
    let address = context.node.peer_address(&owner.name, &owner.peer);
    let frame = wire::encode_frame(head, body).map_err(|_| PeerError::Unreachable)?;
    let request = post(&context.clients.unpooled, &address, "/peer/forward").force_close();
    let response = actix_web::rt::time::timeout(timeout, send_bytes(request, frame)).await;
    let response = response.unwrap_or(Err(PeerError::ResponseLost))?;
    let (reply, response_body) =
        wire::decode_frame::<Reply>(&response).map_err(|_| PeerError::ResponseLost)?;
    let body = response.slice_ref(response_body);
    Ok((reply, body))
}

/// Sends a gossip message to another VM and returns the message that it sends back.
pub(crate) async fn gossip(
    clients: &Clients,
    address: &str,
    message: &Gossip,
) -> Result<Gossip, PeerError> {
    call(post(&clients.peers, address, "/peer/gossip"), message).await
}

/// Asks the VM at `helper_address` to probe the member `member_name`; returns whether
/// that member responded to it.
pub(crate) async fn probe_indirectly(
    clients: &Clients,
    helper_address: &str,
    member_name: &str,
) -> Result<bool, PeerError> {
    call(
        post(&clients.peers, helper_address, "/peer/probe"),
        member_name,
    )
    .await
}

/// Sends the control document to another VM and returns the version that is then in
/// force there.
pub(crate) async fn push_document(
    clients: &Clients,
    address: &str,
    document: &Document,
) -> Result<u64, PeerError> {
    call(post(&clients.peers, address, "/peer/control"), document).await
}

/// Returns the control document that is in force on another VM, or `None` if it has
/// none yet.
pub(crate) async fn pull_document(
    clients: &Clients,
    address: &str,
) -> Result<Option<Document>, PeerError> {
    call(post(&clients.peers, address, "/peer/document"), &()).await
}

fn post(client: &Client, address: &str, path: &str) -> ClientRequest {
    client.post(format!("http://{address}{path}"))
}

/// Sends `argument` as the request body and decodes the response body.
async fn call<A, R>(request: ClientRequest, argument: &A) -> Result<R, PeerError>
where
    A: Serialize + ?Sized,
    R: DeserializeOwned,
{
    let body = rmp_serde::to_vec(argument).map_err(|_| PeerError::Unreachable)?;
    let response = send_bytes(request, body).await?;
    wire::decode(&response).map_err(|_| PeerError::ResponseLost)
}

/// Sends a request body and returns the response body. A response with an error status,
/// or whose body does not match its `content-length`, counts as lost.
async fn send_bytes(request: ClientRequest, body: Vec<u8>) -> Result<Bytes, PeerError> {
    let mut response = request
        .send_body(body)
        .await
        .map_err(|e| classify_send_error(&e))?;
    let content_length = response.headers().get("content-length").cloned();
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let body = response.body().limit(MAX_MESSAGE_BYTES).await;
    let body = body.map_err(|_| PeerError::ResponseLost)?;
    let is_complete = content_length == Some(body.len());
    if response.status().is_success() && is_complete {
        return Ok(body);
    }
    Err(PeerError::ResponseLost)
}

/// Maps an error of sending a request. Only a failure to connect proves that nothing
/// was sent.
fn classify_send_error(error: &SendRequestError) -> PeerError {
    match error {
        // awc also returns this error if an open connection is closed before a response
        // arrives; the request may already have been sent.
        SendRequestError::Connect(ConnectError::Disconnected) => PeerError::ResponseLost,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PeerError::Unreachable,
        _ => PeerError::ResponseLost,
    }
}
