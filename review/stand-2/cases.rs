//! The cases, and what each of them counts as a broken rule.

use {
    crate::{
        net::{Answer, Connection, exchange, send_once},
        store::{SILENT, UP},
        target::Framing,
        world::{CONFIG_APPLY, World, request},
    },
    std::{
        io,
        path::PathBuf,
        sync::atomic::Ordering,
        thread,
        time::{Duration, Instant},
    },
};

/// Plays a case. Returns whether the rule was broken.
pub fn play(name: &str, folder: &PathBuf, has_trouble: bool) -> io::Result<bool> {
    let case = match name {
        "unframed" => unframed,
        "long-objective" => long_objective,
        "cold" => cold,
        "quarantine" => quarantine,
        "restored" => restored,
        _ => return Err(io::Error::other("no such case")),
    };
    let mut world = World::new()?;
    let record = world.record.clone();
    record.note(if has_trouble { "with the disruption" } else { "TROUBLE=0: without the disruption" });
    let result = case(&mut world, has_trouble);
    match &result {
        Ok(true) => record.note("RULE BROKEN"),
        Ok(false) => record.note("rule held"),
        Err(error) => record.note(&format!("could not run: {error}")),
    }
    drop(world);
    record.write(folder);
    result
}

fn ms(time: Duration) -> u128 {
    time.as_millis()
}

/// LOST: a machine gets SIGTERM, and 2.6 s later requests whose answers have no length and take 2.3 s at a
/// target that has not handled their object lately, and 1.2 s at one that has. Client and route allow 4 s.
fn unframed(world: &mut World, has_trouble: bool) -> io::Result<bool> {
    const OBJECTS: usize = 8;
    /// Numbers of the objects that are asked for in the end.
    const NEW_OBJECTS: std::ops::Range<usize> = 100..108;
    const SENT_AFTER: Duration = Duration::from_millis(2600);
    /// The last sixth of `grace_s` begins this long after the SIGTERM.
    const LAST_SIXTH: Duration = Duration::from_secs(5);
    world.configure(3, &[("archive", "idempotent", 4000, "2000")], 16384);
    let mut targets = Vec::new();
    for (number, known_objects) in [(1, NEW_OBJECTS.start), (2, NEW_OBJECTS.end)] {
        let settings = world.target_settings(&format!("i-{number}"), 50 + number, 8, 1200);
        let first_run = Duration::from_millis(2300);
        let settings = crate::target::Settings { framing: Framing::Unframed, known_objects, first_run, ..settings };
        targets.push(world.start_target(&settings, "s", "pasig-a", 1)?);
    }
    let machine = world.add_machine("pasig-a")?;
    thread::sleep(Duration::from_secs(1));
    let front = world.machines[machine].front();
    let send = |prefix: &'static str, object: usize| {
        let record = world.record.clone();
        thread::spawn(move || {
            let id = format!("{prefix}-{object}");
            let mut request = request("GET", &format!("/archive/{object}"), &id, 4000);
            request.headers.push(("Cookie".to_owned(), format!("X-Affinity-Key={object}")));
            record.note(&format!("client sends {id}, time budget 4000 ms"));
            let sent_at = Instant::now();
            let answer = send_once(front, &request, Duration::from_secs(4));
            let after = sent_at.elapsed();
            record.note(&format!("client of {id} after {} ms: {}, target's receipt: {}", ms(after), answer.text(), answer.is_sealed()));
            (id, answer, after)
        })
    };
    // A calm while, so that the machine knows how long a run takes.
    for round in ["calm-a", "calm-b", "calm-c", "calm-d", "calm-e", "calm-f"] {
        let clients: Vec<_> = (0..OBJECTS).map(|object| send(round, object)).collect();
        for client in clients {
            let _ = client.join();
        }
    }
    let stopped_at = Instant::now();
    if has_trouble {
        world.record.note("SIGTERM to the machine");
        world.machines[machine].signal("TERM")?;
    }
    thread::sleep(SENT_AFTER);
    let clients: Vec<_> = NEW_OBJECTS.map(|object| send("last", object)).collect();
    let mut ended = Vec::new();
    for client in clients {
        ended.push(client.join().map_err(|_| io::Error::other("client failed"))?);
    }
    let ended_after = stopped_at.elapsed();
    // The target notices at its next piece but one.
    thread::sleep(Duration::from_millis(600));
    let (mut broken_off, mut served) = (0, 0);
    for (id, answer, after) in ended {
        served += usize::from(answer.is_sealed());
        let was_at_work = targets.iter().any(|target| target.was_cut_while_at_work(&id));
        // An answer of the machine's own, or none, well before the time budget and the route's time-out and
        // before the last sixth of `grace_s`.
        let is_own = !answer.is_sealed() && !matches!(answer, Answer::GaveUp);
        let is_early = after < Duration::from_millis(3900) && SENT_AFTER + after < LAST_SIXTH;
        if is_own && is_early && was_at_work {
            broken_off += 1;
        }
    }
    world.record.note(&format!("{served} of {OBJECTS} requests served; {broken_off} were broken off while their target was at work and got an answer of the machine's own, {} ms after the SIGTERM at the latest", ms(ended_after)));
    Ok(broken_off > 0)
}

/// LOST: a machine gets SIGTERM while requests that it has read wait for a target. Their route has a time-out of
/// five minutes and states no objective.
fn long_objective(world: &mut World, has_trouble: bool) -> io::Result<bool> {
    world.configure(3, &[("batch", "idempotent", 300_000, "null")], 16384);
    let settings = world.target_settings("i-1", 50, 3, 500);
    let target = world.start_target(&settings, "s", "pasig-a", 1)?;
    let machine = world.add_machine("pasig-a")?;
    thread::sleep(Duration::from_secs(1));
    let front = world.machines[machine].front();
    // A while of easy load, so that the machine knows how long a run takes.
    let mut calm = Vec::new();
    for client in 0..3 {
        calm.push(thread::spawn(move || {
            for number in 0..25 {
                let request = request("GET", "/batch/x", &format!("calm-{client}-{number}"), 20_000);
                send_once(front, &request, Duration::from_secs(20));
            }
        }));
    }
    for client in calm {
        let _ = client.join();
    }
    let mut clients = Vec::new();
    for number in 0..40 {
        let record = world.record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("batch-{number}");
            let mut connection = Connection::open(front, Duration::from_secs(1)).ok()?;
            record.note(&format!("client sends {id}, time budget 20000 ms"));
            let sent_at = Instant::now();
            let answer = exchange(&mut connection, &request("GET", "/batch/x", &id, 20_000), Duration::from_secs(20));
            record.note(&format!("client of {id} after {} ms: {}", ms(sent_at.elapsed()), answer.text()));
            Some((id, answer, sent_at.elapsed()))
        }));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(700));
    let stopped_at = Instant::now();
    if has_trouble {
        world.record.note("SIGTERM to the machine");
        world.machines[machine].signal("TERM")?;
    }
    let mut lost = 0;
    for client in clients {
        let Some((id, answer, after)) = client.join().map_err(|_| io::Error::other("client failed"))? else {
            return Err(io::Error::other("a client could not connect"));
        };
        let is_cut = matches!(answer, Answer::Cut(_));
        let is_late = after > Duration::from_millis(200);
        let is_in_grace = stopped_at.elapsed() < Duration::from_secs(20);
        let was_run = target.arrivals().iter().any(|arrival| arrival.id == id);
        if is_cut && is_late && is_in_grace {
            lost += 1;
            world.record.note(&format!("{id} was read, and its connection ended without an answer {} ms after it was sent; passed on to the target: {was_run}", ms(after)));
        }
    }
    for line in world.machines[machine].errors().lines().take(4) {
        world.record.note(&format!("standard error of the machine: {line}"));
    }
    world.record.note(&format!("{lost} of 40 requests ended without an answer"));
    Ok(lost > 0)
}

/// FAILBACK: a target crashes and starts again under its identifier, cold, while the store is down.
fn cold(world: &mut World, has_trouble: bool) -> io::Result<bool> {
    const COLD: Duration = Duration::from_secs(3);
    const STORE_DOWN: Duration = Duration::from_millis(4500);
    /// `warmup_per_s` x `warmup_factor` + `warmup_slack` of the site.
    const BOUND: f64 = 3.2 * 1.5 + 5.0;
    /// Requests in one second above which a cold target crashes: well above what it tolerates.
    const CRASH_ABOVE: usize = 16;
    world.configure(3, &[("read", "idempotent", 2000, "600"), ("claim", "non_idempotent", 2000, "600")], 16384);
    let first = world.target_settings("i-1", 50, 2, 100);
    let other = world.target_settings("i-2", 51, 2, 100);
    let old = world.start_target(&first, "s", "pasig-a", 1000)?;
    let _other = world.start_target(&other, "s", "pasig-a", 1000)?;
    for _ in 0..2 {
        let machine = world.add_machine("pasig-a")?;
        world.wait_served(machine, "/read/x")?;
    }
    thread::sleep(Duration::from_secs(1));
    let fronts: Vec<_> = world.machines.iter().map(crate::machine::Machine::front).collect();
    let end = Instant::now() + Duration::from_secs(9);
    let mut clients = Vec::new();
    for client in 0..8 {
        let record = world.record.clone();
        let front = fronts[client % 2];
        clients.push(thread::spawn(move || {
            let (mut number, mut failed) = (0, 0);
            while Instant::now() < end {
                number += 1;
                let (method, path) = if client < 4 { ("GET", "/read/x") } else { ("POST", "/claim/x") };
                let id = format!("{}-{client}-{number}", path.trim_matches('/').replace('/', "-"));
                let answer = send_once(front, &request(method, path, &id, 2000), Duration::from_secs(2));
                if !answer.is_sealed() {
                    failed += 1;
                    record.note(&format!("client of {id}: {}", answer.text()));
                }
                thread::sleep(Duration::from_millis(120));
            }
            (number, failed)
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let mut reborn = None;
    if has_trouble {
        world.record.note("the store is down (silent) for 4.5 s");
        for mode in &world.store_modes {
            mode.store(SILENT, Ordering::SeqCst);
        }
        let down_at = Instant::now();
        thread::sleep(Duration::from_millis(300));
        old.crash("crash");
        thread::sleep(Duration::from_millis(700));
        let again = crate::target::Settings { cold: COLD, crash_above: CRASH_ABOVE, ..first };
        reborn = Some(crate::target::Target::start(again.clone(), &world.record)?);
        thread::sleep(STORE_DOWN.saturating_sub(down_at.elapsed()));
        // Its entry says until when it is cold, as soon as the store takes it.
        world.report(&again, "s", "pasig-a", 5000);
        for mode in &world.store_modes {
            mode.store(UP, Ordering::SeqCst);
        }
        world.record.note("the store answers again");
    }
    let (mut sent, mut failed) = (0, 0);
    for client in clients {
        let (n, f) = client.join().map_err(|_| io::Error::other("client failed"))?;
        sent += n;
        failed += f;
    }
    let arrivals: Vec<Instant> = reborn
        .iter()
        .flat_map(crate::target::Target::arrivals)
        .filter(|arrival| arrival.is_cold)
        .map(|arrival| arrival.at)
        .collect();
    let most = arrivals
        .iter()
        .map(|from| arrivals.iter().filter(|at| **at >= *from && at.duration_since(*from) < Duration::from_secs(1)).count())
        .max()
        .unwrap_or(0);
    let most_f = f64::from(u32::try_from(most).unwrap_or(u32::MAX));
    world.record.note(&format!("{sent} requests sent, {failed} without a target's answer; the cold target got {most} requests in one second, the bound is {BOUND}"));
    Ok(most_f > BOUND)
}

/// Starved: one target crashes once while it runs claims of two callers for the same race.
fn quarantine(world: &mut World, has_trouble: bool) -> io::Result<bool> {
    const BEFORE: Duration = Duration::from_secs(6);
    const AFTER: Duration = Duration::from_secs(55);
    world.configure(3, &[("claim", "non_idempotent", 4000, "600"), ("lookup", "idempotent", 4000, "600")], 16384);
    let mut targets = Vec::new();
    for number in 1..=6 {
        let settings = world.target_settings(&format!("i-{number}"), 50 + number, 4, 300);
        targets.push((settings.clone(), world.start_target(&settings, "s", "pasig-a", 1000)?));
    }
    for _ in 0..2 {
        let machine = world.add_machine("pasig-a")?;
        world.wait_served(machine, "/lookup/x")?;
    }
    thread::sleep(Duration::from_secs(1));
    let fronts: Vec<_> = world.machines.iter().map(crate::machine::Machine::front).collect();
    let started = Instant::now();
    let end = started + BEFORE + AFTER;
    let mut clients = Vec::new();
    for client in 0..6 {
        let record = world.record.clone();
        // Both claimants come to the first machine.
        let front = fronts[if client < 2 { 0 } else { client % 2 }];
        clients.push(thread::spawn(move || {
            let is_page = client < 2;
            let (mut asked, mut served, mut number) = (0, 0, 0);
            while Instant::now() < end {
                number += 1;
                let (path, object) = if is_page { ("/claim/race-17".to_owned(), "17".to_owned()) } else { (format!("/lookup/{client}-{number}"), format!("{client}-{}", number % 20)) };
                let id = format!("{}-{client}-{number}", if is_page { "claim" } else { "lookup" });
                let mut request = request(if is_page { "PUT" } else { "GET" }, &path, &id, 4000);
                // Each caller is another runner; what they ask for is the same.
                request.body = Vec::new();
                request.headers.push(("X-Runner".to_owned(), format!("runner-{client}-{number}")));
                request.headers.push(("Cookie".to_owned(), format!("X-Affinity-Key={object}")));
                let answer = send_once(front, &request, Duration::from_secs(4));
                asked += 1;
                served += u32::from(answer.is_sealed());
                if let Answer::Response(response) = &answer && !answer.is_sealed() {
                    let text = String::from_utf8_lossy(&response.body).into_owned();
                    record.note(&format!("client of {id}: {}, {text:?}, Retry-After {}", answer.text(), response.header("retry-after").unwrap_or("none")));
                }
                thread::sleep(Duration::from_millis(200));
            }
            (is_page, asked, served)
        }));
    }
    thread::sleep(BEFORE);
    if has_trouble {
        // A target that runs two claims.
        let at = loop {
            let now = Instant::now();
            let running = targets.iter().position(|(_, target)| {
                let recent = target.arrivals();
                let recent = recent.iter().filter(|a| a.id.starts_with("claim") && now.duration_since(a.at) < Duration::from_millis(250));
                recent.count() >= 2
            });
            if let Some(at) = running {
                break at;
            }
            if started.elapsed() > BEFORE + Duration::from_secs(10) {
                return Err(io::Error::other("no target ran two claims at once"));
            }
            thread::sleep(Duration::from_millis(5));
        };
        targets[at].1.crash("crash");
        thread::sleep(Duration::from_secs(1));
        let settings = targets[at].0.clone();
        targets[at].1 = world.start_target(&settings, "s", "pasig-a", 2000)?;
    }
    let mut counts = [(0, 0), (0, 0)];
    for client in clients {
        let (is_page, asked, served) = client.join().map_err(|_| io::Error::other("client failed"))?;
        let count = &mut counts[usize::from(is_page)];
        count.0 += asked;
        count.1 += served;
    }
    let part = |(asked, served): (u32, u32)| f64::from(served) / f64::from(asked.max(1));
    let all = (counts[0].0 + counts[1].0, counts[0].1 + counts[1].1);
    world.record.note(&format!("claim: {} of {} served; lookup: {} of {}; all: {} of {}", counts[1].1, counts[1].0, counts[0].1, counts[0].0, all.1, all.0));
    Ok(part(counts[1]) < part(all) / 4.0)
}

/// CONFIG: the store comes back from a copy some seconds old, and a machine is started again before the operator
/// has written the lost config again.
fn restored(world: &mut World, has_trouble: bool) -> io::Result<bool> {
    const CONTACT: Duration = Duration::from_millis(3000);
    /// The operator writes again what was lost this long after the store is back.
    const WRITTEN_AGAIN_AFTER: Duration = Duration::from_secs(6);
    let old = [("read", "idempotent", 2000, "600")];
    let new = [("read", "idempotent", 2000, "600"), ("added", "idempotent", 2000, "600")];
    world.configure(3, &old, 16384);
    let settings = world.target_settings("i-1", 50, 4, 20);
    let _target = world.start_target(&settings, "s", "pasig-a", 1)?;
    for _ in 0..3 {
        let machine = world.add_machine("pasig-a")?;
        world.wait_served(machine, "/read/x")?;
    }
    let copy = world.store.copy();
    world.configure(5, &new, 16384);
    let acked_at = Instant::now();
    thread::sleep(Duration::from_millis(2500));
    for machine in 0..3 {
        let answer = send_once(world.machines[machine].front(), &request("GET", "/added/x", &format!("in-force-{machine}"), 2000), Duration::from_secs(2));
        world.record.note(&format!("client at {} asks on the added route: {}", world.machines[machine].name, answer.text()));
        if !answer.is_sealed() {
            return Err(io::Error::other("r5 is not in force"));
        }
    }
    if has_trouble {
        world.record.note("the store is away for 0.5 s and comes back from a copy 3 s old; Store-Era rises by one");
        for mode in &world.store_modes {
            mode.store(SILENT, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(500));
        world.store.restore(&copy);
        for mode in &world.store_modes {
            mode.store(UP, Ordering::SeqCst);
        }
        // What the targets wrote is written again.
        world.report(&settings, "s", "pasig-a", 1);
    }
    let back_at = Instant::now();
    if has_trouble {
        world.record.note(&format!("SIGKILL to {}, which is then started again", world.machines[2].name));
        world.machines[2].signal("KILL")?;
        world.machines[2].wait_end(Duration::from_secs(2));
        world.machines[2].start_again()?;
    }
    world.machines[2].wait_ready()?;
    let started_at = Instant::now();
    world.record.note(&format!("{} is ready again", world.machines[2].name));
    let mut stale = [0, 0, 0];
    let mut number = 0;
    while back_at.elapsed() < WRITTEN_AGAIN_AFTER {
        number += 1;
        // Out of touch for `contact_ms` after its start.
        let in_touch = started_at.elapsed() > CONTACT + Duration::from_millis(200);
        for machine in 0..3 {
            let answer = send_once(world.machines[machine].front(), &request("GET", "/added/x", &format!("again-{machine}-{number}"), 2000), Duration::from_secs(2));
            if answer.status() == 404 && in_touch && acked_at.elapsed() > CONFIG_APPLY {
                stale[machine] += 1;
            }
            world.record.note(&format!("client at {} asks on the added route: {}{}", world.machines[machine].name, answer.text(), if in_touch { "" } else { " (not counted: the machine has just started)" }));
        }
        thread::sleep(Duration::from_millis(200));
    }
    if has_trouble {
        world.configure(5, &new, 16384);
        thread::sleep(CONFIG_APPLY);
        let answer = send_once(world.machines[2].front(), &request("GET", "/added/x", "written-again", 2000), Duration::from_secs(2));
        world.record.note(&format!("after the operator has written r5 again: {}", answer.text()));
    }
    world.record.note(&format!("refused with 404 by machines in touch, by machine: {stale:?}"));
    Ok(stale.iter().any(|count| *count > 0))
}
