//! Membership view and pool ownership.

use {
    member::{Member, Status, Timeouts, View, select_owner},
    std::time::Duration,
    wire::Revision,
};

fn member(name: &str, boot_ms: u64, beat: u64, status: Status) -> Member {
    Member {
        name: name.to_owned(),
        zone: "pasig-a".to_owned(),
        peer: "127.0.0.1:1".to_owned(),
        caller: "127.0.0.1:2".to_owned(),
        boot_ms,
        beat,
        status,
        control: Revision::new(0, 1),
    }
}

fn view() -> View {
    View::new(member("me", 1, 0, Status::Alive), Timeouts::default())
}

/// Returns the time `seconds` after the start of the process.
fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn serving_names(view: &View) -> Vec<&str> {
    view.serving_members()
        .iter()
        .map(|member| member.name.as_str())
        .collect()
}

#[test]
fn suspect_is_gone_after_the_suspicion_timeout() {
    let mut view = view();
    view.record_contact(&member("a", 1, 0, Status::Alive), at(1));

    view.mark_suspect("a", at(2));
    view.expire_members(at(3));
    assert_eq!(serving_names(&view), ["a", "me"]);
    view.expire_members(at(4));

    assert_eq!(serving_names(&view), ["me"]);
}

#[test]
fn suspect_with_a_newer_record_is_alive_again() {
    let mut view = view();
    view.record_contact(&member("a", 1, 0, Status::Alive), at(1));
    view.mark_suspect("a", at(2));

    view.merge(&[member("a", 1, 1, Status::Alive)], at(3));
    view.expire_members(at(9));

    assert_eq!(serving_names(&view), ["a", "me"]);
}

#[test]
fn suspected_vm_raises_the_version_of_its_record() {
    let mut view = view();

    view.merge(&[member("me", 1, 4, Status::Suspect)], at(1));

    assert_eq!(view.local_member().beat, 5);
    assert_eq!(view.local_member().status, Status::Alive);
}

#[test]
fn older_record_does_not_replace_a_leaving_status() {
    let mut view = view();
    view.record_contact(&member("a", 1, 3, Status::Leaving), at(1));

    view.merge(&[member("a", 1, 2, Status::Alive)], at(2));

    assert_eq!(serving_names(&view), ["me"]);
}

#[test]
fn restarted_member_replaces_its_previous_incarnation() {
    let mut view = view();
    view.record_contact(&member("a", 1, 9, Status::Leaving), at(1));

    view.record_contact(&member("a", 2, 0, Status::Alive), at(2));

    assert_eq!(serving_names(&view), ["a", "me"]);
}

#[test]
fn update_is_sent_a_bounded_number_of_times() {
    let mut view = view();
    view.record_contact(&member("a", 1, 0, Status::Alive), at(1));

    let sends = (0..100)
        .filter(|_| !view.take_updates(10).is_empty())
        .count();

    assert!((1..20).contains(&sends), "{sends}");
}

#[test]
fn owner_changes_only_when_it_leaves() {
    let members: Vec<Member> = (0..8)
        .map(|i| member(&format!("vm{i}"), 1, 0, Status::Alive))
        .collect();
    let owner_without = |gone: &str| {
        let remaining = members.iter().filter(|member| member.name != gone);
        let owner = select_owner("racegate@pasig", remaining.map(|member| (member, 0)));
        owner.unwrap().name.clone()
    };
    let first = owner_without("");

    for gone in members.iter().filter(|member| member.name != first) {
        assert_eq!(owner_without(&gone.name), first);
    }

    assert_ne!(owner_without(&first), first);
}

#[test]
fn owner_is_in_the_lowest_tier() {
    let far = member("far", 1, 0, Status::Alive);
    let near = member("near", 1, 0, Status::Alive);

    for pool in ["a@x", "b@x", "c@x", "d@x"] {
        let owner = select_owner(pool, [(&far, 1), (&near, 0)]).unwrap();
        assert_eq!(owner.name, "near");
    }
}

/// All VMs start at the same moment, as after a power failure. If they probed the others in
/// the same order, the last member would not be probed by anyone for a whole round.
#[test]
fn vms_that_start_together_probe_different_members() {
    let all = ["a", "b", "c", "d", "e", "f"];
    let mut views =
        all.map(|name| View::new(member(name, 1, 0, Status::Alive), Timeouts::default()));
    for view in &mut views {
        view.merge(&all.map(|name| member(name, 1, 0, Status::Alive)), at(1));
    }

    for _ in 0..5 {
        let probed = views.each_mut().map(View::next_probe);
        let mut probed = probed.map(|member| member.map(|member| member.name));
        probed.sort();

        assert_eq!(probed, all.map(|name| Some(name.to_owned())));
    }
}

/// Guards against a VM that the others take for gone, because its clock was set back before it
/// restarted, so that its incarnation seems to be older than the one that was lost.
#[test]
fn vm_that_restarted_with_an_earlier_clock_is_alive_again() {
    let mut observer = view();
    observer.merge(&[member("a", 5_000, 0, Status::Gone)], at(1));
    observer.merge(&[member("a", 5_000, 0, Status::Alive)], at(1));
    observer.mark_suspect("a", at(2));
    observer.expire_members(at(10));
    let mut restarted = View::new(member("a", 4_000, 0, Status::Alive), Timeouts::default());

    observer.record_contact(restarted.local_member(), at(11));
    let updates = observer.take_updates(6);
    restarted.merge(&updates, at(1));
    observer.record_contact(restarted.local_member(), at(12));

    assert!(observer.is_alive("a"));
}

// Guards against VMs that count each other as gone for minutes after a partition has ended.
#[test]
fn member_that_counts_as_gone_is_told_so_when_it_makes_contact_again() {
    let mut view = view();
    let mut other = View::new(member("a", 1, 0, Status::Alive), Timeouts::default());
    view.record_contact(other.local_member(), at(1));
    view.mark_suspect("a", at(2));
    view.expire_members(at(9));
    while !view.take_updates(1).is_empty() {
        // Lost: the partition lasts until the record is no longer sent.
    }

    view.record_contact(other.local_member(), at(20));
    other.merge(&view.take_updates(1), at(20));
    view.record_contact(other.local_member(), at(21));

    assert_eq!(serving_names(&view), ["a", "me"]);
}
