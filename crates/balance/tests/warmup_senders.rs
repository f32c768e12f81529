//! A release in a large fleet: most targets are cold, and each decision looks at many of them.

use {balance::WarmupSenders, std::cell::Cell};

const COLD_TARGETS: usize = 400;

/// Has a number of decisions look at all cold targets, and returns how often the VMs were looked at
/// to elect the senders of a target.
fn count_elections(senders: &mut WarmupSenders, generation: u64, decisions: usize) -> usize {
    let count = Cell::new(0);
    for _ in 0..decisions {
        for number in 0..COLD_TARGETS {
            let elect = || {
                count.set(count.get() + 1);
                number % 100 == 0
            };
            let is_sender = senders.is_sender(&format!("t-{number}"), generation, elect);
            assert_eq!(is_sender, number % 100 == 0);
        }
    }
    count.get()
}

#[test]
fn senders_of_a_target_are_elected_once_for_many_decisions() {
    let mut senders = WarmupSenders::default();

    assert_eq!(count_elections(&mut senders, 1, 50), COLD_TARGETS);
}

#[test]
fn senders_are_elected_again_when_the_membership_changes() {
    let mut senders = WarmupSenders::default();
    count_elections(&mut senders, 1, 1);

    assert_eq!(count_elections(&mut senders, 2, 1), COLD_TARGETS);
}
