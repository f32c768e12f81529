//! A small deployment on loopback addresses: a store, machines and targets.

use {
    crate::{
        machine::Machine,
        net::{Message, send_once},
        record::Record,
        store::Store,
        target::{Framing, Settings, Target},
    },
    std::{
        env, fs, io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        process,
        sync::{Arc, atomic::AtomicU8},
        thread,
        time::{Duration, Instant},
    },
};

pub const HOST: &str = "jepu9.example";
/// The bound of the site on a change of the configuration.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2000);

pub struct World {
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Machine>,
    /// By machine, whether the store answers it.
    pub store_modes: Vec<Arc<AtomicU8>>,
    folder: PathBuf,
    octets: (u8, u8),
}

impl World {
    /// Starts a store. The machines are started by [`Self::add_machine`].
    pub fn new() -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("cicadalift-review-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let octets = free_octets()?;
        Ok(Self {
            record: Record::new(),
            store: Store::new(),
            machines: Vec::new(),
            store_modes: Vec::new(),
            folder,
            octets,
        })
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.octets.0, self.octets.1, host))
    }

    /// Starts a machine in a zone and waits until it is ready. Returns its number.
    pub fn add_machine(&mut self, zone: &str) -> io::Result<usize> {
        let number = self.machines.len();
        let host = u8::try_from(number).unwrap_or(0);
        let store = self.address(100 + host, 8384);
        self.store_modes.push(self.store.listen(store)?);
        let name = format!("edge-{zone}-{}", number + 1);
        let mut machine = Machine::new(&self.folder, &name, self.ip(10 + host), zone, store)?;
        machine.start()?;
        machine.wait_ready()?;
        self.record.note(&format!("machine {name} is ready at {}", machine.front()));
        self.machines.push(machine);
        Ok(number)
    }

    pub fn target_settings(&self, id: &str, host: u8, slots: usize, work_ms: u64) -> Settings {
        Settings {
            id: id.to_owned(),
            address: self.address(host, 9000),
            slots,
            work: Duration::from_millis(work_ms),
            known_objects: usize::MAX,
            first_run: Duration::from_millis(work_ms),
            framing: Framing::Length,
            cold: Duration::ZERO,
            crash_above: usize::MAX,
        }
    }

    /// Starts a target and writes its entry.
    pub fn start_target(&self, settings: &Settings, service: &str, zone: &str, born: u64) -> io::Result<Target> {
        let target = Target::start(settings.clone(), &self.record)?;
        self.report(settings, service, zone, born);
        Ok(target)
    }

    /// Writes the entry of a target, as it writes it at its start.
    pub fn report(&self, settings: &Settings, service: &str, zone: &str, born: u64) {
        let entry = format!(
            r#"{{"address":"{}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{}}},"status":{{"state":"ready","sequence":1,"warmup_left_ms":{}}},"born":{born}}}"#,
            settings.address,
            settings.slots,
            settings.cold.as_millis()
        );
        self.store.put("servers", &settings.id, Some(&entry));
    }

    /// Writes a configuration with one service `s`. A route is its name, kind, time-out and objective in
    /// milliseconds (`null` for none).
    pub fn configure(&self, version: u64, routes: &[(&str, &str, u64, &str)], max_header_bytes: u64) {
        let rows: Vec<String> = routes
            .iter()
            .map(|(name, kind, timeout, objective)| {
                format!(r#"["r-{name}","{HOST}","/{name}/","{kind}",{timeout},{objective},1,"s",2,true,[],null]"#)
            })
            .collect();
        let text = format!(
            r#"{{"version":"r{version}","routes":{{"columns":["name","host","prefix","kind","timeout_ms","slo_ms","priority","service","max_attempts","session_affinity","allowed_regions","backends"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls","warmup_s","warmup_per_s"],"rows":[["s","/health",360,"h1",false,3.0,3.2]]}},"limits":{{"max_header_bytes":{max_header_bytes},"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"base_version":null}}"#,
            rows.join(",")
        );
        let ver = self.store.put("op", "config", Some(&text));
        self.record.note(&format!("store acknowledges config r{version} at version {ver}"));
    }

    /// Sends requests to a machine until one is answered by a target.
    pub fn wait_served(&self, machine: usize, path: &str) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(10);
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let request = request("GET", path, &format!("first-{machine}-{number}"), 2000);
            if send_once(self.machines[machine].front(), &request, Duration::from_secs(2)).is_sealed() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("no first answer"))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.machines.clear();
        if env::var_os("CICADALIFT_KEEP").is_some() {
            eprintln!("logs are kept in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A request as the platform's clients send it.
pub fn request(method: &str, path: &str, id: &str, budget_ms: u64) -> Message {
    let budget = budget_ms.to_string();
    let headers = [("Host", HOST), ("X-Request-Id", id), ("X-Deadline-Ms", budget.as_str())];
    let body = if method == "GET" { Vec::new() } else { format!("body of {id}").into_bytes() };
    Message::new(&format!("{method} {path} HTTP/1.1"), &headers, &body)
}

/// Returns the two middle octets of loopback addresses that nothing listens on.
fn free_octets() -> io::Result<(u8, u8)> {
    let seed = process::id();
    for attempt in 0..200 {
        let number = seed.wrapping_add(attempt);
        let octets = (u8::try_from(20 + number % 80).unwrap_or(20), u8::try_from(number / 80 % 250).unwrap_or(0));
        let address = SocketAddr::from((Ipv4Addr::new(127, octets.0, octets.1, 100), 8384));
        if std::net::TcpListener::bind(address).is_ok() {
            return Ok(octets);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}
