//! Requests that may run once only, whose clients leave while they wait for a slot.

use crate::Verdict;
use crate::stand::*;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HOST: &str = "field.example";
const ZONES: [(&str, &str); 2] = [("north-a", "north"), ("north-b", "north")];
const BUDGET_MS: u64 = 6000;
/// Time that a request takes at a target.
const WORK: Duration = Duration::from_millis(840);
const TARGETS: u8 = 8;
const SLOTS: usize = 3;
const CLIENTS: usize = 120;
/// Of ten clients, so many leave.
const LEAVING_OF_TEN: usize = 3;
/// When they leave, after they have sent their request.
const LEAVE_AFTER: Duration = Duration::from_millis(100);
/// A request that reaches a target later than this after its client has left counts.
const SLACK_MS: u64 = 500;
/// The rule allows a few.
const FEW: usize = 5;

/// GONE: requests reach targets long after their clients have closed their connections.
pub fn play(directory: &Path) -> Verdict {
    let text = |e: std::io::Error| e.to_string();
    let network = free_network();
    let store = Store::default();
    let store_address = address(network, 200, 8384);
    store.serve(store_address).map_err(text)?;
    store.put(
        "op",
        "config",
        Some(
            r#"{"version":"r1","routes":{"columns":["name","host","prefix","service","kind","timeout_ms","slo_ms","max_attempts","priority"],"rows":[["report-submit","field.example","/report/","fieldwork","non_idempotent",6000,4000,2,1]]},"services":{"columns":["name","health_path","max_connections","warmup_s","warmup_per_s"],"rows":[["fieldwork","/health",330,3,3.2]]},"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
        ),
    );
    let runs = Arc::new(Mutex::new(Vec::new()));
    let job = Arc::new(|_: &Message| Job {
        work: WORK,
        bytes: 400,
        has_length: true,
    });
    for n in 0..TARGETS {
        let zone = ZONES[usize::from(n) % ZONES.len()].0;
        let id = format!("i-{:08x}", 0x7f3a_91c0_u32 + u32::from(n));
        let at = address(network, 100 + n, 9000);
        Target::start(
            &store,
            &id,
            "fieldwork",
            zone,
            at,
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
        let place = Place { zone, region };
        vms.push(Vm::start(directory, *at.ip(), &place, &ZONES, store_address).map_err(text)?);
    }
    if !wait_ready(&vms) {
        return Err("the machines did not become ready".to_owned());
    }
    let front = vms[0].front();
    let mut clients = Vec::new();
    // A few calm requests first, from which the machine learns how long one takes.
    for n in 0..CLIENTS + 8 {
        let leaves = has_trouble() && n >= 8 && n % 10 < LEAVING_OF_TEN;
        clients.push(thread::spawn(move || submit(front, leaves)));
        let pause = if n < 8 { 450 } else { 5 };
        thread::sleep(Duration::from_millis(pause));
    }
    let mut late = 0;
    for client in clients {
        let Ok(Some((id, Some(left_ms)))) = client.join() else {
            continue;
        };
        thread::sleep(Duration::from_millis(50));
        let run = runs
            .lock()
            .unwrap()
            .iter()
            .find(|r: &&Run| r.id == id)
            .cloned();
        if let Some(run) = run
            && run.began_ms > left_ms + SLACK_MS
        {
            let after = run.began_ms - left_ms;
            note(&format!(
                "late     {id} reached target {} {after} ms after its client had left",
                run.target
            ));
            late += 1;
        }
    }
    note(&format!(
        "result   {late} requests reached a target over half a second after their clients had left"
    ));
    Ok(late > FEW)
}

/// Sends a request and waits for its answer, or leaves. Returns its id and when its client left.
fn submit(front: std::net::SocketAddr, leaves: bool) -> Option<(String, Option<u64>)> {
    let mut stream = std::net::TcpStream::connect(front).ok()?;
    let id = new_id();
    let body = body_of(&id, 1200);
    let head = request_text("POST", HOST, "/report/2f", &id, BUDGET_MS);
    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), &body].concat()).ok()?;
    note(&format!(
        "request  {id} sent: POST /report/2f, time budget {BUDGET_MS} ms"
    ));
    if leaves {
        stream.set_read_timeout(Some(LEAVE_AFTER)).ok()?;
        let mut reader = std::io::BufReader::new(stream.try_clone().ok()?);
        if let Ok(Some(answer)) = read_head(&mut reader) {
            note(&format!("request  {id} answered: {}", answer.status()));
            return Some((id, None));
        }
        stream.shutdown(std::net::Shutdown::Both).ok()?;
        drop((reader, stream));
        let left_ms = now_ms();
        note(&format!("request  {id}: its client closes the connection"));
        // Until all that may still run has begun.
        thread::sleep(Duration::from_millis(BUDGET_MS));
        return Some((id, Some(left_ms)));
    }
    stream
        .set_read_timeout(Some(Duration::from_millis(BUDGET_MS)))
        .ok()?;
    let answer = read_message(&mut std::io::BufReader::new(stream));
    let status = answer.ok().flatten().map_or(0, |a| a.status());
    note(&format!("request  {id} answered: {status}"));
    Some((id, None))
}
