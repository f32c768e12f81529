//! Peers that read slowly, pause, or are gone.

use {
    balance::slow_reader::{Delivery, GONE_AFTER, SlowReader, Verdict},
    std::time::Duration,
};

/// Time between two looks at a connection.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// A peer whose window is closed and that has acknowledged the last probe.
fn paused(since_acknowledgement: Duration) -> Delivery {
    Delivery {
        unsent_bytes: 400_000,
        acknowledged_bytes: 100_000,
        awaits_acknowledgement: false,
        since_acknowledgement,
    }
}

/// Judges a peer at each look, and returns the verdicts after the first one.
fn judge_all(deliveries: impl IntoIterator<Item = Delivery>) -> Vec<Verdict> {
    let mut reader = SlowReader::default();
    let looks = (1..).map(|look| LOOK_INTERVAL * look);
    let verdicts = deliveries
        .into_iter()
        .zip(looks)
        .map(|(delivery, now)| reader.judge(&delivery, now));
    verdicts.skip(1).collect()
}

/// Guards against a connection that is closed because its caller stops reading for some seconds.
#[test]
fn peer_that_answers_probes_pauses_however_long() {
    let looks = (0..100).map(|look| paused(LOOK_INTERVAL * (look % 12)));

    let verdicts = judge_all(looks);

    assert!(verdicts.iter().all(|verdict| *verdict == Verdict::Pauses));
}

/// Guards against a pause that is taken for silence as a probe is on its way at the moment of the look.
#[test]
fn probe_on_its_way_after_a_long_pause_is_no_silence() {
    let probe = Delivery {
        awaits_acknowledgement: true,
        ..paused(GONE_AFTER * 2)
    };
    let looks = [paused(Duration::ZERO), probe, paused(Duration::ZERO), probe];

    let verdicts = judge_all(looks);

    let expected = [Verdict::Unclear, Verdict::Pauses, Verdict::Unclear];
    assert_eq!(verdicts, expected);
}

/// Guards against peers that are gone and noticed late.
#[test]
fn peer_that_acknowledges_nothing_is_gone_in_time() {
    let looks = (0..20).map(|look| Delivery {
        awaits_acknowledgement: true,
        ..paused(LOOK_INTERVAL * look)
    });

    let verdicts = judge_all(looks);

    let gone_at = verdicts.iter().position(|v| *v == Verdict::Gone);
    let looks_until_gone = u32::try_from(gone_at.unwrap_or(usize::MAX)).unwrap_or(u32::MAX);
    assert!(LOOK_INTERVAL.saturating_mul(looks_until_gone) <= GONE_AFTER + LOOK_INTERVAL);
}

#[test]
fn peer_that_takes_little_at_a_time_reads() {
    let looks = (0..40).map(|look| Delivery {
        acknowledged_bytes: 1000 * (look + 1),
        awaits_acknowledgement: look % 2 == 0,
        ..paused(LOOK_INTERVAL / 2)
    });

    let verdicts = judge_all(looks);

    assert!(verdicts.iter().all(|verdict| *verdict == Verdict::Reads));
}

#[test]
fn peer_with_everything_has_it() {
    let delivered = Delivery {
        unsent_bytes: 0,
        ..paused(Duration::ZERO)
    };

    let verdicts = judge_all([delivered, delivered]);

    assert_eq!(verdicts, [Verdict::Delivered]);
}
