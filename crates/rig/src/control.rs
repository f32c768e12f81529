//! What a rig's stand-ins are told and asked.

use {
    crate::{
        Rig, RigError,
        rig::{FAULT_PROXY_INDEX, PLATFORM_INDEX, UPSTREAM_INDEX},
    },
    serde_json::json,
    stand::{
        fault,
        platform::Fault,
        upstream::{Behaviour, Run},
    },
};

impl Rig {
    /// Makes the platform fail, or heals it.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn set_platform_fault(&self, fault: &Fault) -> Result<(), RigError> {
        let url = format!(
            "http://{}/control/fault",
            self.addresses.stand_in(PLATFORM_INDEX)
        );
        self.admin.post_json(&url, fault).await.map(drop)
    }

    /// Calls that the platform has counted.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn fetch_platform_stats(&self) -> Result<stand::platform::Stats, RigError> {
        let url = format!(
            "http://{}/control/stats",
            self.addresses.stand_in(PLATFORM_INDEX)
        );
        self.admin.get_json(&url).await
    }

    /// Sets how one route of the fault proxy fails: `FROM>TO`, `FROM>platform` or `*`.
    ///
    /// # Errors
    /// When there is no such route.
    pub async fn set_route_fault(
        &self,
        route: &str,
        setting: fault::FaultConfig,
    ) -> Result<(), RigError> {
        let escaped = route.replace('>', "%3E");
        let url = format!(
            "http://{}/routes/{escaped}",
            self.addresses.stand_in(FAULT_PROXY_INDEX)
        );
        self.admin.post_json(&url, &setting).await.map(drop)
    }

    /// Changes all targets whose names start so.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn set_target_behaviour(
        &self,
        prefix: &str,
        behaviour: Behaviour,
    ) -> Result<(), RigError> {
        let url = format!(
            "http://{}/targets/{prefix}",
            self.addresses.stand_in(UPSTREAM_INDEX)
        );
        self.admin
            .post_json(&url, &json!(behaviour))
            .await
            .map(drop)
    }

    /// The log of runs.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn fetch_runs(&self) -> Result<Vec<Run>, RigError> {
        let url = format!("http://{}/runs", self.addresses.stand_in(UPSTREAM_INDEX));
        self.admin.get_json(&url).await
    }

    /// Requests that targets refused because their slots were taken, or because
    /// they were late.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn fetch_shed_count(&self) -> Result<u64, RigError> {
        let url = format!("http://{}/sheds", self.addresses.stand_in(UPSTREAM_INDEX));
        let sheds: serde_json::Value = self.admin.get_json(&url).await?;
        Ok(sheds["sheds"].as_u64().unwrap_or(0))
    }

    /// Bytes that the fault proxy has carried, both ways.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn fetch_proxied_bytes(&self) -> Result<u64, RigError> {
        let url = format!(
            "http://{}/bytes",
            self.addresses.stand_in(FAULT_PROXY_INDEX)
        );
        self.admin.get_json(&url).await
    }

    /// Position of the VM that owns a pool, as the first live VM sees it.
    pub async fn find_owner(&self, service: &str, site: &str) -> Option<usize> {
        self.find_owner_seen_by_others(service, site, usize::MAX)
            .await
    }

    /// Position of the VM that owns a pool, as the first live VM but one sees it.
    pub async fn find_owner_seen_by_others(
        &self,
        service: &str,
        site: &str,
        except: usize,
    ) -> Option<usize> {
        let others = self
            .vm_specs
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != except);
        for (_, place) in others {
            let Ok(dump) = self.admin.fetch_state(place).await else {
                continue;
            };
            let pools = dump["pools"].as_array()?;
            let pool = pools
                .iter()
                .find(|pool| pool["service"] == service && pool["site"] == site)?;
            let owner = pool["owner"].as_str()?;
            return self.vm_specs.iter().position(|place| place.name == owner);
        }
        None
    }
}
