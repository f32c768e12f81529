//! A machine of the system: the project's program as a separate process, as the deploy file starts it.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::net::{Message, send_once};

/// Program and argument of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/cicadalift-platform";

pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Machine {
    /// Writes the settings of a machine as the platform does. The bounds are those of the site.
    pub fn new(folder: &Path, name: &str, ip: IpAddr, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let folder = folder.join(name);
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("settings.toml"), settings(name, ip, zone, store, true))?;
        Ok(Self { name: name.to_owned(), ip, folder, child: None, starts: 0 })
    }

    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = File::create(self.folder.join(format!("log-{}.json", self.starts)))?;
        let errors = File::create(self.folder.join(format!("errors-{}.txt", self.starts)))?;
        let child = Command::new(PROGRAM)
            .arg("serve")
            .env("CICADALIFT_SETTINGS", self.folder.join("settings.toml"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the process has ended, at most for so long. Returns whether it has.
    pub fn wait_end(&mut self, longest: Duration) -> bool {
        let end = Instant::now() + longest;
        while Instant::now() < end {
            if self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Starts the process again after its first one, as the platform does.
    pub fn start_again(&mut self) -> io::Result<()> {
        let path = self.folder.join("settings.toml");
        let text = fs::read_to_string(&path)?;
        fs::write(path, text.replace("bootstrap = true", "bootstrap = false"))?;
        self.start()
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.as_ref().map_or(0, Child::id).to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("signal not sent")) }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8381)
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        let probe = Message::new("GET /api/readiness HTTP/1.1", &[("Host", "probe")], b"");
        while Instant::now() < end {
            if send_once(SocketAddr::new(self.ip, 8388), &probe, Duration::from_secs(1)).status() == 200 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }

    /// What the process wrote to standard error since its last start.
    pub fn errors(&self) -> String {
        fs::read_to_string(self.folder.join(format!("errors-{}.txt", self.starts))).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn settings(name: &str, ip: IpAddr, zone: &str, store: SocketAddr, bootstrap: bool) -> String {
    let region = if zone.starts_with("pasig") { "luzon" } else { "visayas" };
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
bootstrap = {bootstrap}
counts_as_loss = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[zones]
pasig-a = "luzon"
pasig-b = "luzon"
cebu-a = "visayas"
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
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
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
