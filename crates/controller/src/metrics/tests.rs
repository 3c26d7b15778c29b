use super::*;

#[test]
fn times_and_counts_stand_on_the_page() {
    let mut m = Metrics::new(true);
    let at = |s: f64| Time::from_micros(1_000_000).plus(s);
    let id = RequestId { slot: 1, generation: 2 };
    m.asked(at(0.0), id, "jobs");
    let body = Vec::new();
    m.sent(at(0.25), &[Out::Answer { to: id, status: 503, retry_after: None, body }]);
    let page = m.render(&[("holder", 1.0)], std::iter::once(("placed", 3)));
    for line in [
        "beamhinge_answer_seconds_count{route=\"jobs\"} 1",
        "beamhinge_answers_total{route=\"jobs\",status=\"503\"} 1",
        "beamhinge_decisions_total{kind=\"placed\"} 3",
        "beamhinge_holder 1",
    ] {
        assert!(page.contains(line), "{line} is missing in\n{page}");
    }
    assert!(page.contains("quantile=\"0.5\"} 0.25"), "within a hundredth:\n{page}");
}
