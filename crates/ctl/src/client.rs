//! HTTP client for the operators' interface of a VM.

use {
    crate::{args::Args, errors::CommandError},
    awc::{Client, ClientRequest, http::StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    std::{fs, time::Duration},
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of one VM, authenticated with the operator token.
pub(crate) struct VmClient {
    client: Client,
    address: String,
    token: String,
}

impl VmClient {
    /// Creates a client from the VM address and the token file given as arguments or in the
    /// environment.
    ///
    /// Fails if either is missing or the file cannot be read.
    pub(crate) fn from_args(args: &Args) -> Result<Self, CommandError> {
        let address = args.vm.clone().ok_or(CommandError::MissingVm)?;
        let path = args
            .token_file
            .as_ref()
            .ok_or(CommandError::MissingTokenFile)?;
        let token = fs::read_to_string(path).map_err(|source| CommandError::TokenFile {
            path: path.display().to_string(),
            source,
        })?;
        Ok(Self {
            client: Client::builder().timeout(REQUEST_TIMEOUT).finish(),
            address,
            token: token.trim().to_owned(),
        })
    }

    /// Sends a GET request and returns the decoded JSON response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let request = self.client.get(format!("http://{}{path}", self.address));
        self.send_request(request, &()).await
    }

    /// Sends a POST request with a JSON body and returns the decoded JSON response.
    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CommandError> {
        let request = self.client.post(format!("http://{}{path}", self.address));
        self.send_request(request, body).await
    }

    async fn send_request<B: Serialize, T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: &B,
    ) -> Result<T, CommandError> {
        let sent = request.bearer_auth(&self.token).send_json(body).await;
        let mut response = sent.map_err(|error| self.request_error(&error))?;
        if response.status() == StatusCode::UNAUTHORIZED {
            return Err(CommandError::Unauthorized {
                vm: self.address.clone(),
            });
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| self.request_error(&error))?;
        serde_json::from_slice(&body).map_err(|error| self.request_error(&error))
    }

    fn request_error(&self, reason: &impl std::fmt::Display) -> CommandError {
        CommandError::RequestFailed {
            vm: self.address.clone(),
            reason: reason.to_string(),
        }
    }
}
