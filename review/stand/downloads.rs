//! Downloads by clients that read slowly.

use crate::Verdict;
use crate::stand::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HOST: &str = "media.example";
const ZONES: [(&str, &str); 2] = [("north-a", "north"), ("north-b", "north")];
const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const SIGHUP: i32 = 1;
/// `memory_mb` of the settings.
const MEMORY_KB: u64 = 260 * 1024;
/// For how long a client stops reading.
const PAUSE: Duration = Duration::from_millis(2500);
const GRACE_MS: u64 = 6000;

struct Deployment {
    vms: Vec<Vm>,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// Starts a store, four targets of one service in the first `target_zones` zones, and a machine in each
/// zone. A machine sends to the targets of its zone itself.
fn deploy(directory: &Path, has_length: bool, target_zones: usize) -> Result<Deployment, String> {
    let text = |e: std::io::Error| e.to_string();
    let network = free_network();
    let store = Store::default();
    let store_address = address(network, 200, 8384);
    store.serve(store_address).map_err(text)?;
    store.put(
        "op",
        "config",
        Some(
            r#"{"version":"r1","routes":{"columns":["name","host","prefix","service","kind","timeout_ms","slo_ms","max_attempts","priority"],"rows":[["media-pull","media.example","/media/","evidence","download",12000,1500,2,2]]},"services":{"columns":["name","health_path","max_connections","warmup_s","warmup_per_s"],"rows":[["evidence","/health",330,3,3.2]]},"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
        ),
    );
    let runs = Arc::new(Mutex::new(Vec::new()));
    let job = Arc::new(move |request: &Message| Job {
        work: Duration::from_millis(100),
        bytes: request
            .second()
            .split('/')
            .nth(2)
            .and_then(|n| n.parse().ok())
            .unwrap_or(1000),
        has_length: has_length || !request.second().ends_with("/pack"),
    });
    for n in 0..4_u8 {
        let zone = ZONES[usize::from(n) % target_zones].0;
        let id = format!("i-{:08x}", 0x7f3a_91c0_u32 + u32::from(n));
        Target::start(
            &store,
            &id,
            "evidence",
            zone,
            address(network, 100 + n, 9000),
            8,
            &runs,
            job.clone(),
        )
        .map_err(text)?;
    }
    let mut vms = Vec::new();
    for n in 0..2_u8 {
        let (zone, region) = ZONES[usize::from(n)];
        let std::net::SocketAddr::V4(at) = address(network, 1 + n, 0) else {
            unreachable!()
        };
        vms.push(
            Vm::start(
                directory,
                *at.ip(),
                &Place { zone, region },
                &ZONES,
                store_address,
            )
            .map_err(text)?,
        );
    }
    if !wait_ready(&vms) {
        return Err("the machines did not become ready".to_owned());
    }
    Ok(Deployment { vms, runs })
}

/// Sends downloads to a machine, each on a connection on which a small one was answered before.
fn start_downloads(
    vm: &Vm,
    sizes: &[usize],
    bytes_per_s: f64,
    budget: Duration,
    pause: Option<(usize, Duration)>,
) -> Vec<thread::JoinHandle<Option<End>>> {
    let front = vm.front();
    let mut clients = Vec::new();
    for bytes in sizes.iter().copied() {
        clients.push(thread::spawn(move || {
            let mut stream = connect_ethernet(front, 16_384).ok()?;
            let first = download(&mut stream, HOST, "/media/2000/first", budget, 1e9, None);
            if !first.is_whole || first.status != 200 {
                return None;
            }
            let path = format!("/media/{bytes}/pack");
            Some(download(
                &mut stream,
                HOST,
                &path,
                budget,
                bytes_per_s,
                pause,
            ))
        }));
    }
    clients
}

/// Sends small downloads, whose answers state their lengths: 57 beside the three first ones of the clients.
fn send_small(vm: &Vm, budget: Duration) -> Result<(), String> {
    let front = vm.front();
    let clients: Vec<_> = (0..19)
        .map(|_| {
            thread::spawn(move || {
                let mut stream = connect_ethernet(front, 16_384).ok()?;
                let mut ask =
                    || download(&mut stream, HOST, "/media/2000/small", budget, 1e9, None);
                let ends = [ask(), ask(), ask()];
                ends.iter()
                    .all(|end| end.status == 200 || end.status == 503)
                    .then_some(())
            })
        })
        .collect();
    let answered = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten())
        .count();
    (answered == 19)
        .then_some(())
        .ok_or_else(|| "a small download failed".to_owned())
}

/// LOST: a machine is stopped while clients slowly read answers that it has whole.
pub fn restart(directory: &Path) -> Verdict {
    let mut deployment = deploy(directory, false, 1)?;
    let budget = Duration::from_millis(12_000);
    send_small(&deployment.vms[0], budget)?;
    // The longest takes 5.4 s, which is up before the grace period is over.
    let sizes = [3_000_000, 3_500_000, 4_000_000];
    let clients = start_downloads(&deployment.vms[0], &sizes, 740_000.0, budget, None);
    thread::sleep(Duration::from_millis(500));
    let stopped_ms = now_ms();
    if has_trouble() {
        deployment.vms[0].signal(SIGTERM);
        let mut has_ended = false;
        while now_ms() < stopped_ms + GRACE_MS {
            if !has_ended && deployment.vms[0].has_ended() {
                has_ended = true;
                note(&format!(
                    "process  ended by itself {} ms after SIGTERM",
                    now_ms() - stopped_ms
                ));
            }
            thread::sleep(Duration::from_millis(5));
        }
        if !has_ended {
            deployment.vms[0].signal(SIGKILL);
        }
    }
    let mut broken = 0;
    for client in clients {
        let Ok(Some(end)) = client.join() else {
            return Err("a first request was not answered".to_owned());
        };
        let run = deployment
            .runs
            .lock()
            .unwrap()
            .iter()
            .find(|r| r.id == end.id)
            .cloned();
        let Some(run) = run else {
            return Err(format!("{} was not passed on to a target", end.id));
        };
        if end.is_whole && end.status == 200 && end.sealed {
            continue;
        }
        // What the rule does not count.
        let target_is_done = run
            .answered_ms
            .is_some_and(|at| at < stopped_ms + GRACE_MS * 5 / 6);
        let in_budget = end.ended_ms < end.sent_ms + budget.as_millis() as u64;
        let is_around =
            end.sent_ms < stopped_ms + 3000 && end.ended_ms <= stopped_ms + GRACE_MS + 1000;
        if target_is_done && in_budget && is_around {
            note(&format!(
                "broken   {}: its connection ended without a complete answer, {} ms after SIGTERM",
                end.id,
                end.ended_ms.saturating_sub(stopped_ms)
            ));
            broken += 1;
        }
    }
    Ok(broken > 0)
}

/// LOST: clients stop reading for a moment, beside a SIGHUP of the machine that serves them.
pub fn pause(directory: &Path) -> Verdict {
    const CLIENTS: usize = 6;
    let deployment = deploy(directory, true, 1)?;
    let budget = Duration::from_millis(12_000);
    let pause = has_trouble().then_some((100_000, PAUSE));
    if has_trouble() {
        deployment.vms[0].signal(SIGHUP);
    }
    let clients = start_downloads(
        &deployment.vms[0],
        &[540_000; CLIENTS],
        400_000.0,
        budget,
        pause,
    );
    let mut cut = 0;
    for client in clients {
        let Ok(Some(end)) = client.join() else {
            return Err("a first request was not answered".to_owned());
        };
        let runs = deployment.runs.lock().unwrap();
        let is_passed_on = runs
            .iter()
            .any(|run| run.id == end.id && run.answered_ms.is_some());
        let in_budget = end.ended_ms < end.sent_ms + budget.as_millis() as u64;
        cut += usize::from(!end.is_whole && is_passed_on && in_budget);
    }
    note(&format!(
        "result   {cut} of {CLIENTS} kept connections closed without a complete answer"
    ));
    // One is enough around a SIGHUP; at any other time it would be more than three.
    Ok(cut > 0)
}

/// Fault: machines run out of memory three times each while clients slowly read.
pub fn memory(directory: &Path) -> Verdict {
    const KILLS: u32 = 3;
    const CLIENT_INTERVAL: Duration = Duration::from_millis(80);
    const BYTES: usize = 5_000_000;
    let mut deployment = deploy(directory, false, 2)?;
    let budget = Duration::from_millis(12_000);
    let bytes_per_s = if has_trouble() { 450_000.0 } else { 1e9 };
    let stop = Arc::new(AtomicBool::new(false));
    let mut senders = Vec::new();
    for vm in &deployment.vms {
        let (front, stop) = (vm.front(), stop.clone());
        senders.push(thread::spawn(move || {
            let mut clients = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                clients.push(thread::spawn(move || {
                    let Ok(mut stream) = connect_ethernet(front, 16_384) else {
                        return;
                    };
                    download(
                        &mut stream,
                        HOST,
                        &format!("/media/{BYTES}/pack"),
                        budget,
                        bytes_per_s,
                        None,
                    );
                }));
                thread::sleep(CLIENT_INTERVAL);
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        }));
    }
    let mut kills = vec![0_u32; deployment.vms.len()];
    let mut peaks = vec![0_u64; deployment.vms.len()];
    let mut down_until = vec![0_u64; deployment.vms.len()];
    let until = now_ms() + 75_000;
    while now_ms() < until && kills.iter().any(|count| *count < KILLS) {
        for (n, vm) in deployment.vms.iter_mut().enumerate() {
            if down_until[n] > 0 {
                if now_ms() >= down_until[n] {
                    down_until[n] = 0;
                    vm.spawn().map_err(|e| e.to_string())?;
                }
                continue;
            }
            let resident_kb = vm.resident_kb();
            peaks[n] = peaks[n].max(resident_kb);
            let is_over = resident_kb > MEMORY_KB;
            if is_over || vm.has_ended() {
                note(&format!(
                    "process  {} holds {resident_kb} KB, over its limit of {MEMORY_KB} KB: the platform kills it",
                    vm.name
                ));
                vm.signal(SIGKILL);
                while !vm.has_ended() {
                    thread::sleep(Duration::from_millis(1));
                }
                kills[n] += 1;
                down_until[n] = now_ms() + 1000;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    note(&format!(
        "result   kills for memory: {kills:?}; most memory seen: {peaks:?} KB"
    ));
    Ok(kills.iter().filter(|count| **count >= KILLS).count() >= 2)
}
