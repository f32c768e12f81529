//! Times as configurations, callers and targets state them.

use {route::parse_ms, std::time::Duration};

#[test]
fn milliseconds_are_parsed_with_their_fractions() {
    assert_eq!(parse_ms(1500.5), Some(Duration::from_micros(1_500_500)));
    assert_eq!(parse_ms(0.0), Some(Duration::ZERO));
}

/// Guards against a sum of times that overflows, and ends the request, as one of them is huge.
#[test]
fn times_that_no_process_lives_to_see_can_be_added() {
    for ms in [1.8e22, f64::MAX, f64::INFINITY] {
        let time = parse_ms(ms).expect("no negative number");
        assert!(time > Duration::from_hours(24 * 365), "{ms}");
        assert!(time.checked_mul(1000).is_some(), "{ms}");
        assert!(
            std::time::Instant::now().checked_add(time).is_some(),
            "{ms}"
        );
    }
}

#[test]
fn what_is_no_time_is_refused() {
    assert_eq!(parse_ms(-1.0), None);
    assert_eq!(parse_ms(f64::NAN), None);
}
