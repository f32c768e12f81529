//! Hundreds of VMs that start at once: each has to know all others soon, with few messages.

use {
    member::{
        Member, Scope, Status, Timeouts, View, choose_first_contacts, choose_sync_partner,
        delay_before_sync, sync_scopes,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    wire::Revision,
};

const VM_COUNT: usize = 295;
const ZONES: [&str; 9] = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"];
/// Part of the datagrams that are lost while all VMs are busy.
const LOSS: f64 = 0.5;
/// Time within which all VMs start.
const START_SPREAD_MS: u64 = 300;
/// Time between the start of the VMs and the first callers.
const LEAD: Duration = Duration::from_secs(10);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const UPDATES_PER_DATAGRAM: usize = 6;

fn vm_member(number: usize, boot_ms: u64, status: Status) -> Member {
    Member {
        name: format!("vm-{number:03}"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        peer: format!("127.0.0.1:{}", 1000 + number),
        caller: "127.0.0.1:2".to_owned(),
        boot_ms,
        beat: 0,
        status,
        control: Revision::default(),
    }
}

/// Starts a VM that finds the VMs that are registered so far, and exchanges pings with some.
/// Returns the number of pings.
fn discover(views: &mut [View], starting: usize, now: Duration, rng: &mut StdRng) -> usize {
    let listed: Vec<Member> = (0..starting)
        .map(|number| vm_member(number, 0, Status::Suspect))
        .collect();
    for member in &listed {
        views[starting].add_unknown(member, now);
    }
    let zone = views[starting].local_member().zone.clone();
    let contacts = choose_first_contacts(&zone, &listed, rng);
    for contact in &contacts {
        if rng.random_bool(LOSS) {
            continue;
        }
        let number = index(contact);
        let starter = views[starting].local_member().clone();
        views[number].record_contact(&starter, now);
        if !rng.random_bool(LOSS) {
            let record = views[number].local_member().clone();
            views[starting].record_contact(&record, now);
        }
    }
    contacts.len()
}

fn sync(views: &mut [View], vm: usize, count: usize, now: Duration, rng: &mut StdRng) {
    let zone = views[vm].local_member().zone.clone();
    for scope in sync_scopes(count) {
        let Some(partner) = choose_sync_partner(&zone, *scope, views[vm].peers(), rng) else {
            continue;
        };
        let (partner, partner_zone) = (index(partner), partner.zone.clone());
        let zone = (*scope == Scope::Zone).then_some(partner_zone.as_str());
        let records = views[partner].records_for_peer(zone);
        views[vm].merge_all(&records, now);
    }
}

fn index(member: &Member) -> usize {
    member.name[3..].parse().expect("a number")
}

/// Has a VM probe its next member, which passes on changed records with its acknowledgement.
fn probe(views: &mut [View], vm: usize, now: Duration) {
    let Some(partner) = views[vm].next_probe().as_ref().map(index) else {
        return;
    };
    for (from, to) in [(vm, partner), (partner, vm)] {
        let updates = views[from].take_updates(UPDATES_PER_DATAGRAM);
        let sender = views[from].local_member().clone();
        views[to].record_contact(&sender, now);
        views[to].merge(&updates, now);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    Start,
    Sync(usize),
    Probe,
}

/// Returns what the VMs do until `end` after the start of each, in order.
fn schedule(sync_count: usize, end: Duration) -> Vec<(Duration, usize, Action)> {
    let mut events = Vec::new();
    for vm in 0..VM_COUNT {
        let started_at = Duration::from_millis(START_SPREAD_MS * vm as u64 / VM_COUNT as u64);
        events.push((started_at, vm, Action::Start));
        let mut at = started_at;
        for count in 0..sync_count.min(20) {
            at += delay_before_sync(count);
            events.push((at, vm, Action::Sync(count)));
        }
        let mut at = started_at + PROBE_INTERVAL;
        while at < started_at + end {
            events.push((at, vm, Action::Probe));
            at += PROBE_INTERVAL;
        }
    }
    events.retain(|(at, _, _)| *at <= end);
    events.sort();
    events
}

/// Starts all VMs and has each synchronize at most `sync_count` times until `end`. Returns the views,
/// and the pings to VMs that were discovered.
fn start_fleet(sync_count: usize, end: Duration) -> (Vec<View>, usize) {
    let mut rng = StdRng::seed_from_u64(7);
    let new_view = |number| View::new(vm_member(number, 1, Status::Alive), Timeouts::default());
    let mut views: Vec<View> = (0..VM_COUNT).map(new_view).collect();
    let mut pings = 0;
    for (at, vm, action) in schedule(sync_count, end) {
        match action {
            Action::Start => pings += discover(&mut views, vm, at, &mut rng),
            Action::Sync(count) => sync(&mut views, vm, count, at, &mut rng),
            Action::Probe => probe(&mut views, vm, at),
        }
        views[vm].expire_members(at);
    }
    (views, pings)
}

fn alive_counts(views: &[View]) -> Vec<usize> {
    let alive = |view: &View| {
        let members = view.members().into_iter();
        members.filter(|m| m.status == Status::Alive).count()
    };
    views.iter().map(alive).collect()
}

/// Guards against VMs that miss some of the others for long, because datagrams were lost while all
/// of them started.
#[test]
fn vms_that_start_together_know_all_others_before_callers_come() {
    let (views, _) = start_fleet(usize::MAX, LEAD);

    let fewest = alive_counts(&views).into_iter().min();

    assert_eq!(fewest, Some(VM_COUNT));
}

/// Guards against a start that costs each VM a message to each other one.
#[test]
fn pings_of_a_start_grow_with_the_zone_and_not_with_the_fleet() {
    let (_, pings) = start_fleet(0, Duration::from_secs(1));

    let zone_size = VM_COUNT.div_ceil(ZONES.len());
    assert!(pings <= VM_COUNT * (zone_size + 8), "{pings} pings");
}

#[test]
fn records_taken_over_are_not_gossiped_again_unless_they_are_suspicions() {
    let mut view = View::new(vm_member(0, 1, Status::Alive), Timeouts::default());

    let records = [
        vm_member(1, 1, Status::Alive),
        vm_member(2, 1, Status::Suspect),
    ];
    view.merge_all(&records, Duration::ZERO);
    view.merge(&[vm_member(3, 1, Status::Alive)], Duration::ZERO);

    let gossiped = view.take_updates(6);
    let names: Vec<&str> = gossiped.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names, ["vm-002", "vm-003"]);
}

#[test]
fn records_of_members_that_were_only_listed_are_not_passed_on() {
    let mut view = View::new(vm_member(0, 1, Status::Alive), Timeouts::default());
    view.add_unknown(&vm_member(1, 0, Status::Suspect), Duration::ZERO);
    view.merge(&[vm_member(2, 1, Status::Suspect)], Duration::ZERO);

    let records = view.records_for_peer(None);

    let names: Vec<&str> = records.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names, ["vm-000", "vm-002"]);
}
