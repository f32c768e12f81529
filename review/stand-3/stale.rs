//! All machines but one lose power at once, and the operator changes the configuration right after.

use {
    crate::{
        End, http,
        target::{Reaction, Spec},
        world::{Record, Route, World, ZONES, config, request},
    },
    std::{
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Machines, five in each zone, as in one of the users' deployments.
const VMS: usize = 30;
/// The machine that lives. Two or more of its zone come before it in the order in which the
/// machines of a zone receive rows from each other.
const SURVIVOR: usize = 21;
/// `contact_ms` of that deployment.
const CONTACT_MS: u32 = 4000;
/// `config_apply_ms` of that deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);
const WATCHED: Duration = Duration::from_secs(20);
const PACE: Duration = Duration::from_millis(100);

pub fn play(record: &Record, has_trouble: bool) -> End {
    let mut world = match World::new(record) {
        Ok(world) => world,
        Err(error) => return End::NotRun(error.to_string()),
    };
    world.contact_ms = CONTACT_MS;
    world.change_ms = 3000;
    let route = |prefix| Route {
        prefix,
        kind: "idempotent",
        service: "bibdesk",
        timeout_ms: 4000,
        slo_ms: 600,
    };
    let first = config(7, &[route("/bib/")], &["bibdesk"], 3.2);
    let second = config(9, &[route("/bib/"), route("/added/")], &["bibdesk"], 3.2);
    world.store.put("op", "config", &first);
    for number in 0..6 {
        let address = world.target_address(number);
        world.add_target(Spec {
            name: format!("bib{number}"),
            service: "bibdesk".to_owned(),
            zone: ZONES[number].0.to_owned(),
            address,
            slots: 4,
            work: Duration::from_millis(40),
            react: Arc::new(|_| Reaction::Run),
            down: Duration::from_secs(3),
        });
    }
    let zones: Vec<(&str, &str)> = (0..VMS).map(|number| ZONES[number % 6]).collect();
    world.start_vms(&zones);
    if !world.wait_until_ready() {
        return End::NotRun("the machines did not get ready".to_owned());
    }
    // Traffic starts 10 s after the machines of that deployment do; the loss comes later.
    thread::sleep(Duration::from_secs(17));
    if has_trouble {
        // A machine without power does not answer, and connections to it hang.
        for number in (0..VMS).filter(|number| *number != SURVIVOR) {
            world.vms[number].signal("STOP");
        }
        record.line("all machines but one are silent");
    }
    thread::sleep(Duration::from_millis(100));
    world.store.put("op", "config", &second);
    let acked = Instant::now();
    record.line("r9, which adds the route /added/, is acknowledged");
    let answers: Arc<Mutex<Vec<(Duration, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0.. {
        let sent = acked.elapsed();
        if sent >= WATCHED {
            break;
        }
        let (front, answers) = (world.vms[SURVIVOR].front(), answers.clone());
        clients.push(thread::spawn(move || {
            let id = format!("added-{number}");
            let path = format!("/added/{number}");
            let message = request("GET", &path, &id, &number.to_string(), 4000, b"");
            let answer = http::send(front, &message, Duration::from_secs(5));
            let status = answer.map_or(0, |answer| answer.status());
            answers.lock().unwrap().push((sent, status));
        }));
        thread::sleep(PACE);
    }
    for client in clients {
        let _ = client.join();
    }
    let mut answers = answers.lock().unwrap().clone();
    answers.sort();
    for (sent, status) in &answers {
        record.line(&format!(
            "sent {:.3} s after the ack: {status}",
            sent.as_secs_f64()
        ));
    }
    let is_old = |(_, status): &&(Duration, u16)| *status == 404;
    let last = answers.iter().filter(is_old).next_back();
    let late = answers
        .iter()
        .filter(is_old)
        .filter(|(sent, _)| *sent > CONFIG_APPLY)
        .count();
    let last = last.map_or(0.0, |(sent, _)| sent.as_secs_f64());
    record.say(&format!(
        "the added route was refused with 404 up to {last:.1} s after the ack"
    ));
    record.say(&format!(
        "{late} of {} requests were handled by the old version later than config_apply_ms",
        answers.len()
    ));
    if late > 0 { End::Broken } else { End::Held }
}
