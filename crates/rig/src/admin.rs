//! HTTP client of the operator interfaces of VMs and the control interfaces of stand-ins.

use {
    crate::{RigError, VmSpec},
    awc::{Client, Connector},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::time::Duration,
    uuid::Uuid,
    wire::{Change, Decision, Proposal},
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// HTTP client that sends the operator token with its requests.
pub struct AdminClient {
    client: Client,
    token: String,
}

impl AdminClient {
    pub(crate) fn new(token: &str) -> Self {
        Self {
            client: Client::builder()
                .connector(Connector::new().timeout(CONNECT_TIMEOUT))
                .timeout(REQUEST_TIMEOUT)
                .finish(),
            token: token.to_owned(),
        }
    }

    /// Sends a GET request and returns the JSON value of the response, whatever its status.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if no response arrives or its body is not such a value.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T, RigError> {
        let request = self.client.get(url).bearer_auth(&self.token);
        let sent = request.send().await;
        let mut response = sent.map_err(|error| RigError::response(url, &error))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| RigError::response(url, &error))?;
        serde_json::from_slice(&body).map_err(|error| RigError::response(url, &error))
    }

    /// Sends a POST request with a JSON value and returns the body of the response.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if no response arrives or its status is not 2xx.
    pub async fn post_json<T: Serialize>(&self, url: &str, value: &T) -> Result<Vec<u8>, RigError> {
        let request = self.client.post(url).bearer_auth(&self.token);
        let sent = request.send_json(value).await;
        let mut response = sent.map_err(|error| RigError::response(url, &error))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| RigError::response(url, &error))?;
        let status = response.status();
        if status.is_success() {
            Ok(body.to_vec())
        } else {
            Err(RigError::response(url, &status))
        }
    }

    /// Proposes a change of the control document to a VM and returns its decision.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the VM does not respond with a decision.
    pub async fn propose_change(&self, vm: &VmSpec, change: Change) -> Result<Decision, RigError> {
        let proposal = Proposal {
            op: Uuid::new_v4().simple().to_string(),
            change,
        };
        let url = format!("http://{}/v1/changes", vm.operator_address);
        let body = self.post_json(&url, &proposal).await?;
        serde_json::from_slice(&body).map_err(|error| RigError::response(&url, &error))
    }

    /// Returns the state dump of a VM.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the VM does not respond with JSON.
    pub async fn fetch_state(&self, vm: &VmSpec) -> Result<Value, RigError> {
        self.get_json(&format!("http://{}/v1/state", vm.operator_address))
            .await
    }

    /// Returns whether a VM reports that it is ready. A VM that does not respond is not.
    pub async fn is_ready(&self, vm: &VmSpec) -> bool {
        let url = format!("http://{}/ready", vm.operator_address);
        let result = self.client.get(url).send().await;
        result.is_ok_and(|response| response.status().is_success())
    }

    /// Returns the version of the control document in force on a VM, or `None` if the VM does
    /// not report one.
    pub async fn fetch_control_version(&self, vm: &VmSpec) -> Option<u64> {
        let url = format!("http://{}/v1/status", vm.operator_address);
        let status: Value = self.get_json(&url).await.ok()?;
        status["control"]["version"].as_u64()
    }
}
