//! Requests that may run once only, on connections that were kept.

use {
    balance::{Kept, KeptConnections, Mode},
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(20);
const STATED: Option<Duration> = Some(Duration::from_secs(10));

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn kept(port: u16, idle_ms: u64) -> Kept {
    Kept {
        address: address(port),
        idle: Duration::from_millis(idle_ms),
        stated_timeout: STATED,
    }
}

fn connections(mode: Mode) -> KeptConnections {
    let mut connections = KeptConnections::default();
    connections.activation.set_mode(mode);
    connections
}

#[test]
fn connection_in_use_until_now_is_used_and_one_idle_for_long_is_not() {
    let connections = connections(Mode::Always);

    assert!(connections.may_run_once_on(&kept(1, 0), NOW));
    assert!(connections.may_run_once_on(&kept(1, 1000), NOW));
    assert!(!connections.may_run_once_on(&kept(1, 1001), NOW));
}

/// A target that closes idle connections early leaves less time, and one that states no time none.
#[test]
fn idle_time_keeps_far_below_what_the_target_states() {
    let connections = connections(Mode::Always);
    let stated = |seconds, idle_ms| Kept {
        stated_timeout: seconds,
        ..kept(1, idle_ms)
    };

    assert!(connections.may_run_once_on(&stated(Some(Duration::from_secs(2)), 200), NOW));
    assert!(!connections.may_run_once_on(&stated(Some(Duration::from_secs(2)), 201), NOW));
    assert!(!connections.may_run_once_on(&stated(Some(Duration::ZERO), 1), NOW));
    assert!(!connections.may_run_once_on(&stated(None, 0), NOW));
}

#[test]
fn target_whose_kept_connection_broke_gets_new_ones_for_ten_seconds() {
    let mut connections = connections(Mode::Always);

    connections.record_break(address(1), NOW);

    let later = |seconds| NOW + Duration::from_secs(seconds);
    assert!(!connections.may_run_once_on(&kept(1, 0), NOW));
    assert!(!connections.may_run_once_on(&kept(1, 0), later(9)));
    assert!(connections.may_run_once_on(&kept(2, 0), NOW));
    assert!(connections.may_run_once_on(&kept(1, 0), later(10)));
}

#[test]
fn kept_connections_are_used_only_where_called_for() {
    let mut auto = connections(Mode::Auto);
    assert!(!auto.may_run_once_on(&kept(1, 0), NOW));
    assert!(auto.activation.call_for());
    assert!(auto.may_run_once_on(&kept(1, 0), NOW));
    assert!(!auto.activation.call_for());

    let mut never = connections(Mode::Never);
    assert!(!never.activation.call_for());
    assert!(!never.may_run_once_on(&kept(1, 0), NOW));
}
