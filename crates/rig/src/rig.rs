//! A complete system of VMs and stand-ins on loopback.

use {
    crate::{
        AdminClient, LoopbackAddresses, Process, RigError, VmSpec, addresses::workspace_directory,
    },
    ports::VmInfo,
    settings::Fleet,
    stand::caller::{Caller, Request},
    std::{
        fmt::Write,
        fs,
        net::IpAddr,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Environment variable that keeps the directory of a rig, with its logs and settings.
const KEEP_VARIABLE: &str = "CICADALIFT_KEEP";
const OPERATOR_TOKEN: &str = "operator-token-of-the-rig";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Configuration of a rig.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the fleet settings in `settings/`, without the extension.
    pub settings_name: String,
    /// Number of VMs, assigned to the availability zones in rotation.
    pub vm_count: u8,
    /// Mean service time of each target, in milliseconds.
    pub mean_service_ms: f64,
    /// Whether VMs connect to each other and to the platform through the fault proxy.
    pub use_fault_proxy: bool,
    /// Log level of the VMs.
    pub log_level: String,
    /// Random seed of the stand-in upstreams.
    pub seed: u64,
    /// Fleet settings to use instead of those in `settings/`.
    pub fleet_yaml: Option<String>,
    /// Texts to replace in the fleet settings, each with its replacement.
    pub replacements: Vec<(String, String)>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            settings_name: "takbo".to_owned(),
            vm_count: 6,
            mean_service_ms: 30.0,
            use_fault_proxy: false,
            log_level: "info".to_owned(),
            seed: 1,
            fleet_yaml: None,
            replacements: Vec::new(),
        }
    }
}

/// A running system with its stand-ins. All processes are killed when it is dropped.
pub struct Rig {
    /// Names, zones and addresses of the VMs, by VM index.
    pub vm_specs: Vec<VmSpec>,
    /// Processes of the VMs, by VM index.
    pub vm_processes: Vec<Process>,
    /// Client of the interfaces of VMs and stand-ins.
    pub admin: AdminClient,
    /// Fleet settings in use.
    pub fleet: Fleet,
    pub(crate) addresses: LoopbackAddresses,
    options: Options,
    directory: TempDir,
    stand_ins: Vec<Process>,
    /// Number of VM starts so far; makes the name of each log file unique.
    vm_starts: u32,
}

/// Address index of the platform's interface.
pub(crate) const PLATFORM_INDEX: u8 = 1;
/// Address index of the upstreams' control interface.
pub(crate) const UPSTREAM_INDEX: u8 = 2;
/// Address index of the fault proxy's control interface.
pub(crate) const FAULT_PROXY_INDEX: u8 = 3;
/// Address index, in place of a VM index, of the proxy routes to the platform.
const PLATFORM_ROUTE_INDEX: u8 = 200;

impl Rig {
    /// Starts the stand-ins and the VMs, and waits as [`Rig::wait_until_ready`] does.
    ///
    /// # Errors
    /// If the fleet settings cannot be loaded, or a process cannot be started or does not become
    /// ready within 30 seconds.
    pub async fn start(options: Options) -> Result<Self, RigError> {
        let mut rig = Self::start_stand_ins(options)?;
        rig.wait_for_stand_ins().await?;
        for index in 0..rig.options.vm_count {
            rig.start_vm(index)?;
        }
        rig.register_vms().await?;
        rig.wait_until_ready().await?;
        Ok(rig)
    }

    fn start_stand_ins(options: Options) -> Result<Self, RigError> {
        let addresses = LoopbackAddresses::reserve();
        let mut directory = TempDir::new().map_err(RigError::io("temporary directory"))?;
        if std::env::var_os(KEEP_VARIABLE).is_some() {
            directory.disable_cleanup(true);
            println!("logs and settings: {}", directory.path().display());
        }
        let settings_path = workspace_directory()
            .join("settings")
            .join(format!("{}.yaml", options.settings_name));
        let yaml = match &options.fleet_yaml {
            Some(yaml) => yaml.clone(),
            None => fs::read_to_string(&settings_path).map_err(RigError::io("fleet settings"))?,
        };
        let yaml = options
            .replacements
            .iter()
            .fold(yaml, |yaml, (old, new)| yaml.replace(old, new));
        let fleet_path = directory.path().join("fleet.yaml");
        fs::write(&fleet_path, addresses.to_loopback(&yaml))
            .map_err(RigError::io("fleet settings"))?;
        let fleet = settings::load_fleet(&fleet_path)
            .map_err(|error| RigError::NotReady(error.to_string()))?;
        let vm_specs = build_vm_specs(&addresses, &fleet, options.vm_count);
        let mut rig = Self {
            vm_specs,
            vm_processes: Vec::new(),
            admin: AdminClient::new(OPERATOR_TOKEN),
            fleet,
            addresses,
            options,
            directory,
            stand_ins: Vec::new(),
            vm_starts: 0,
        };
        let mut stand_ins = vec![rig.start_platform()?, rig.start_upstream()?];
        if rig.options.use_fault_proxy {
            stand_ins.push(rig.start_fault_proxy()?);
        }
        rig.stand_ins = stand_ins;
        Ok(rig)
    }

    fn start_platform(&self) -> Result<Process, RigError> {
        let listen = self.addresses.stand_in(PLATFORM_INDEX).to_string();
        self.start_stand_in("stand-platform", &["--listen".to_owned(), listen])
    }

    fn start_upstream(&self) -> Result<Process, RigError> {
        let fleet_path = self
            .directory
            .path()
            .join("fleet.yaml")
            .display()
            .to_string();
        let mut args = vec!["--fleet".to_owned(), fleet_path];
        args.extend([
            "--control".to_owned(),
            self.addresses.stand_in(UPSTREAM_INDEX).to_string(),
        ]);
        args.extend(["--seed".to_owned(), self.options.seed.to_string()]);
        for service in &self.fleet.services {
            args.push("--service-ms".to_owned());
            args.push(format!("{}={}", service.name, self.options.mean_service_ms));
        }
        self.start_stand_in("stand-upstream", &args)
    }

    /// Starts the fault proxy with a route from each VM to each VM and to the platform.
    fn start_fault_proxy(&self) -> Result<Process, RigError> {
        let mut args = vec![
            "--control".to_owned(),
            self.addresses.stand_in(FAULT_PROXY_INDEX).to_string(),
        ];
        let mut add_route = |name: String, listen, server| {
            args.push("--route".to_owned());
            args.push(format!("{name}={listen}={server}"));
        };
        for (from, client) in (0_u8..).zip(&self.vm_specs) {
            let listen = self.addresses.proxy(from, PLATFORM_ROUTE_INDEX);
            add_route(
                format!("{}>platform", client.name),
                listen,
                self.addresses.stand_in(PLATFORM_INDEX),
            );
            for (to, server) in (0_u8..).zip(&self.vm_specs) {
                let listen = self.addresses.proxy(from, to);
                add_route(
                    format!("{}>{}", client.name, server.name),
                    listen,
                    server.peer_address,
                );
            }
        }
        self.start_stand_in("stand-fault", &args)
    }

    fn start_stand_in(&self, program: &str, args: &[String]) -> Result<Process, RigError> {
        let log_path = self.directory.path().join(format!("{program}.log"));
        Process::start(program, program, args, &log_path)
    }

    /// Starts the VM with that index. If its previous process still runs, that one is killed
    /// after the new one has started.
    ///
    /// # Errors
    /// [`RigError::Io`] if its settings cannot be written or the process cannot be started.
    pub fn start_vm(&mut self, index: u8) -> Result<(), RigError> {
        let position = usize::from(index);
        let name = self.vm_specs[position].name.clone();
        let settings_path = self.directory.path().join(format!("{name}.yaml"));
        fs::write(&settings_path, self.build_vm_settings(index))
            .map_err(RigError::io("VM settings"))?;
        let args = [
            "--settings".to_owned(),
            settings_path.display().to_string(),
            "--log".to_owned(),
            self.options.log_level.clone(),
        ];
        self.vm_starts += 1;
        let log_path = self
            .directory
            .path()
            .join(format!("{name}-{}.log", self.vm_starts));
        let process = Process::start(&name, "cicadalift-entry", &args, &log_path)?;
        if position < self.vm_processes.len() {
            self.vm_processes[position] = process;
        } else {
            self.vm_processes.push(process);
        }
        Ok(())
    }

    fn build_vm_settings(&self, index: u8) -> String {
        let vm = &self.vm_specs[usize::from(index)];
        let platform = if self.options.use_fault_proxy {
            self.addresses.proxy(index, PLATFORM_ROUTE_INDEX)
        } else {
            self.addresses.stand_in(PLATFORM_INDEX)
        };
        let mut yaml = format!(
            "name: {}\nzone: {}\nfleet: fleet.yaml\ncaller: {}\npeer: {}\noperator: {}\nplatform: http://{platform}\noperator_token: {OPERATOR_TOKEN}\npeers:\n",
            vm.name, vm.zone, vm.caller_address, vm.peer_address, vm.operator_address
        );
        for (to, other) in (0_u8..).zip(&self.vm_specs) {
            let address = if self.options.use_fault_proxy {
                self.addresses.proxy(index, to)
            } else {
                other.peer_address
            };
            let _ = writeln!(yaml, "  - {{name: {}, address: \"{address}\"}}", other.name);
        }
        yaml
    }

    async fn wait_for_stand_ins(&self) -> Result<(), RigError> {
        let platform_url = format!(
            "http://{}/control/stats",
            self.addresses.stand_in(PLATFORM_INDEX)
        );
        let upstream_url = format!("http://{}/sheds", self.addresses.stand_in(UPSTREAM_INDEX));
        for url in [platform_url, upstream_url] {
            let responds =
                || async { self.admin.get_json::<serde_json::Value>(&url).await.is_ok() };
            wait_until(&url, READY_TIMEOUT, responds).await?;
        }
        Ok(())
    }

    /// Replaces the platform's list of VMs by the VMs of this rig.
    ///
    /// # Errors
    /// [`RigError::InvalidResponse`] if the platform does not confirm it.
    pub async fn register_vms(&self) -> Result<(), RigError> {
        let vms: Vec<VmInfo> = self
            .vm_specs
            .iter()
            .map(|vm| VmInfo {
                name: vm.name.clone(),
                zone: vm.zone.clone(),
                peer: vm.peer_address.to_string(),
                leaving: false,
            })
            .collect();
        let url = format!("http://{}/vms", self.addresses.stand_in(PLATFORM_INDEX));
        self.admin.post_json(&url, &vms).await.map(drop)
    }

    /// Waits until every VM is ready and sees all others alive, and every pool has an owner
    /// that admits requests.
    ///
    /// # Errors
    /// [`RigError::NotReady`] after 30 seconds.
    pub async fn wait_until_ready(&self) -> Result<(), RigError> {
        wait_until("VMs of the rig", READY_TIMEOUT, || self.all_ready()).await
    }

    async fn all_ready(&self) -> bool {
        let mut admitting_pools = std::collections::BTreeSet::new();
        let mut pool_count = 0;
        for vm in &self.vm_specs {
            if !self.admin.is_ready(vm).await {
                return false;
            }
            let Ok(state) = self.admin.fetch_state(vm).await else {
                return false;
            };
            let members = state["members"].as_array().cloned().unwrap_or_default();
            let alive_count = members
                .iter()
                .filter(|member| member["status"] == "alive")
                .count();
            if alive_count != self.vm_specs.len() {
                return false;
            }
            let pools = state["pools"].as_array().cloned().unwrap_or_default();
            pool_count = pools.len();
            let admitting = pools.iter().filter(|pool| pool["admits"] == true);
            admitting_pools
                .extend(admitting.map(|pool| format!("{}@{}", pool["service"], pool["site"])));
        }
        admitting_pools.len() == pool_count
    }

    /// Returns one request for each operation in the fleet settings, with at most `max_sends`
    /// sends.
    #[must_use]
    pub fn build_requests(&self, max_sends: u32) -> Vec<Request> {
        let services = self.fleet.services.iter();
        let operations = services.flat_map(|s| s.operations.iter().map(move |op| (s, op)));
        operations
            .map(|(service, op)| Request {
                service: service.name.clone(),
                method: op.method.clone(),
                path: format!("{}/7", op.path_prefix),
                idempotent: op.idempotent,
                timeout: Duration::from_millis(op.timeout_ms),
                max_sends,
                token: None,
            })
            .collect()
    }

    /// Returns `count` callers, assigned to the regions in rotation.
    #[must_use]
    pub fn create_callers(&self, count: usize) -> Vec<Caller> {
        let region_count = self.fleet.regions.len();
        (0..count)
            .map(|index| self.create_caller(index % region_count))
            .collect()
    }

    /// Returns a caller that connects from an address in the client block with that index, or
    /// from any local address if there is no such block.
    ///
    /// In the customers' settings, a region and its client block have the same index.
    #[must_use]
    pub fn create_caller(&self, region_index: usize) -> Caller {
        let block = self.fleet.client_blocks.get(region_index);
        let address = block.map(|block| {
            let first = u32::from(block.first_address);
            IpAddr::V4((first + 1).into())
        });
        let entry_urls = self.vm_specs.iter().map(VmSpec::caller_url).collect();
        Caller::new(address, entry_urls)
    }

    /// Returns the directory with the logs and settings of the rig.
    #[must_use]
    pub fn directory(&self) -> &std::path::Path {
        self.directory.path()
    }
}

/// Waits until a condition holds; `what` names it in the error.
///
/// # Errors
/// [`RigError::NotReady`] if it does not hold before the timeout.
pub async fn wait_until<F, C>(what: &str, timeout: Duration, condition: C) -> Result<(), RigError>
where
    F: Future<Output = bool>,
    C: Fn() -> F,
{
    let deadline = Instant::now() + timeout;
    while !condition().await {
        if Instant::now() > deadline {
            return Err(RigError::NotReady(what.to_owned()));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Returns the VMs, assigned to the availability zones in rotation: every second zone first, then
/// the others.
fn build_vm_specs(addresses: &LoopbackAddresses, fleet: &Fleet, vm_count: u8) -> Vec<VmSpec> {
    let zones: Vec<&String> = fleet.sites.iter().flat_map(|site| &site.zones).collect();
    let mut vm_specs = Vec::new();
    for index in 0..vm_count {
        let zone =
            zones[usize::from(index) * 2 % zones.len() + usize::from(index) * 2 / zones.len() % 2];
        let name = format!("{zone}-vm{}", usize::from(index) / zones.len() + 1);
        vm_specs.push(addresses.vm_spec(&name, zone, index));
    }
    vm_specs
}
