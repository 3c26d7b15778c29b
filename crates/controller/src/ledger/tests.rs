use super::*;

#[test]
fn a_renewal_overtakes_polls_and_a_full_bucket_is_not_exceeded() {
    let settings = beamhinge_vocab::settings::SAMPLE;
    let settings = Settings::parse("t", settings).expect("sound");
    let mut ledger: Ledger<u32> = Ledger::new(&settings);
    ledger.set_share(0.1, 1.0);
    let (mut calls, mut out) = (0, Vec::new());
    let start = Time::from_micros(10_000_000);
    for i in 0..30 {
        ledger.scan(start, Priority::Poll, i, "j/", None);
    }
    ledger.renew(start, 99, 7);
    ledger.pump(start, &mut calls, &mut out);
    assert!(out.len() <= 10, "one second's worth at the most, not {}", out.len());
    assert!(matches!(&out[0], Out::Call { path, .. } if path == "/holds/7/renew"));
    ledger.pump(start.plus(2.0), &mut calls, &mut out);
    assert!(out.len() <= 20);
    assert!(!ledger.take_refused().is_empty(), "what waited too long is given back");
}

#[test]
fn a_lost_reply_is_not_taken_for_a_refusal() {
    let settings = Settings::parse("t", beamhinge_vocab::settings::SAMPLE).expect("sound");
    let mut ledger: Ledger<u32> = Ledger::new(&settings);
    let (mut calls, mut out) = (0, Vec::new());
    let now = Time::from_micros(5_000_000);
    for i in 0..3 {
        ledger.renew(now, i, 1);
    }
    ledger.pump(now, &mut calls, &mut out);
    let outcome = |l: &mut Ledger<u32>, id, r| l.on_reply(CallId(id), r).map(|r| r.outcome);
    assert!(matches!(outcome(&mut ledger, 1, None), Some(Outcome::Lost)));
    assert!(matches!(outcome(&mut ledger, 2, Some((503, vec![]))), Some(Outcome::Refused)));
    assert!(matches!(outcome(&mut ledger, 3, Some((502, vec![]))), Some(Outcome::Lost)));
}

/// A reply to nothing that flies, of an earlier process or come twice, says nothing:
/// it is handed to no slice, and counts as no exchange.
#[test]
fn a_reply_that_nobody_waits_for_is_dropped() {
    let settings = Settings::parse("t", beamhinge_vocab::settings::SAMPLE).expect("sound");
    let mut ledger: Ledger<u32> = Ledger::new(&settings);
    let (mut calls, mut out) = (0, Vec::new());
    ledger.renew(Time::from_micros(5_000_000), 1, 1);
    ledger.pump(Time::from_micros(5_000_000), &mut calls, &mut out);
    for id in [0, 2, u64::MAX] {
        assert!(ledger.on_reply(CallId(id), Some((200, vec![]))).is_none());
    }
    assert_eq!((ledger.last_ok(), ledger.last_answer()), (None, None));
    assert!(ledger.on_reply(CallId(1), Some((200, vec![]))).is_some());
    assert!(ledger.on_reply(CallId(1), Some((200, vec![]))).is_none());
}
