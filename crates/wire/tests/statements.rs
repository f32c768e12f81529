//! Datagrams with statements of targets, beside those of the failure detector.

use wire::{Datagram, Member, Revision, Signal, Statement, Statements, Status, decode, encode};

fn statements() -> Statements {
    Statements {
        from: "vm-1".to_owned(),
        statements: vec![Statement {
            target: "t".to_owned(),
            started_at_ms: 7,
            age_ms: 20,
            limit_per_1000_s: Some(4300),
            leaving: false,
        }],
    }
}

fn probe() -> Datagram {
    Datagram {
        signal: Signal::Ping,
        number: 1,
        from: Member {
            name: "vm-1".to_owned(),
            zone: "a".to_owned(),
            peer: "10.0.0.1:7200".to_owned(),
            caller: "10.0.0.1:8381".to_owned(),
            boot_ms: 1,
            beat: 0,
            status: Status::Alive,
            control: Revision::default(),
        },
        about: String::new(),
        news: Vec::new(),
        crashes: Vec::new(),
    }
}

#[test]
fn statements_survive_round_trip() -> Result<(), wire::CodecError> {
    let decoded: Statements = decode(&encode(&statements())?)?;

    assert_eq!(decoded, statements());
    Ok(())
}

/// Both arrive on one socket, and VMs of earlier builds know only probes.
#[test]
fn statements_and_probes_are_never_taken_for_each_other() -> Result<(), wire::CodecError> {
    let empty = Statements {
        from: "vm-1".to_owned(),
        statements: Vec::new(),
    };

    for bytes in [encode(&statements())?, encode(&empty)?] {
        assert!(decode::<Datagram>(&bytes).is_err());
    }
    assert!(decode::<Statements>(&encode(&probe())?).is_err());
    Ok(())
}
