//! Requests within the limits of the configuration that have many header lines, or long ones.

use {
    crate::{
        End, http,
        http::Message,
        target::{Reaction, Spec},
        world::{Record, Route, World, ZONES, config, request},
    },
    std::{collections::BTreeMap, sync::Arc, thread, time::Duration},
};

/// Requests of each form.
const COUNT: usize = 60;
/// `max_header_bytes` in the configuration.
const MAX_HEADER_BYTES: usize = 16384;

pub fn play(record: &Record, has_trouble: bool) -> End {
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
    let configuration = config(7, &routes, &["payline"], 3.2);
    world.store.put("op", "config", Some(&configuration));
    for number in 0..12 {
        let address = world.target_address(number);
        world.add_target(Spec {
            name: format!("pay{number}"),
            service: "payline".to_owned(),
            zone: ZONES[number % 6].0.to_owned(),
            address,
            slots: 4,
            work: Duration::from_millis(20),
            react: Arc::new(|_| Reaction::Run),
            down: Duration::from_secs(3),
            keeps_id: false,
            cold: Duration::from_secs(3),
            back_after: Duration::ZERO,
        });
    }
    world.start_vms(&ZONES);
    if !world.wait_until_ready() {
        return End::NotRun("the machines did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    // Header lines, and bytes of the head in all; the last two forms only with trouble.
    let forms: &[(&str, usize, usize)] = &[
        ("20 lines", 20, 1000),
        ("80 lines", 80, 3000),
        ("head of 12,000 bytes", 10, 12_000),
        ("98 lines", 98, 4000),
        ("head of 16,300 bytes", 10, 16_300),
        ("110 lines", 110, 4000),
    ];
    let forms = if has_trouble { forms } else { &forms[..3] };
    let (mut sent, mut denied) = (0, 0);
    for (form, lines, bytes) in forms {
        let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
        for number in 0..COUNT {
            let id = format!("{lines}-{bytes}-{number}");
            let path = format!("/payout/{id}");
            let mut message = request("POST", &path, &id, &number.to_string(), 3000, b"");
            widen(&mut message, *lines, *bytes);
            assert!(message.bytes().len() <= MAX_HEADER_BYTES);
            let front = world.vms[number % world.vms.len()].front();
            let answer = http::send(front, &message, Duration::from_secs(4));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(&format!("client sent {id}: {status}"));
            *statuses.entry(status).or_default() += 1;
            sent += 1;
            denied += u32::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
        }
        record.say(&format!("{form}: answers by status {statuses:?}"));
    }
    let allowed = 5 + sent / 500;
    record.say(&format!("{denied} of {sent} proper requests were ended with a 4xx of the system's own; {allowed} are allowed"));
    if denied > allowed {
        End::Broken
    } else {
        End::Held
    }
}

/// Adds header lines until there are so many, and makes the last one so long that the head has so
/// many bytes.
fn widen(message: &mut Message, lines: usize, bytes: usize) {
    // `Content-Length` is added when the message is written.
    while message.headers.len() + 2 < lines {
        let number = message.headers.len();
        message
            .headers
            .push((format!("X-Note-{number}"), "n".to_owned()));
    }
    message.headers.push(("X-Note".to_owned(), String::new()));
    let missing = bytes.saturating_sub(message.bytes().len());
    if let Some((_, value)) = message.headers.last_mut() {
        *value = "n".repeat(missing);
    }
}
