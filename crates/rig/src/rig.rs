//! A whole system on loopback.

use {
    crate::{Admin, Layout, Place, Process, RigError, layout::workspace},
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
const KEEP: &str = "CICADALIFT_KEEP";
const TOKEN: &str = "operator-token-of-the-rig";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);

/// What to start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the shipped fleet settings.
    pub firm: String,
    /// VMs, spread over the availability zones in turn.
    pub vms: u8,
    /// Mean service time of all targets, in milliseconds.
    pub service_ms: f64,
    /// Whether VMs reach each other, the platform and the upstreams through the fault proxy.
    pub faults: bool,
    /// Level of the VMs' logs.
    pub log: String,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Fleet settings to use in place of the shipped ones.
    pub fleet: Option<String>,
    /// Pieces of the shipped settings to replace, each with its replacement.
    pub replace: Vec<(String, String)>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            firm: "takbo".to_owned(),
            vms: 6,
            service_ms: 30.0,
            faults: false,
            log: "info".to_owned(),
            seed: 1,
            fleet: None,
            replace: Vec::new(),
        }
    }
}

/// A running system with its stand-ins. Everything ends when it is dropped.
pub struct Rig {
    /// The VMs' places, in the order in which they were started.
    pub places: Vec<Place>,
    /// The VMs' processes, in the same order.
    pub vms: Vec<Process>,
    /// Client of all interfaces.
    pub admin: Admin,
    /// Settings of the fleet.
    pub fleet: Fleet,
    pub(crate) layout: Layout,
    options: Options,
    folder: TempDir,
    stands: Vec<Process>,
    /// VMs started so far, which tells their logs apart.
    starts: u32,
}

/// Position of the platform's interface.
pub(crate) const PLATFORM: u8 = 1;
/// Position of the upstreams' interface.
pub(crate) const UPSTREAM: u8 = 2;
/// Position of the fault proxy's interface.
pub(crate) const FAULT: u8 = 3;
/// Route of the fault proxy that leads a VM to the platform.
const TO_PLATFORM: u8 = 200;

impl Rig {
    /// Starts the stand-ins and the VMs, and waits until all VMs are ready and
    /// see each other.
    ///
    /// # Errors
    /// When a process cannot be started or does not get ready.
    pub async fn start(options: Options) -> Result<Self, RigError> {
        let mut rig = Self::startstands(options)?;
        rig.wait_forstands().await?;
        for index in 0..rig.options.vms {
            rig.start_vm(index)?;
        }
        rig.list_vms().await?;
        rig.wait_until_ready().await?;
        Ok(rig)
    }

    fn startstands(options: Options) -> Result<Self, RigError> {
        let layout = Layout::take();
        let mut folder = TempDir::new().map_err(RigError::io("folder"))?;
        if std::env::var_os(KEEP).is_some() {
            folder.disable_cleanup(true);
            println!("logs and settings: {}", folder.path().display());
        }
        let shipped = workspace()
            .join("settings")
            .join(format!("{}.yaml", options.firm));
        let text = match &options.fleet {
            Some(text) => text.clone(),
            None => fs::read_to_string(&shipped).map_err(RigError::io("fleet settings"))?,
        };
        let text = options
            .replace
            .iter()
            .fold(text, |text, (old, new)| text.replace(old, new));
        let path = folder.path().join("fleet.yaml");
        fs::write(&path, layout.fleet(&text)).map_err(RigError::io("fleet settings"))?;
        let fleet =
            settings::load_fleet(&path).map_err(|error| RigError::NotReady(error.to_string()))?;
        let places = places(&layout, &fleet, options.vms);
        let mut rig = Self {
            places,
            vms: Vec::new(),
            admin: Admin::new(TOKEN),
            fleet,
            layout,
            options,
            folder,
            stands: Vec::new(),
            starts: 0,
        };
        let mut stands = vec![rig.start_platform()?, rig.start_upstream()?];
        if rig.options.faults {
            stands.push(rig.start_fault()?);
        }
        rig.stands = stands;
        Ok(rig)
    }

    fn start_platform(&self) -> Result<Process, RigError> {
        let listen = self.layout.stand(PLATFORM).to_string();
        self.start_stand("stand-platform", &["--listen".to_owned(), listen])
    }

    fn start_upstream(&self) -> Result<Process, RigError> {
        let fleet = self.folder.path().join("fleet.yaml").display().to_string();
        let mut args = vec!["--fleet".to_owned(), fleet];
        args.extend([
            "--control".to_owned(),
            self.layout.stand(UPSTREAM).to_string(),
        ]);
        args.extend(["--seed".to_owned(), self.options.seed.to_string()]);
        for service in &self.fleet.services {
            args.push("--service-ms".to_owned());
            args.push(format!("{}={}", service.name, self.options.service_ms));
        }
        self.start_stand("stand-upstream", &args)
    }

    /// Starts the proxy with a route from each VM to each other VM and to the platform.
    fn start_fault(&self) -> Result<Process, RigError> {
        let mut args = vec!["--control".to_owned(), self.layout.stand(FAULT).to_string()];
        let mut add = |name: String, listen, to| {
            args.push("--route".to_owned());
            args.push(format!("{name}={listen}={to}"));
        };
        for (from, source) in (0_u8..).zip(&self.places) {
            let listen = self.layout.proxied(from, TO_PLATFORM);
            add(
                format!("{}>platform", source.name),
                listen,
                self.layout.stand(PLATFORM),
            );
            for (to, place) in (0_u8..).zip(&self.places) {
                let listen = self.layout.proxied(from, to);
                add(
                    format!("{}>{}", source.name, place.name),
                    listen,
                    place.peer,
                );
            }
        }
        self.start_stand("stand-fault", &args)
    }

    fn start_stand(&self, program: &str, args: &[String]) -> Result<Process, RigError> {
        let log = self.folder.path().join(format!("{program}.log"));
        Process::start(program, program, args, &log)
    }

    /// Starts or restarts the VM with that position.
    ///
    /// # Errors
    /// When the process cannot be started.
    pub fn start_vm(&mut self, index: u8) -> Result<(), RigError> {
        let position = usize::from(index);
        let name = self.places[position].name.clone();
        let path = self.folder.path().join(format!("{name}.yaml"));
        fs::write(&path, self.vm_settings(index)).map_err(RigError::io("VM settings"))?;
        let args = [
            "--settings".to_owned(),
            path.display().to_string(),
            "--log".to_owned(),
            self.options.log.clone(),
        ];
        self.starts += 1;
        let log = self
            .folder
            .path()
            .join(format!("{name}-{}.log", self.starts));
        let process = Process::start(&name, "cicadalift-entry", &args, &log)?;
        if position < self.vms.len() {
            self.vms[position] = process;
        } else {
            self.vms.push(process);
        }
        Ok(())
    }

    fn vm_settings(&self, index: u8) -> String {
        let place = &self.places[usize::from(index)];
        let platform = if self.options.faults {
            self.layout.proxied(index, TO_PLATFORM)
        } else {
            self.layout.stand(PLATFORM)
        };
        let mut out = format!(
            "name: {}\nzone: {}\nfleet: fleet.yaml\ncaller: {}\npeer: {}\noperator: {}\nplatform: http://{platform}\noperator_token: {TOKEN}\npeers:\n",
            place.name, place.zone, place.caller, place.peer, place.operator
        );
        for (to, other) in (0_u8..).zip(&self.places) {
            let address = if self.options.faults {
                self.layout.proxied(index, to)
            } else {
                other.peer
            };
            let _ = writeln!(out, "  - {{name: {}, address: \"{address}\"}}", other.name);
        }
        out
    }

    async fn wait_forstands(&self) -> Result<(), RigError> {
        let platform = format!("http://{}/control/stats", self.layout.stand(PLATFORM));
        let upstream = format!("http://{}/sheds", self.layout.stand(UPSTREAM));
        for url in [platform, upstream] {
            let up = || async { self.admin.get::<serde_json::Value>(&url).await.is_ok() };
            until(&url, READY_TIMEOUT, up).await?;
        }
        Ok(())
    }

    /// Puts all VMs of the rig on the platform's list.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub async fn list_vms(&self) -> Result<(), RigError> {
        let listed: Vec<VmInfo> = self
            .places
            .iter()
            .map(|place| VmInfo {
                name: place.name.clone(),
                zone: place.zone.clone(),
                peer: place.peer.to_string(),
                leaving: false,
            })
            .collect();
        let url = format!("http://{}/vms", self.layout.stand(PLATFORM));
        self.admin.post(&url, &listed).await.map(drop)
    }

    /// Waits until every VM is ready, sees all others and every pool has an owner that admits.
    ///
    /// # Errors
    /// When that takes too long.
    pub async fn wait_until_ready(&self) -> Result<(), RigError> {
        until("the VMs", READY_TIMEOUT, || self.settled()).await
    }

    async fn settled(&self) -> bool {
        let mut admitted = std::collections::BTreeSet::new();
        let mut pools = 0;
        for place in &self.places {
            if !self.admin.ready(place).await {
                return false;
            }
            let Ok(dump) = self.admin.dump(place).await else {
                return false;
            };
            let members = dump["members"].as_array().cloned().unwrap_or_default();
            let alive = members
                .iter()
                .filter(|member| member["status"] == "alive")
                .count();
            if alive != self.places.len() {
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
    pub fn plans(&self, sends: u32) -> Vec<Request> {
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
    pub fn callers(&self, count: usize) -> Vec<Caller> {
        let regions = self.fleet.regions.len();
        (0..count)
            .map(|index| self.caller(index % regions))
            .collect()
    }

    /// A caller whose address lies in the client block of a region.
    #[must_use]
    pub fn caller(&self, region: usize) -> Caller {
        let block = self.fleet.client_blocks.get(region);
        let address = block.map(|block| {
            let first = u32::from(block.first_address);
            IpAddr::V4((first + 1).into())
        });
        let entries = self.places.iter().map(Place::url).collect();
        Caller::new(address, entries)
    }

    /// Folder with the logs and settings of the rig.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

/// Waits until a condition holds.
///
/// # Errors
/// [`RigError::NotReady`] when that takes longer than the limit.
pub async fn until<F, C>(what: &str, limit: Duration, condition: C) -> Result<(), RigError>
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
fn places(layout: &Layout, fleet: &Fleet, vms: u8) -> Vec<Place> {
    let zones: Vec<&String> = fleet.sites.iter().flat_map(|site| &site.zones).collect();
    let mut out = Vec::new();
    for index in 0..vms {
        let zone =
            zones[usize::from(index) * 2 % zones.len() + usize::from(index) * 2 / zones.len() % 2];
        let name = format!("{zone}-vm{}", usize::from(index) / zones.len() + 1);
        out.push(layout.vm(&name, zone, index));
    }
    out
}
