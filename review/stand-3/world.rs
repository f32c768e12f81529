//! What all cases share: addresses, the record, the processes of the system, the operator, clients.

use {
    crate::{
        http::{self, Message},
        store::Store,
        target::{Arrival, Spec, Target},
    },
    std::{
        fs::{self, File},
        io::Write,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

pub const HOST: &str = "jepu9.example";
/// Zones with their regions, as in the users' first deployment.
pub const ZONES: [(&str, &str); 6] = [
    ("pasig-a", "luzon"),
    ("pasig-b", "luzon"),
    ("cebu-a", "visayas"),
    ("cebu-b", "visayas"),
    ("davao-a", "mindanao"),
    ("davao-b", "mindanao"),
];

/// The file `record.txt` of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }

    /// Writes a line there and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}

/// One machine of the system.
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Vm {
    pub fn start(&mut self) {
        self.starts += 1;
        let log = File::create(format!("{}-{}.log", self.log.display(), self.starts));
        let mut command = Command::new("target/release/cicadalift-platform");
        command.arg("serve").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command
            .env("CICADALIFT_SETTINGS", &self.settings)
            .stdin(Stdio::null());
        command.stdout(log.expect("log file")).stderr(Stdio::null());
        self.child = Some(
            command
                .spawn()
                .expect("target/release/cicadalift-platform starts"),
        );
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends the kill signal without waiting for the end.
    pub fn signal_kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let Some(pid) = self.pid() else { return };
        let _ = Command::new("kill")
            .args(["-s", signal, &pid.to_string()])
            .status();
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8381)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8388)
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8383)
    }

    pub fn is_ready(&self) -> bool {
        let request = Message::new("GET /api/readiness HTTP/1.1", &[("Host", "ready")], b"");
        let answer = http::send(self.ready(), &request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

/// A small deployment with its store and its targets.
pub struct World {
    pub record: Record,
    pub store: Store,
    pub vms: Vec<Vm>,
    pub targets: Vec<Arc<Target>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// `contact_ms` in the settings.
    pub contact_ms: u32,
    /// `config_apply_ms` and `drain_ms` there.
    pub change_ms: u32,
    octets: (u8, u8),
    folder: PathBuf,
}

impl World {
    /// Starts a store at free loopback addresses.
    pub fn new(record: &Record) -> std::io::Result<Self> {
        let pid = std::process::id();
        for attempt in 0..200 {
            let octets = (
                20 + ((pid + attempt) % 200) as u8,
                1 + (pid / 200 % 250) as u8,
            );
            let address = loopback(octets, 1, 8384);
            let Ok(store) = Store::start(address) else {
                continue;
            };
            let folder = std::env::temp_dir().join(format!("cicadalift-review-{pid}"));
            fs::create_dir_all(&folder)?;
            return Ok(Self {
                record: record.clone(),
                store,
                vms: Vec::new(),
                targets: Vec::new(),
                arrivals: Arc::default(),
                contact_ms: 3000,
                change_ms: 2000,
                octets,
                folder,
            });
        }
        Err(std::io::Error::other("no free loopback addresses"))
    }

    pub fn target_address(&self, number: usize) -> SocketAddr {
        loopback(self.octets, 100 + number as u8, 8224)
    }

    pub fn add_target(&mut self, spec: Spec) {
        let target = Target::start(spec, &self.store, &self.arrivals, &self.record);
        self.targets.push(target);
    }

    /// Starts a machine in each of these zones (zone, region).
    pub fn start_vms(&mut self, zones: &[(&str, &str)]) {
        let all: Vec<String> = zones
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\""))
            .collect();
        let mut all_zones = all.clone();
        all_zones.sort();
        all_zones.dedup();
        for (number, (zone, region)) in zones.iter().enumerate() {
            let IpAddr::V4(ip) = loopback(self.octets, 10 + number as u8, 0).ip() else {
                return;
            };
            let name = format!("edge-{zone}-{number}");
            let store = loopback(self.octets, 1, 8384);
            let settings = self.folder.join(format!("{name}.toml"));
            let text = settings_text(
                &name,
                ip,
                zone,
                region,
                &all_zones.join("\n"),
                store,
                self.contact_ms,
                self.change_ms,
            );
            fs::write(&settings, text).expect("settings file");
            let log = self.folder.join(&name);
            let zone = (*zone).to_owned();
            let mut vm = Vm {
                name,
                zone,
                ip,
                settings,
                log,
                child: None,
                starts: 0,
            };
            vm.start();
            self.vms.push(vm);
        }
    }

    /// Waits until all machines are ready. Returns false if that takes too long.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.vms.iter().all(Vm::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            vm.kill();
        }
        for target in &self.targets {
            target.stop();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn loopback((second, third): (u8, u8), fourth: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, second, third, fourth), port))
}

/// Settings as the platform writes them, with the bounds of the users' first deployment.
fn settings_text(
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    region: &str,
    zones: &str,
    store: SocketAddr,
    contact_ms: u32,
    change_ms: u32,
) -> String {
    format!(
        r#"node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internal_ports = [7200,7215]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","places","platform"]

[zones]
{zones}

[listen]
front = "{ip}:8381"
ready = "{ip}:8388"
control = "{ip}:8382"
directory = "{ip}:8383"

[limits]
cpu_share = 0.2
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 1
zones = 1
regions = 1

[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = {contact_ms}
ack_ms = 4000
catch_up_s = 4
drain_ms = {change_ms}
grace_s = 6
loss_slack_ms = 200
config_apply_ms = {change_ms}
downgrade_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 60
warmup_factor = 1.5
warmup_slack = 5
evacuate_ms = 5000
recovery_s = 15
ttl_max_s = 5
max_shift = 0.15

[provider]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 4.0
part_writes_per_s = 250
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
"#
    )
}

/// A route of the operator's configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub slo_ms: u32,
}

/// Returns the configuration, in the form in which the operator writes it.
pub fn config(version: u32, routes: &[Route], services: &[&str], warmup_per_s: f64) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                r#"["r-{}","{HOST}","{}","{}",{},{},1,"{}",2,true,[],null]"#,
                r.prefix.trim_matches('/'),
                r.prefix,
                r.kind,
                r.timeout_ms,
                r.slo_ms,
                r.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|s| format!(r#"["{s}","/health",360,"h1",false,3.0,{warmup_per_s}]"#))
        .collect();
    format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","host","prefix","kind","timeout_ms","slo_ms","priority","service","max_attempts","session_affinity","allowed_regions","backends"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls","warmup_s","warmup_per_s"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"base_version":null}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Builds a client's request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    object: &str,
    deadline_ms: u32,
    body: &[u8],
) -> Message {
    let deadline = deadline_ms.to_string();
    let cookie = format!("X-Affinity-Key={object}");
    let mut headers = vec![
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", &deadline),
    ];
    if !object.is_empty() {
        headers.push(("Cookie", &cookie));
    }
    Message::new(&format!("{method} {path} HTTP/1.1"), &headers, body)
}
