use super::*;

#[test]
fn window_grows_with_starts_and_halves_when_nominations_are_abandoned() {
    let at = |seconds: f64| Time::default().plus(100.0 + seconds);
    let mut budget = PreemptionBudget::default();
    let initial_window = budget.window();
    for _ in 0..initial_window {
        budget.on_started();
    }
    assert_eq!(budget.window(), initial_window * 2);
    // A hundred nominations that were opened together and abandoned halve the window once.
    for _ in 0..100 {
        budget.on_abandoned(at(5.0), at(0.0));
    }
    assert_eq!(budget.window(), initial_window);
    for round in 1..20 {
        let now = 10.0 * f64::from(round);
        budget.on_abandoned(at(now), at(now - 1.0));
    }
    assert_eq!(
        budget.window(),
        MIN_WINDOW as usize,
        "the window stays above 0"
    );
    for _ in 0..10_000 {
        budget.on_started();
    }
    assert_eq!(budget.window(), MAX_WINDOW as usize);
}
