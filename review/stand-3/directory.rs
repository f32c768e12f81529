//! All machines but one are lost at once; what the directory of that one still names.

use {
    crate::{
        End, http,
        http::Message,
        target::{Reaction, Spec},
        world::{HOST, Record, Route, World, ZONES, config},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Machines, five in each zone, as in one of the users' deployments.
const VMS: usize = 30;
/// Time between two look-ups, of any client of the survivor's zone.
const PACE: Duration = Duration::from_millis(25);
const WATCHED: Duration = Duration::from_secs(25);
/// `contact_ms` of that deployment.
const CONTACT_MS: u32 = 4000;
/// `contact_ms` + 3 s
const ALLOWED: Duration = Duration::from_millis(CONTACT_MS as u64 + 3000);
/// "More than three answers"
const MAX_ANSWERS: usize = 3;

pub fn play(record: &Record, has_trouble: bool) -> End {
    let mut world = match World::new(record) {
        Ok(world) => world,
        Err(error) => return End::NotRun(error.to_string()),
    };
    world.contact_ms = CONTACT_MS;
    world.change_ms = 3000;
    let routes = [Route {
        prefix: "/bib/",
        kind: "idempotent",
        service: "bibdesk",
        timeout_ms: 4000,
        slo_ms: 600,
    }];
    world
        .store
        .put("op", "config", &config(7, &routes, &["bibdesk"], 3.2));
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
    // Traffic starts 10 s after the machines of that deployment do.
    thread::sleep(Duration::from_secs(18));
    let survivor = VMS / 2;
    let (directory, zone) = (
        world.vms[survivor].directory(),
        world.vms[survivor].zone.clone(),
    );
    let lookup = format!(
        "GET /api/resolve?name={HOST}&region={}&zone={zone} HTTP/1.1",
        zones[survivor].1
    );
    let lookup = Message::new(&lookup, &[("Host", "directory")], b"");
    let mut killed = Vec::new();
    if has_trouble {
        for number in (0..VMS).filter(|number| *number != survivor) {
            killed.push(world.vms[number].front().to_string());
            world.vms[number].signal_kill();
        }
    }
    let killed_at = Instant::now();
    record.line(&format!(
        "{} machines killed, {} lives",
        killed.len(),
        world.vms[survivor].name
    ));
    let (mut answered, mut late, mut last_named) = (0, 0, Duration::ZERO);
    while killed_at.elapsed() < WATCHED {
        let asked = killed_at.elapsed();
        let Ok(answer) = http::send(directory, &lookup, Duration::from_secs(1)) else {
            continue;
        };
        answered += 1;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let named: Vec<&String> = killed
            .iter()
            .filter(|address| text.contains(*address))
            .collect();
        let is_beside = text.contains(&world.vms[survivor].front().to_string());
        if !named.is_empty() {
            last_named = asked;
        }
        if !named.is_empty() && is_beside && asked > ALLOWED {
            late += 1;
            record.line(&format!(
                "asked {:.3} s after the kill: names {named:?}",
                asked.as_secs_f64()
            ));
        }
        thread::sleep(PACE);
    }
    record.say(&format!(
        "{answered} answers; a killed machine was named up to {:.1} s after the kill",
        last_named.as_secs_f64()
    ));
    record.say(&format!("{late} answers named one beside a running machine later than 7 s after it was killed; {MAX_ANSWERS} are allowed"));
    if late > MAX_ANSWERS {
        End::Broken
    } else {
        End::Held
    }
}
