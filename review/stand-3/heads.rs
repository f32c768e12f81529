//! Requests whose heads are as long as the configuration allows.

use {
    crate::{
        End, http,
        http::Message,
        target::{Reaction, Spec},
        world::{Record, Route, World, ZONES, config, request},
    },
    std::{sync::Arc, thread, time::Duration},
};

const VMS: usize = 12;
/// Requests of the usual kind for each one of the other kind.
const USUAL: usize = 9;
const COUNT: usize = 60;
/// `max_header_bytes` in the configuration.
const MAX_HEADER_BYTES: usize = 16384;
/// Bytes of the head of a request of the other kind.
const LONG_HEAD: usize = 16_300;
const SHORT_HEAD: usize = 1000;

pub fn play(record: &Record, has_trouble: bool) -> End {
    let mut world = match World::new(record) {
        Ok(world) => world,
        Err(error) => return End::NotRun(error.to_string()),
    };
    let route = |prefix| Route {
        prefix,
        kind: "non_idempotent",
        service: "payline",
        timeout_ms: 3000,
        slo_ms: 800,
    };
    let routes = [route("/payout/"), route("/signed/")];
    let configuration = config(7, &routes, &["payline"], 3.2);
    world.store.put("op", "config", &configuration);
    for number in 0..VMS {
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
        });
    }
    let zones: Vec<(&str, &str)> = (0..VMS).map(|number| ZONES[number % 6]).collect();
    world.start_vms(&zones);
    if !world.wait_until_ready() {
        return End::NotRun("the machines did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let long = if has_trouble { LONG_HEAD } else { SHORT_HEAD };
    let (mut usual_served, mut signed_served) = (0, 0);
    for number in 0..COUNT * (USUAL + 1) {
        let is_signed = number % (USUAL + 1) == USUAL;
        let (prefix, bytes) = if is_signed {
            ("signed", long)
        } else {
            ("payout", SHORT_HEAD)
        };
        let id = format!("{prefix}-{number}");
        let path = format!("/{prefix}/{number}");
        let mut message = request("POST", &path, &id, &number.to_string(), 3000, b"");
        lengthen(&mut message, bytes);
        assert!(message.bytes().len() <= MAX_HEADER_BYTES);
        let front = world.vms[number * 7 % VMS].front();
        let answer = http::send(front, &message, Duration::from_secs(4));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!(
            "client sent {id} with a head of {bytes} bytes: {status}"
        ));
        let served = if is_signed {
            &mut signed_served
        } else {
            &mut usual_served
        };
        *served += u32::from(status == 200);
    }
    let ran = world
        .arrivals()
        .iter()
        .filter(|a| a.path.starts_with("/signed/"))
        .count();
    let share = |served: u32, of: usize| f64::from(served) / of as f64;
    let all = share(usual_served + signed_served, COUNT * (USUAL + 1));
    let signed = share(signed_served, COUNT);
    record.say(&format!("usual requests: {usual_served} of {} served; those with heads of {long} bytes: {signed_served} of {COUNT} served, {ran} reached a target", COUNT * USUAL));
    record.say(&format!("share served of these {signed:.3}, of all {all:.3}; less than a quarter of that breaks the rule"));
    if signed < all / 4.0 {
        End::Broken
    } else {
        End::Held
    }
}

/// Adds a header line that makes the head so long.
fn lengthen(message: &mut Message, bytes: usize) {
    message
        .headers
        .push(("X-Signature".to_owned(), String::new()));
    let missing = bytes.saturating_sub(message.bytes().len());
    if let Some((_, value)) = message.headers.last_mut() {
        *value = "s".repeat(missing);
    }
}
