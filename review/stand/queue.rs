//! Requests that wait for a slot while their machine is stopped.

use crate::Verdict;
use crate::stand::*;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HOST: &str = "media.example";
const ZONES: [(&str, &str); 2] = [("north-a", "north"), ("north-b", "north")];
const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const GRACE_MS: u64 = 6000;
const BUDGET: Duration = Duration::from_millis(12_000);
/// Time that a request takes at a target.
const WORK: Duration = Duration::from_millis(2000);
const TARGETS: u8 = 2;
const SLOTS: usize = 3;
/// Three rounds of all slots.
const CLIENTS: usize = 18;
/// When they are sent, after the SIGTERM.
const SENT_AFTER: Duration = Duration::from_millis(2400);

/// LOST: a machine is stopped while requests that it has read wait for a slot of a target.
pub fn restart(directory: &Path) -> Verdict {
    let text = |e: std::io::Error| e.to_string();
    let network = free_network();
    let store = Store::default();
    let store_address = address(network, 200, 8384);
    store.serve(store_address).map_err(text)?;
    store.put(
        "op",
        "config",
        Some(
            r#"{"version":"r1","routes":{"columns":["name","host","prefix","service","kind","timeout_ms","slo_ms","max_attempts","priority"],"rows":[["archive-read","media.example","/archive/","evidence","idempotent",12000,10000,2,2]]},"services":{"columns":["name","health_path","max_connections","warmup_s","warmup_per_s"],"rows":[["evidence","/health",330,3,3.2]]},"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
        ),
    );
    let runs = Arc::new(Mutex::new(Vec::new()));
    let job = Arc::new(|_: &Message| Job {
        work: WORK,
        bytes: 400,
        has_length: true,
    });
    for n in 0..TARGETS {
        let zone = ZONES[usize::from(n % 2)].0;
        let id = format!("i-{:08x}", 0x7f3a_91c0_u32 + u32::from(n));
        Target::start(
            &store,
            &id,
            "evidence",
            zone,
            address(network, 100 + n, 9000),
            SLOTS,
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
    let front = vms[0].front();
    let mut stopped = vms.remove(0);
    // A few calm requests, from which the machine learns how long one takes.
    for _ in 0..2 {
        let calm: Vec<_> = (0..4).map(|_| thread::spawn(move || ask(front))).collect();
        calm.into_iter().for_each(|client| drop(client.join()));
    }
    let stopped_ms = now_ms();
    if has_trouble() {
        stopped.signal(SIGTERM);
    }
    // Clients that were told of the machine before come to it for a while.
    thread::sleep(SENT_AFTER);
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(thread::spawn(move || ask(front)));
        thread::sleep(Duration::from_millis(10));
    }
    if has_trouble() {
        wait_for_end(&mut stopped, stopped_ms);
    }
    let mut lost = 0;
    for client in clients {
        let Ok(Some(end)) = client.join() else {
            return Err("a connection was not accepted".to_owned());
        };
        let is_answered = end.is_whole && end.status != 0;
        let in_budget = end.ended_ms < end.sent_ms + BUDGET.as_millis() as u64;
        if is_answered || !in_budget {
            continue;
        }
        let run = runs
            .lock()
            .unwrap()
            .iter()
            .find(|r: &&Run| r.id == end.id)
            .cloned();
        // At work in the last sixth of the grace period, on a request sent in time: not counted.
        let is_excused = run.as_ref().is_some_and(|run| {
            run.work_ended_ms
                .is_none_or(|at| at >= stopped_ms + GRACE_MS * 5 / 6)
        });
        note(&format!(
            "lost     {}: closed without an answer {} ms after SIGTERM and {} ms after it was sent; {}",
            end.id,
            end.ended_ms as i64 - stopped_ms as i64,
            end.ended_ms - end.sent_ms,
            match (&run, is_excused) {
                (None, _) => "it had not reached a target",
                (Some(_), true) => "its target was at work: not counted",
                (Some(_), false) => "its target was done",
            }
        ));
        lost += usize::from(!is_excused);
    }
    note(&format!("result   {lost} requests were lost"));
    Ok(lost > 0)
}

/// Waits for the end of the grace period, and then kills the process if it still runs.
fn wait_for_end(stopped: &mut Vm, stopped_ms: u64) {
    let mut has_ended = false;
    while now_ms() < stopped_ms + GRACE_MS {
        if !has_ended && stopped.has_ended() {
            has_ended = true;
            note(&format!(
                "process  ended by itself {} ms after SIGTERM",
                now_ms() - stopped_ms
            ));
        }
        thread::sleep(Duration::from_millis(5));
    }
    if !has_ended {
        stopped.signal(SIGKILL);
    }
}

fn ask(front: std::net::SocketAddr) -> Option<End> {
    let mut stream = std::net::TcpStream::connect(front).ok()?;
    Some(download(
        &mut stream,
        HOST,
        "/archive/2f",
        BUDGET,
        1e9,
        None,
    ))
}
