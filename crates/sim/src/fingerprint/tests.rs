use super::*;

fn frame(to: Option<&str>, frame: &[u8]) -> Effect {
    Effect::SendFrame {
        to: to.map(String::from),
        frame: frame.to_vec(),
    }
}

fn of(sent: &[(u64, usize, Effect)]) -> Fingerprint {
    let mut all = Fingerprinter::default();
    sent.iter()
        .for_each(|(now, sender, message)| all.sent(*now, *sender, message));
    all.fingerprint()
}

#[test]
fn time_sender_receiver_bytes_and_order_all_count() {
    let base = of(&[(1, 0, frame(None, b"ab")), (1, 0, frame(None, b"c"))]);
    assert_eq!(
        base,
        of(&[(1, 0, frame(None, b"ab")), (1, 0, frame(None, b"c"))])
    );
    for other in [
        of(&[(1, 0, frame(None, b"ab"))]),
        of(&[(2, 0, frame(None, b"ab")), (1, 0, frame(None, b"c"))]),
        of(&[(1, 1, frame(None, b"ab")), (1, 0, frame(None, b"c"))]),
        of(&[(1, 0, frame(Some("b"), b"ab")), (1, 0, frame(None, b"c"))]),
        of(&[(1, 0, frame(None, b"a")), (1, 0, frame(None, b"bc"))]),
        of(&[(1, 0, frame(None, b"c")), (1, 0, frame(None, b"ab"))]),
    ] {
        assert_ne!(base, other);
    }
}

#[test]
fn a_fingerprint_is_read_as_it_is_written() {
    let written = of(&[(1, 0, frame(None, b"ab"))]);
    assert_eq!(written.to_string().len(), 32);
    assert_eq!(written.to_string().parse(), Ok(written));
    assert!("no digits".parse::<Fingerprint>().is_err());
}
