//! Calls to a VM's interface for operators.

use {
    crate::{args::Args, errors::CommandError},
    awc::{Client, ClientRequest, http::StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    std::{fs, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(30);
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// A VM and the credential for it.
pub(crate) struct Vm {
    client: Client,
    address: String,
    token: String,
}

impl Vm {
    pub(crate) fn named(args: &Args) -> Result<Self, CommandError> {
        let address = args.vm.clone().ok_or(CommandError::NoVm)?;
        let path = args.token_file.as_ref().ok_or(CommandError::NoToken)?;
        let token = fs::read_to_string(path).map_err(|source| CommandError::Token {
            path: path.display().to_string(),
            source,
        })?;
        Ok(Self {
            client: Client::builder().timeout(TIMEOUT).finish(),
            address,
            token: token.trim().to_owned(),
        })
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let request = self.client.get(format!("http://{}{path}", self.address));
        self.receive(request, &()).await
    }

    pub(crate) async fn post<A: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        argument: &A,
    ) -> Result<T, CommandError> {
        let request = self.client.post(format!("http://{}{path}", self.address));
        self.receive(request, argument).await
    }

    async fn receive<A: Serialize, T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        argument: &A,
    ) -> Result<T, CommandError> {
        let sent = request.bearer_auth(&self.token).send_json(argument).await;
        let mut response = sent.map_err(|error| self.silent(&error))?;
        if response.status() == StatusCode::UNAUTHORIZED {
            return Err(CommandError::Refused {
                vm: self.address.clone(),
            });
        }
        let body = response.body().limit(MAX_BYTES).await;
        let body = body.map_err(|error| self.silent(&error))?;
        serde_json::from_slice(&body).map_err(|error| self.silent(&error))
    }

    fn silent(&self, reason: &impl std::fmt::Display) -> CommandError {
        CommandError::NoAnswer {
            vm: self.address.clone(),
            reason: reason.to_string(),
        }
    }
}
