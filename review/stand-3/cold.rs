//! A target crashes and starts again under its identifier, cold, while the store is away.

use {
    crate::{
        End, http,
        store::Mode,
        target::{Arrival, Reaction, Spec},
        world::{Record, Route, World, ZONES, config, request},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::Duration,
    },
};

const TARGETS: usize = 12;
const CLIENTS: usize = 48;
/// Time between two requests of a client.
const PACE: Duration = Duration::from_millis(100);
/// `platform_down` with `busy` lasts for 8.0 s at most in the site file.
const STORE_DOWN: Duration = Duration::from_secs(8);
/// `srv_crash` lasts for 4.5 s at most there.
const TARGET_DOWN: Duration = Duration::from_millis(2500);
const WARMUP: Duration = Duration::from_secs(3);
const WARMUP_PER_S: f64 = 3.2;
const WARMUP_FACTOR: f64 = 1.5;
const WARMUP_SLACK: f64 = 5.0;

pub fn play(record: &Record, has_trouble: bool) -> End {
    let mut world = match World::new(record) {
        Ok(world) => world,
        Err(error) => return End::NotRun(error.to_string()),
    };
    let routes = [Route {
        prefix: "/bib/",
        kind: "idempotent",
        service: "bibdesk",
        timeout_ms: 4000,
        slo_ms: 600,
    }];
    world.store.put(
        "op",
        "config",
        Some(&config(7, &routes, &["bibdesk"], WARMUP_PER_S)),
    );
    for number in 0..TARGETS {
        let address = world.target_address(number);
        world.add_target(Spec {
            name: format!("bib{number}"),
            service: "bibdesk".to_owned(),
            zone: ZONES[number % 6].0.to_owned(),
            address,
            slots: 4,
            work: Duration::from_millis(40),
            react: Arc::new(|_| Reaction::Run),
            down: TARGET_DOWN,
            keeps_id: true,
            cold: WARMUP,
            back_after: Duration::from_secs(1),
        });
    }
    world.start_vms(&ZONES);
    if !world.wait_until_ready() {
        return End::NotRun("the machines did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let (sent, good) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = world.vms[client % world.vms.len()].front();
            let (is_over, sent, good) = (is_over.clone(), sent.clone(), good.clone());
            thread::spawn(move || {
                thread::sleep(PACE * client as u32 / CLIENTS as u32);
                while !is_over.load(Ordering::SeqCst) {
                    let number = sent.fetch_add(1, Ordering::SeqCst);
                    let object = (number * 7919 % 211).to_string();
                    let (path, id) = (format!("/bib/{object}"), format!("lookup-{number}"));
                    let message = request("GET", &path, &id, &object, 4000, b"");
                    let answer = http::send(front, &message, Duration::from_secs(5));
                    good.fetch_add(
                        u32::from(answer.is_ok_and(|a| a.status() == 200)),
                        Ordering::SeqCst,
                    );
                    thread::sleep(PACE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        world.store.set_mode(Mode::Busy);
        record.line("the store is away");
        thread::sleep(Duration::from_secs(1));
        world.targets[0].crash();
        thread::sleep(STORE_DOWN - Duration::from_secs(1));
        world.store.set_mode(Mode::Up);
        record.line("the store is back");
    } else {
        thread::sleep(STORE_DOWN);
    }
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let (sent, good) = (sent.load(Ordering::SeqCst), good.load(Ordering::SeqCst));
    record.say(&format!("requests: {good} of {sent} served"));
    let arrivals = world.arrivals();
    for number in 0..TARGETS {
        let id = format!("i-bib{number}-1");
        let count = arrivals.iter().filter(|a| a.target == id).count();
        record.line(&format!("{id} got {count} requests"));
    }
    let cold: Vec<&Arrival> = arrivals.iter().filter(|a| a.is_cold).collect();
    for arrival in &cold {
        let at = record.seconds(arrival.at);
        record.line(&format!(
            "{} reached {} at {at:.3} s while it was cold",
            arrival.id, arrival.target
        ));
    }
    let most = most_in_a_second(&cold);
    let bound = WARMUP_PER_S * WARMUP_FACTOR + WARMUP_SLACK;
    record.say(&format!(
        "cold targets got {} requests, {most} in one second at most; {bound:.1} are allowed",
        cold.len()
    ));
    if f64::from(most) > bound {
        End::Broken
    } else {
        End::Held
    }
}

/// Returns the most requests that one target got in any second.
fn most_in_a_second(arrivals: &[&Arrival]) -> u32 {
    let mut most = 0;
    for first in arrivals {
        let in_second = arrivals.iter().filter(|a| {
            a.target == first.target && a.at >= first.at && a.at < first.at + Duration::from_secs(1)
        });
        most = most.max(in_second.count() as u32);
    }
    most
}
