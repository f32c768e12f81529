//! Calls to the interfaces of the programs.

use {
    crate::{RigError, VmSpec},
    awc::{Client, Connector},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::time::Duration,
    uuid::Uuid,
    wire::{Change, Decision, Proposal},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BYTES: usize = 256 * 1024 * 1024;

/// Client of the interfaces.
pub struct AdminClient {
    client: Client,
    token: String,
}

impl AdminClient {
    pub(crate) fn new(token: &str) -> Self {
        Self {
            client: Client::builder()
                .connector(Connector::new().timeout(CONNECT_TIMEOUT))
                .timeout(TIMEOUT)
                .finish(),
            token: token.to_owned(),
        }
    }

    /// Reads JSON.
    ///
    /// # Errors
    /// When there is no such answer.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T, RigError> {
        let lost = || RigError::InvalidResponse(url.to_owned());
        let request = self.client.get(url).bearer_auth(&self.token);
        let mut response = request.send().await.map_err(|_| lost())?;
        let body = response.body().limit(MAX_BYTES).await.map_err(|_| lost())?;
        serde_json::from_slice(&body).map_err(|_| lost())
    }

    /// Sends JSON, and reads the body of the answer as it is.
    ///
    /// # Errors
    /// When there is no answer of success.
    pub async fn post_json<T: Serialize>(&self, url: &str, value: &T) -> Result<Vec<u8>, RigError> {
        let lost = || RigError::InvalidResponse(url.to_owned());
        let request = self.client.post(url).bearer_auth(&self.token);
        let mut response = request.send_json(value).await.map_err(|_| lost())?;
        let body = response.body().limit(MAX_BYTES).await.map_err(|_| lost())?;
        if response.status().is_success() {
            Ok(body.to_vec())
        } else {
            Err(lost())
        }
    }

    /// Proposes a change at one VM.
    ///
    /// # Errors
    /// When the VM does not answer.
    pub async fn propose_change(&self, vm: &VmSpec, change: Change) -> Result<Decision, RigError> {
        let proposal = Proposal {
            op: Uuid::new_v4().simple().to_string(),
            change,
        };
        let url = format!("http://{}/v1/changes", vm.operator_address);
        let body = self.post_json(&url, &proposal).await?;
        serde_json::from_slice(&body).map_err(|_| RigError::InvalidResponse(url))
    }

    /// Reads the dump of one VM.
    ///
    /// # Errors
    /// When the VM does not answer.
    pub async fn fetch_state(&self, vm: &VmSpec) -> Result<Value, RigError> {
        self.get_json(&format!("http://{}/v1/state", vm.operator_address))
            .await
    }

    /// Whether a VM says that it is ready.
    pub async fn is_ready(&self, vm: &VmSpec) -> bool {
        let url = format!("http://{}/ready", vm.operator_address);
        let answer = self.client.get(url).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Version of the control document in force at one VM.
    pub async fn fetch_control_version(&self, vm: &VmSpec) -> Option<u64> {
        let url = format!("http://{}/v1/status", vm.operator_address);
        let status: Value = self.get_json(&url).await.ok()?;
        status["control"]["version"].as_u64()
    }
}
