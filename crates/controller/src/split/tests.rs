use super::*;

/// A machine type for tests: 8 CPUs, in one zone.
pub(crate) fn c8() -> MachineType {
    MachineType {
        label: "c8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        rate: 1.0,
        low_price: 0.3,
        boot_s: 30.0,
        zones: vec!["north".into()],
    }
}
use rand::{rngs::StdRng, Rng, SeedableRng};

#[test]
fn job_of_figure_1_loses_its_slack_at_the_third_update() {
    // δ = 4, d = 36, z = 132; two on-demand machines, and two spot machines up for 8 slots each.
    let remaining_work = |i: f64| 132.0 - i * (2.0 * 12.0 + 2.0 * 8.0);
    assert!(slackness(4.0, remaining_work(1.0), 24.0) >= 1.0);
    assert!(slackness(4.0, remaining_work(2.0), 12.0) < 1.0);
}

#[test]
fn owned_machine_of_figure_2_goes_to_the_job_that_needs_it() {
    let len = 12.0;
    let first = owned_machines(4.0, 6.0 * len, 2.0 * len, len, 0.5, 1.0);
    let second = owned_machines(4.0, 4.0 * len, 2.0 * len, len, 0.5, 1.0 - first);
    assert_eq!((first, second), (1.0, 0.0));
    // With four owned machines and β0 = 0 both jobs get two or more.
    assert!(owned_machines(4.0, 4.0 * len, 2.0 * len, len, 0.0, 4.0) >= 2.0);
}

#[test]
fn job_of_figure_3_splits_as_in_the_paper() {
    // d = 42, z = 122, δ = 4, β = ½, Len = 12: ν = 7, κ2 = 1.
    assert_eq!(spot_bids(4.0, 122.0, 42.0, 12.0, 0.5), 7.0);
    assert_eq!(split_remainder(4.0, 122.0, 42.0, 12.0, 0.5), (4.0, 0.0));
    // After the first update 122 − 24 = 98 task-slots remain for 30 slots: three bids.
    assert_eq!(split_remainder(4.0, 98.0, 30.0, 12.0, 0.5), (3.0, 1.0));
    // Then 98 − 18 − 12 = 68 task-slots remain for 18 slots: ν is 0, so all four bid once more.
    assert_eq!(split_remainder(4.0, 68.0, 18.0, 12.0, 0.5), (4.0, 0.0));
    // Spot machines did 24: 44 task-slots remain for 6 slots, more than the width can do, so the
    // whole width is on demand.
    assert_eq!(final_on_demand(4.0, 44.0, 6.0, 12.0), 4.0);
}

#[test]
fn final_on_demand_buys_just_enough_before_the_last_whole_updates() {
    // 18 slots remain and Len is 12: the last 12 slots at full width do 48 of 60 task-slots, and
    // two machines do the other 12 in the 6 slots before them.
    assert_eq!(final_on_demand(4.0, 60.0, 18.0, 12.0), 2.0);
    assert_eq!(final_on_demand(4.0, 40.0, 18.0, 12.0), 0.0);
    assert_eq!(final_on_demand(4.0, 48.0, 12.0, 12.0), 4.0);
    assert_eq!(
        final_on_demand(4.0, 10.0, -3.0, 12.0),
        4.0,
        "past its deadline"
    );
}

#[test]
fn split_sums_to_width_and_owned_never_grows_with_owned_availability() {
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..20_000 {
        let delta = f64::from(rng.gen_range(0..50));
        let d: f64 = rng.gen_range(-5.0..60.0);
        let z = delta * rng.gen_range(0.0..80.0);
        let len = f64::from(rng.gen_range(1..13));
        let idle = f64::from(rng.gen_range(0..20));
        let beta = [0.0, 0.3, 0.9999, 1.0][rng.gen_range(0..4)];
        let owned = owned_machines(delta, z, d, len, beta, idle);
        let p = split(delta, z, d, len, beta, owned);
        assert!(
            (p.owned + p.spot + p.on_demand - delta).abs() < 1e-6,
            "{p:?} of {delta}"
        );
        assert!(
            p.owned >= 0.0 && p.spot >= 0.0 && p.on_demand >= 0.0,
            "{p:?}"
        );
        let (a, b) = (rng.gen_range(0.0..1.0), rng.gen_range(0.0..1.0));
        let (low, high): (f64, f64) = if a < b { (a, b) } else { (b, a) };
        assert!(
            owned_machines(delta, z, d, len, low, 1e9)
                >= owned_machines(delta, z, d, len, high, 1e9) - 1e-9,
            "δ {delta} z {z} d {d} Len {len}: {low} against {high}"
        );
    }
}

#[test]
fn learner_finds_the_parameters_that_fit_the_market() {
    // Spot machines are rarely up, so parameters that assume a high availability cost more.
    let market = vec![
        MarketObservation {
            price: 0.25,
            up: 0.2,
            idle_owned: 0.0
        };
        12
    ];
    let job = ReplayedJob {
        width: 8.0,
        work: 8.0 * 20.0,
        window: 36.0,
    };
    let mut learner = Learner::default();
    for t in 0..4_000 {
        learner.learn(&job, 3.0, &market, 40.0 + f64::from(t), 36.0);
    }
    let weights = learner.weights();
    assert!((weights.iter().sum::<f64>() - 1.0).abs() < 1e-9);
    let best = weights.iter().copied().fold(0.0, f64::max);
    let costs: Vec<f64> = parameter_grid()
        .iter()
        .map(|p| replay_cost(&job, 3.0, *p, &market))
        .collect();
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    for (w, c) in weights.iter().zip(&costs) {
        assert!(
            *w < best - 1e-9 || *c <= least + 1e-9,
            "the pair with the highest weight costs least"
        );
        assert!(w.is_finite() && *w >= 0.0);
    }
    assert_eq!(
        learner.draw(0.0),
        weights.iter().position(|w| *w > 0.0).unwrap_or(99)
    );
    assert!(learner.draw(0.999_999) < weights.len());
}
