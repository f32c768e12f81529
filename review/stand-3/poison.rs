//! A request that crashes each target that runs it, and comes again and again.

use {
    crate::{
        End, http,
        target::{Reaction, Spec},
        world::{Record, Route, World, ZONES, config, request},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const POISON: &str = "/payout/batch-17";
/// `contact_ms`
const CONTACT: Duration = Duration::from_secs(3);
/// "reaches targets in more than three retries"
const MAX_RETRIES: usize = 3;

/// How the request comes, and how a target crashes.
pub struct Plan {
    pub reaction: Reaction,
    pub played: Duration,
    /// Machines that the caller uses, and how many requests it sends at once.
    pub machines: usize,
    pub copies: usize,
    /// Time between two sends.
    pub interval: Duration,
    pub sends: usize,
    pub vms: usize,
}

pub fn play(record: &Record, has_trouble: bool, plan: &Plan) -> End {
    let reaction = plan.reaction;
    let mut world = match World::new(record) {
        Ok(world) => world,
        Err(error) => return End::NotRun(error.to_string()),
    };
    let routes = [Route {
        prefix: "/payout/",
        kind: "non_idempotent",
        service: "payline",
        timeout_ms: 3000,
        slo_ms: 800,
    }];
    world
        .store
        .put("op", "config", &config(7, &routes, &["payline"], 3.2));
    for number in 0..12 {
        let address = world.target_address(number);
        world.add_target(Spec {
            name: format!("pay{number}"),
            service: "payline".to_owned(),
            zone: ZONES[number % 6].0.to_owned(),
            address,
            slots: 4,
            work: Duration::from_millis(60),
            react: Arc::new(move |request| {
                if has_trouble && request.path() == POISON {
                    reaction
                } else {
                    Reaction::Run
                }
            }),
            down: Duration::from_secs(3),
        });
    }
    let zones: Vec<(&str, &str)> = (0..plan.vms).map(|number| ZONES[number % 6]).collect();
    world.start_vms(&zones);
    if !world.wait_until_ready() {
        return End::NotRun("the machines did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let mut next_poison = started;
    let (mut sent, mut usual, mut usual_good) = (0, 0, 0);
    while started.elapsed() < plan.played {
        if Instant::now() >= next_poison && sent < plan.sends * plan.copies {
            let clients: Vec<_> = (0..plan.copies)
                .map(|_| {
                    // Machines of the caller's zone are six apart.
                    let number = if plan.copies > 1 {
                        6 * (sent % plan.machines)
                    } else {
                        sent % plan.machines
                    };
                    let vm = &world.vms[number];
                    let (front, name, record) = (vm.front(), vm.name.clone(), record.clone());
                    let id = format!("poison-{sent}");
                    sent += 1;
                    thread::spawn(move || {
                        let message = request("POST", POISON, &id, "", 3000, b"batch 17");
                        let answer = http::send(front, &message, Duration::from_secs(4));
                        let told =
                            answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                        record.line(&format!("client sent {id} to {name}: answered {told}"));
                    })
                })
                .collect();
            for client in clients {
                let _ = client.join();
            }
            next_poison += plan.interval;
        }
        // The usual requests of other clients.
        let vm = &world.vms[usual % world.vms.len()];
        let (id, object) = (format!("usual-{usual}"), usual.to_string());
        let path = format!("/payout/order-{usual}");
        let message = request("POST", &path, &id, &object, 3000, b"order");
        let answer = http::send(vm.front(), &message, Duration::from_secs(4));
        usual += 1;
        usual_good += u32::from(answer.is_ok_and(|answer| answer.status() == 200));
        thread::sleep(Duration::from_millis(100));
    }
    let arrivals = world.arrivals();
    let poisoned: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.path == POISON)
        .collect();
    for arrival in &poisoned {
        let at = record.seconds(arrival.at);
        record.line(&format!(
            "{} reached {} at {at:.3} s",
            arrival.id, arrival.target
        ));
    }
    record.say(&format!("usual requests: {usual_good} of {usual} served"));
    record.say(&format!(
        "requests with the same path and body: {sent} sent, {} reached targets",
        poisoned.len()
    ));
    let crashes: Vec<_> = poisoned
        .iter()
        .filter(|a| a.reaction != Reaction::Run)
        .collect();
    let Some(third) = crashes.get(2) else {
        record.say(&format!("it crashed {} targets", crashes.len()));
        return if has_trouble && crashes.is_empty() {
            End::NotRun("no target ran the request".to_owned())
        } else {
            End::Held
        };
    };
    let retries = poisoned
        .iter()
        .filter(|a| a.at > third.at + CONTACT)
        .count();
    let at = record.seconds(third.at);
    record.say(&format!("it crashed {} targets, the third at {at:.1} s; later than contact_ms after that it reached targets {retries} times (three are allowed)", crashes.len()));
    if retries > MAX_RETRIES {
        End::Broken
    } else {
        End::Held
    }
}
