//! A whole system on loopback.

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

/// Environment variable that keeps the logs of a rig.
const KEEP_VARIABLE: &str = "CICADALIFT_KEEP";
const TOKEN: &str = "operator-token-of-the-rig";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);

/// What to start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the shipped fleet settings.
    pub settings_name: String,
    /// VMs, spread over the availability zones in turn.
    pub vm_count: u8,
    /// Mean service time of all targets, in milliseconds.
    pub mean_service_ms: f64,
    /// Whether VMs reach each other, the platform and the upstreams through the fault proxy.
    pub use_fault_proxy: bool,
    /// Level of the VMs' logs.
    pub log_level: String,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Fleet settings to use in place of the shipped ones.
    pub fleet_yaml: Option<String>,
    /// Pieces of the shipped settings to replace, each with its replacement.
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

/// A running system with its stand-ins. Everything ends when it is dropped.
pub struct Rig {
    /// The VMs' places, in the order in which they were started.
    pub vm_specs: Vec<VmSpec>,
    /// The VMs' processes, in the same order.
    pub vm_processes: Vec<Process>,
    /// Client of all interfaces.
    pub admin: AdminClient,
    /// Settings of the fleet.
    pub fleet: Fleet,
    pub(crate) addresses: LoopbackAddresses,
    options: Options,
    directory: TempDir,
    stand_ins: Vec<Process>,
    /// VMs started so far, which tells their logs apart.
    starts: u32,
}

/// Position of the platform's interface.
pub(crate) const PLATFORM_INDEX: u8 = 1;
/// Position of the upstreams' interface.
pub(crate) const UPSTREAM_INDEX: u8 = 2;
/// Position of the fault proxy's interface.
pub(crate) const FAULT_PROXY_INDEX: u8 = 3;
/// Route of the fault proxy that leads a VM to the platform.
const PLATFORM_ROUTE_INDEX: u8 = 200;

impl Rig {
    /// Starts the stand-ins and the VMs, and waits until all VMs are ready and
    /// see each other.
    ///
    /// # Errors
    /// When a process cannot be started or does not get ready.
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
        let mut directory = TempDir::new().map_err(RigError::io("directory"))?;
        if std::env::var_os(KEEP_VARIABLE).is_some() {
            directory.disable_cleanup(true);
            println!("logs and settings: {}", directory.path().display());
        }
        let shipped = workspace_directory()
            .join("settings")
            .join(format!("{}.yaml", options.settings_name));
        let text = match &options.fleet_yaml {
            Some(text) => text.clone(),
            None => fs::read_to_string(&shipped).map_err(RigError::io("fleet settings"))?,
        };
        let text = options
            .replacements
            .iter()
            .fold(text, |text, (old, new)| text.replace(old, new));
        let path = directory.path().join("fleet.yaml");
        fs::write(&path, addresses.to_loopback(&text)).map_err(RigError::io("fleet settings"))?;
        let fleet =
            settings::load_fleet(&path).map_err(|error| RigError::NotReady(error.to_string()))?;
        let vm_specs = build_vm_specs(&addresses, &fleet, options.vm_count);
        let mut rig = Self {
            vm_specs,
            vm_processes: Vec::new(),
            admin: AdminClient::new(TOKEN),
            fleet,
            addresses,
            options,
            directory,
            stand_ins: Vec::new(),
            starts: 0,
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
        let fleet = self
            .directory
            .path()
            .join("fleet.yaml")
            .display()
            .to_string();
        let mut args = vec!["--fleet".to_owned(), fleet];
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

    /// Starts the proxy with a route from each VM to each other VM and to the platform.
    fn start_fault_proxy(&self) -> Result<Process, RigError> {
        let mut args = vec![
            "--control".to_owned(),
            self.addresses.stand_in(FAULT_PROXY_INDEX).to_string(),
        ];
        let mut add = |name: String, listen, to| {
            args.push("--route".to_owned());
            args.push(format!("{name}={listen}={to}"));
        };
        for (from, source) in (0_u8..).zip(&self.vm_specs) {
            let listen = self.addresses.proxy(from, PLATFORM_ROUTE_INDEX);
            add(
                format!("{}>platform", source.name),
                listen,
                self.addresses.stand_in(PLATFORM_INDEX),
            );
            for (to, place) in (0_u8..).zip(&self.vm_specs) {
                let listen = self.addresses.proxy(from, to);
                add(
                    format!("{}>{}", source.name, place.name),
                    listen,
                    place.peer_address,
                );
            }
        }
        self.start_stand_in("stand-fault", &args)
    }

    fn start_stand_in(&self, program: &str, args: &[String]) -> Result<Process, RigError> {
        let log = self.directory.path().join(format!("{program}.log"));
        Process::start(program, program, args, &log)
    }

    /// Starts or restarts the VM with that position.
    ///
    /// # Errors
    /// When the process cannot be started.
    pub fn start_vm(&mut self, index: u8) -> Result<(), RigError> {
        let position = usize::from(index);
        let name = self.vm_specs[position].name.clone();
        let path = self.directory.path().join(format!("{name}.yaml"));
        fs::write(&path, self.vm_settings(index)).map_err(RigError::io("VM settings"))?;
        let args = [
            "--settings".to_owned(),
            path.display().to_string(),
            "--log".to_owned(),
            self.options.log_level.clone(),
        ];
        self.starts += 1;
        let log = self
            .directory
            .path()
            .join(format!("{name}-{}.log", self.starts));
        let process = Process::start(&name, "cicadalift-entry", &args, &log)?;
        if position < self.vm_processes.len() {
            self.vm_processes[position] = process;
        } else {
            self.vm_processes.push(process);
        }
        Ok(())
    }

    fn vm_settings(&self, index: u8) -> String {
        let place = &self.vm_specs[usize::from(index)];
        let platform = if self.options.use_fault_proxy {
            self.addresses.proxy(index, PLATFORM_ROUTE_INDEX)
        } else {
            self.addresses.stand_in(PLATFORM_INDEX)
        };
        let mut out = format!(
            "name: {}\nzone: {}\nfleet: fleet.yaml\ncaller: {}\npeer: {}\noperator: {}\nplatform: http://{platform}\noperator_token: {TOKEN}\npeers:\n",
            place.name,
            place.zone,
            place.caller_address,
            place.peer_address,
            place.operator_address
        );
        for (to, other) in (0_u8..).zip(&self.vm_specs) {
            let address = if self.options.use_fault_proxy {
                self.addresses.proxy(index, to)
            } else {
                other.peer_address
            };
            let _ = writeln!(out, "  - {{name: {}, address: \"{address}\"}}", other.name);
        }
        out
    }

    async fn wait_for_stand_ins(&self) -> Result<(), RigError> {
        let platform = format!(
            "http://{}/control/stats",
            self.addresses.stand_in(PLATFORM_INDEX)
        );
        let upstream = format!("http://{}/sheds", self.addresses.stand_in(UPSTREAM_INDEX));
        for url in [platform, upstream] {
            let up = || async { self.admin.get_json::<serde_json::Value>(&url).await.is_ok() };
            wait_until(&url, READY_TIMEOUT, up).await?;
        }
        Ok(())
    }

    /// Puts all VMs of the rig on the platform's list.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub async fn register_vms(&self) -> Result<(), RigError> {
        let listed: Vec<VmInfo> = self
            .vm_specs
            .iter()
            .map(|place| VmInfo {
                name: place.name.clone(),
                zone: place.zone.clone(),
                peer: place.peer_address.to_string(),
                leaving: false,
            })
            .collect();
        let url = format!("http://{}/vms", self.addresses.stand_in(PLATFORM_INDEX));
        self.admin.post_json(&url, &listed).await.map(drop)
    }

    /// Waits until every VM is ready, sees all others and every pool has an owner that admits.
    ///
    /// # Errors
    /// When that takes too long.
    pub async fn wait_until_ready(&self) -> Result<(), RigError> {
        wait_until("the VMs", READY_TIMEOUT, || self.is_settled()).await
    }

    async fn is_settled(&self) -> bool {
        let mut admitted = std::collections::BTreeSet::new();
        let mut pools = 0;
        for place in &self.vm_specs {
            if !self.admin.is_ready(place).await {
                return false;
            }
            let Ok(dump) = self.admin.fetch_state(place).await else {
                return false;
            };
            let members = dump["members"].as_array().cloned().unwrap_or_default();
            let alive = members
                .iter()
                .filter(|member| member["status"] == "alive")
                .count();
            if alive != self.vm_specs.len() {
                return false;
            }
            let listed = dump["pools"].as_array().cloned().unwrap_or_default();
            pools = listed.len();
            let admits = listed.iter().filter(|pool| pool["admits"] == true);
            admitted.extend(admits.map(|pool| format!("{}@{}", pool["service"], pool["site"])));
        }
        admitted.len() == pools
    }

    /// Every operation of the fleet's settings, as a plan with so many sends.
    #[must_use]
    pub fn build_requests(&self, sends: u32) -> Vec<Request> {
        let services = self.fleet.services.iter();
        let operations = services.flat_map(|s| s.operations.iter().map(move |op| (s, op)));
        operations
            .map(|(service, op)| Request {
                service: service.name.clone(),
                method: op.method.clone(),
                path: format!("{}/7", op.path_prefix),
                idempotent: op.idempotent,
                timeout: Duration::from_millis(op.timeout_ms),
                max_sends: sends,
                token: None,
            })
            .collect()
    }

    /// So many callers, spread over the regions in turn.
    #[must_use]
    pub fn create_callers(&self, count: usize) -> Vec<Caller> {
        let regions = self.fleet.regions.len();
        (0..count)
            .map(|index| self.create_caller(index % regions))
            .collect()
    }

    /// A caller whose address lies in the client block of a region.
    #[must_use]
    pub fn create_caller(&self, region: usize) -> Caller {
        let block = self.fleet.client_blocks.get(region);
        let address = block.map(|block| {
            let first = u32::from(block.first_address);
            IpAddr::V4((first + 1).into())
        });
        let entries = self.vm_specs.iter().map(VmSpec::caller_url).collect();
        Caller::new(address, entries)
    }

    /// Folder with the logs and settings of the rig.
    #[must_use]
    pub fn directory(&self) -> &std::path::Path {
        self.directory.path()
    }
}

/// Waits until a condition holds.
///
/// # Errors
/// [`RigError::NotReady`] when that takes longer than the limit.
pub async fn wait_until<F, C>(what: &str, limit: Duration, condition: C) -> Result<(), RigError>
where
    F: Future<Output = bool>,
    C: Fn() -> F,
{
    let end = Instant::now() + limit;
    while !condition().await {
        if Instant::now() > end {
            return Err(RigError::NotReady(what.to_owned()));
        }
        actix_rt::time::sleep(POLL).await;
    }
    Ok(())
}

/// Places of the VMs, spread over the availability zones in turn.
fn build_vm_specs(addresses: &LoopbackAddresses, fleet: &Fleet, vms: u8) -> Vec<VmSpec> {
    let zones: Vec<&String> = fleet.sites.iter().flat_map(|site| &site.zones).collect();
    let mut out = Vec::new();
    for index in 0..vms {
        let zone =
            zones[usize::from(index) * 2 % zones.len() + usize::from(index) * 2 / zones.len() % 2];
        let name = format!("{zone}-vm{}", usize::from(index) / zones.len() + 1);
        out.push(addresses.vm_spec(&name, zone, index));
    }
    out
}
