use super::*;

#[test]
fn a_token_that_was_made_up_is_forgotten_and_a_former_holder_is_not_named() {
    let mut peers = Peers::default();
    let at = |s: f64| Time::from_micros(1_000_000_000).plus(s);
    peers.holds(at(0.0), "a", Token(7));
    peers.holds(at(0.5), "b", Token(5));
    assert_eq!(peers.holder(at(1.0)), Some("a"));
    peers.holds(at(2.0), "b", Token(u64::MAX));
    peers.holds(at(4.0), "a", Token(9));
    assert_eq!(peers.holder(at(6.0)), None);
    peers.holds(at(2.0 + LAPSED_S + 0.1), "a", Token(9));
    assert_eq!(peers.holder(at(3.0 + LAPSED_S)), Some("a"));
}
