use super::*;

fn frame(to: Option<&str>, frame: &[u8]) -> Effect {
    Effect::SendFrame {
        to: to.map(String::from),
        frame: frame.to_vec(),
    }
}

fn fingerprint_of(sent: &[(u64, usize, Effect)]) -> Fingerprint {
    let mut fingerprinter = Fingerprinter::default();
    sent.iter()
        .for_each(|(now, sender, message)| fingerprinter.sent(*now, *sender, message));
    fingerprinter.fingerprint()
}

#[test]
fn time_sender_receiver_bytes_and_order_change_the_fingerprint() {
    let base = fingerprint_of(&[(1, 0, frame(None, b"ab")), (1, 0, frame(None, b"c"))]);
    assert_eq!(
        base,
        fingerprint_of(&[(1, 0, frame(None, b"ab")), (1, 0, frame(None, b"c"))])
    );
    for other in [
        fingerprint_of(&[(1, 0, frame(None, b"ab"))]),
        fingerprint_of(&[(2, 0, frame(None, b"ab")), (1, 0, frame(None, b"c"))]),
        fingerprint_of(&[(1, 1, frame(None, b"ab")), (1, 0, frame(None, b"c"))]),
        fingerprint_of(&[(1, 0, frame(Some("b"), b"ab")), (1, 0, frame(None, b"c"))]),
        fingerprint_of(&[(1, 0, frame(None, b"a")), (1, 0, frame(None, b"bc"))]),
        fingerprint_of(&[(1, 0, frame(None, b"c")), (1, 0, frame(None, b"ab"))]),
    ] {
        assert_ne!(base, other);
    }
}

#[test]
fn written_fingerprint_parses_to_the_same_value() {
    let written = fingerprint_of(&[(1, 0, frame(None, b"ab"))]);
    assert_eq!(written.to_string().len(), 32);
    assert_eq!(written.to_string().parse(), Ok(written));
    assert!("no digits".parse::<Fingerprint>().is_err());
}
