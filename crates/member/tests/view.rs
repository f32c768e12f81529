//! Membership as one VM sees it.

use {
    member::{Member, Status, Timeouts, View, select_owner},
    std::time::Duration,
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
        control: 1,
    }
}

fn view() -> View {
    View::new(member("me", 1, 0, Status::Alive), Timeouts::default())
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn names(view: &View) -> Vec<&str> {
    view.serving()
        .iter()
        .map(|member| member.name.as_str())
        .collect()
}

#[test]
fn silent_member_is_suspected_and_then_gone() {
    let mut view = view();
    view.record_contact(&member("a", 1, 0, Status::Alive), at(1));

    view.mark_suspect("a", at(2));
    view.tick(at(3));
    assert_eq!(names(&view), ["a", "me"]);
    view.tick(at(4));

    assert_eq!(names(&view), ["me"]);
}

#[test]
fn suspected_member_that_raises_its_counter_is_alive_again() {
    let mut view = view();
    view.record_contact(&member("a", 1, 0, Status::Alive), at(1));
    view.mark_suspect("a", at(2));

    view.merge(&[member("a", 1, 1, Status::Alive)], at(3));
    view.tick(at(9));

    assert_eq!(names(&view), ["a", "me"]);
}

#[test]
fn vm_that_is_doubted_raises_its_own_counter() {
    let mut view = view();

    view.merge(&[member("me", 1, 4, Status::Suspect)], at(1));

    assert_eq!(view.local_member().beat, 5);
    assert_eq!(view.local_member().status, Status::Alive);
}

#[test]
fn old_news_does_not_undo_a_leave() {
    let mut view = view();
    view.record_contact(&member("a", 1, 3, Status::Leaving), at(1));

    view.merge(&[member("a", 1, 2, Status::Alive)], at(2));

    assert_eq!(names(&view), ["me"]);
}

#[test]
fn restarted_member_replaces_its_former_life() {
    let mut view = view();
    view.record_contact(&member("a", 1, 9, Status::Leaving), at(1));

    view.record_contact(&member("a", 2, 0, Status::Alive), at(2));

    assert_eq!(names(&view), ["a", "me"]);
}

#[test]
fn news_is_told_a_bounded_number_of_times() {
    let mut view = view();
    view.record_contact(&member("a", 1, 0, Status::Alive), at(1));

    let told = (0..100)
        .filter(|_| !view.take_updates(10).is_empty())
        .count();

    assert!((1..20).contains(&told), "{told}");
}

#[test]
fn owner_moves_only_when_it_leaves() {
    let members: Vec<Member> = (0..8)
        .map(|i| member(&format!("vm{i}"), 1, 0, Status::Alive))
        .collect();
    let without = |gone: &str| {
        let rest = members.iter().filter(|member| member.name != gone);
        let owner = select_owner("racegate@pasig", rest.map(|member| (member, 0)));
        owner.unwrap().name.clone()
    };
    let first = without("");

    for gone in members.iter().filter(|member| member.name != first) {
        assert_eq!(without(&gone.name), first);
    }

    assert_ne!(without(&first), first);
}

#[test]
fn owner_is_taken_from_the_nearest_tier() {
    let far = member("far", 1, 0, Status::Alive);
    let near = member("near", 1, 0, Status::Alive);

    for pool in ["a@x", "b@x", "c@x", "d@x"] {
        let owner = select_owner(pool, [(&far, 1), (&near, 0)]).unwrap();
        assert_eq!(owner.name, "near");
    }
}

/// Pattern: power comes back everywhere, and all VMs start in the same moment. If they went
/// through the others in the same order, nobody would look at the last one for a whole round.
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
