//! What a rig's stand-ins are told and asked.

use {
    crate::{
        Rig, RigError,
        rig::{FAULT, PLATFORM, UPSTREAM},
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
    pub async fn platform_fault(&self, fault: &Fault) -> Result<(), RigError> {
        let url = format!("http://{}/control/fault", self.layout.stand(PLATFORM));
        self.admin.post(&url, fault).await.map(drop)
    }

    /// Calls that the platform has counted.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn platform_stats(&self) -> Result<stand::platform::Stats, RigError> {
        let url = format!("http://{}/control/stats", self.layout.stand(PLATFORM));
        self.admin.get(&url).await
    }

    /// Sets how one route of the fault proxy fails: `FROM>TO`, `FROM>platform` or `*`.
    ///
    /// # Errors
    /// When there is no such route.
    pub async fn route_fault(
        &self,
        route: &str,
        setting: fault::FaultConfig,
    ) -> Result<(), RigError> {
        let escaped = route.replace('>', "%3E");
        let url = format!("http://{}/routes/{escaped}", self.layout.stand(FAULT));
        self.admin.post(&url, &setting).await.map(drop)
    }

    /// Changes all targets whose names start so.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn set_targets(&self, prefix: &str, behaviour: Behaviour) -> Result<(), RigError> {
        let url = format!("http://{}/targets/{prefix}", self.layout.stand(UPSTREAM));
        self.admin.post(&url, &json!(behaviour)).await.map(drop)
    }

    /// The log of runs.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn runs(&self) -> Result<Vec<Run>, RigError> {
        let url = format!("http://{}/runs", self.layout.stand(UPSTREAM));
        self.admin.get(&url).await
    }

    /// Requests that targets refused because their slots were taken, or because
    /// they were late.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn sheds(&self) -> Result<u64, RigError> {
        let url = format!("http://{}/sheds", self.layout.stand(UPSTREAM));
        let sheds: serde_json::Value = self.admin.get(&url).await?;
        Ok(sheds["sheds"].as_u64().unwrap_or(0))
    }

    /// Bytes that the fault proxy has carried, both ways.
    ///
    /// # Errors
    /// When the stand-in does not answer.
    pub async fn proxied_bytes(&self) -> Result<u64, RigError> {
        let url = format!("http://{}/bytes", self.layout.stand(FAULT));
        self.admin.get(&url).await
    }

    /// Position of the VM that owns a pool, as the first live VM sees it.
    pub async fn owner(&self, service: &str, site: &str) -> Option<usize> {
        self.owner_seen_by_others(service, site, usize::MAX).await
    }

    /// Position of the VM that owns a pool, as the first live VM but one sees it.
    pub async fn owner_seen_by_others(
        &self,
        service: &str,
        site: &str,
        except: usize,
    ) -> Option<usize> {
        let others = self
            .places
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != except);
        for (_, place) in others {
            let Ok(dump) = self.admin.dump(place).await else {
                continue;
            };
            let pools = dump["pools"].as_array()?;
            let pool = pools
                .iter()
                .find(|pool| pool["service"] == service && pool["site"] == site)?;
            let owner = pool["owner"].as_str()?;
            return self.places.iter().position(|place| place.name == owner);
        }
        None
    }
}
