//! Requests of a rig to the control interfaces of its stand-ins, and lookup of pool owners.

use {
    crate::{
        Rig, RigError,
        rig::{FAULT_PROXY_INDEX, PLATFORM_INDEX, UPSTREAM_INDEX},
    },
    serde_json::json,
    stand::{
        fault, platform,
        upstream::{Behaviour, Run},
    },
};

impl Rig {
    /// Replaces the fault configuration of the platform; the default value removes all faults.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the stand-in does not confirm it.
    pub async fn set_platform_fault(&self, fault: &platform::FaultConfig) -> Result<(), RigError> {
        let url = format!(
            "http://{}/control/fault",
            self.addresses.stand_in(PLATFORM_INDEX)
        );
        self.admin.post_json(&url, fault).await.map(drop)
    }

    /// Makes the platform keep a snapshot of its rows.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the stand-in does not confirm it.
    pub async fn snapshot_platform(&self) -> Result<(), RigError> {
        let address = self.addresses.stand_in(PLATFORM_INDEX);
        let url = format!("http://{address}/control/snapshot");
        self.admin.post_json(&url, &()).await.map(drop)
    }

    /// Restores the platform from its snapshot.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the stand-in does not confirm it.
    pub async fn restore_platform(&self) -> Result<(), RigError> {
        let address = self.addresses.stand_in(PLATFORM_INDEX);
        let url = format!("http://{address}/control/restore");
        self.admin.post_json(&url, &()).await.map(drop)
    }

    /// Returns the numbers of calls that the platform has received since its start.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the stand-in does not return them.
    pub async fn fetch_platform_stats(&self) -> Result<platform::Stats, RigError> {
        let url = format!(
            "http://{}/control/stats",
            self.addresses.stand_in(PLATFORM_INDEX)
        );
        self.admin.get_json(&url).await
    }

    /// Replaces the fault configuration of a route of the fault proxy.
    ///
    /// A route is named `FROM>TO` after two VMs or `FROM>platform`; `*` selects all routes.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if there is no such route or the proxy does not respond.
    pub async fn set_proxy_fault(
        &self,
        route: &str,
        config: fault::FaultConfig,
    ) -> Result<(), RigError> {
        let escaped_route = route.replace('>', "%3E");
        let url = format!(
            "http://{}/routes/{escaped_route}",
            self.addresses.stand_in(FAULT_PROXY_INDEX)
        );
        self.admin.post_json(&url, &config).await.map(drop)
    }

    /// Sets the behaviour of all targets whose names start with a prefix.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the stand-in does not confirm it.
    pub async fn set_target_behaviour(
        &self,
        name_prefix: &str,
        behaviour: Behaviour,
    ) -> Result<(), RigError> {
        let url = format!(
            "http://{}/targets/{name_prefix}",
            self.addresses.stand_in(UPSTREAM_INDEX)
        );
        self.admin
            .post_json(&url, &json!(behaviour))
            .await
            .map(drop)
    }

    /// Returns the requests that the targets have run, in the order in which they started.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the stand-in does not return them.
    pub async fn fetch_runs(&self) -> Result<Vec<Run>, RigError> {
        let url = format!("http://{}/runs", self.addresses.stand_in(UPSTREAM_INDEX));
        self.admin.get_json(&url).await
    }

    /// Returns the number of requests that targets refused because all their slots were in use,
    /// the deadline had passed or their fault is to shed.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the stand-in does not return it.
    pub async fn fetch_shed_count(&self) -> Result<u64, RigError> {
        let url = format!("http://{}/sheds", self.addresses.stand_in(UPSTREAM_INDEX));
        let body: serde_json::Value = self.admin.get_json(&url).await?;
        Ok(body["sheds"].as_u64().unwrap_or(0))
    }

    /// Returns the number of bytes that the fault proxy has forwarded in both directions.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the proxy does not return it.
    pub async fn fetch_proxied_bytes(&self) -> Result<u64, RigError> {
        let url = format!(
            "http://{}/bytes",
            self.addresses.stand_in(FAULT_PROXY_INDEX)
        );
        self.admin.get_json(&url).await
    }

    /// Returns the index of the VM that owns a pool, as reported by the first VM that responds.
    pub async fn find_owner(&self, service: &str, site: &str) -> Option<usize> {
        self.find_owner_seen_by_others(service, site, usize::MAX)
            .await
    }

    /// Like [`Rig::find_owner`], without asking the VM with index `excluded`.
    ///
    /// Returns `None` if no other VM responds or the first response names no owner.
    pub async fn find_owner_seen_by_others(
        &self,
        service: &str,
        site: &str,
        excluded: usize,
    ) -> Option<usize> {
        let others = self
            .vm_specs
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != excluded);
        for (_, vm) in others {
            let Ok(state) = self.admin.fetch_state(vm).await else {
                continue;
            };
            let pools = state["pools"].as_array()?;
            let pool = pools
                .iter()
                .find(|pool| pool["service"] == service && pool["site"] == site)?;
            let owner = pool["owner"].as_str()?;
            return self.vm_specs.iter().position(|vm| vm.name == owner);
        }
        None
    }
}
