use super::*;
use crate::scale::size::OPERATORS_TABLE;

type Change = fn(&mut Figures);

fn passing_run() -> (Size, Figures) {
    let mut size = Size::parse("t", OPERATORS_TABLE).expect("valid");
    size.config_changes = 0;
    let mut figures = Figures {
        workers: 2_100,
        starts_per_s: 289.0,
        offered_per_s: 291.0,
        kept_up: 0.995,
        offered_running: 14_000.0,
        running: 13_800.0,
        urgent_start_ms: TimeSummary {
            count: 100,
            p50: 900.0,
            p90: 2_000.0,
            p99: 3_000.0,
            most: 3_500.0,
        },
        urgent_in_time: 1.0,
        jobs: JobCounts {
            tasks_started: 1,
            ..JobCounts::default()
        },
        processes: 20,
        memory_mb: 900.0,
        machine_memory_mb: 24_000.0,
        ..Figures::default()
    };
    let worker = RoleUsage {
        processes: 5,
        core: 0.001,
        core_peak: 0.002,
        resident_mb: 0.2,
    };
    figures.roles.insert(WORKER.into(), worker);
    (size, figures)
}

fn failing(size: &Size, figures: &Figures) -> Vec<String> {
    compare_with_budget(size, figures)
        .into_iter()
        .filter(|l| !l.holds)
        .map(|l| l.name)
        .collect()
}

#[test]
fn budget_line_that_does_not_hold_is_named() {
    let (size, figures) = passing_run();
    assert!(
        failing(&size, &figures).is_empty(),
        "{:?}",
        failing(&size, &figures)
    );
    let cases: [(&str, Change); 9] = [
        ("starts a second", |f| f.kept_up = 0.97),
        ("tasks running", |f| f.running = 12_000.0),
        ("urgent work starts in time", |f| f.urgent_in_time = 0.98),
        ("urgent work starts in time", |f| {
            f.urgent_start_ms.count = 0
        }),
        ("a worker's processor", |f| {
            f.roles.get_mut(WORKER).expect("present").core = 0.03
        }),
        ("machines set aside", |f| f.leader_busy_s = 10.0),
        ("rules", |f| {
            f.broken.insert("quota".into(), RuleViolation::default());
        }),
        ("rules", |f| f.jobs.tasks_started = 0),
        ("memory of this machine", |f| f.memory_mb = 12_001.0),
    ];
    for (name, change) in cases {
        let (size, mut figures) = passing_run();
        change(&mut figures);
        assert_eq!(failing(&size, &figures), [name]);
    }
}

#[test]
fn configuration_change_not_in_force_in_time_fails_its_budget_line() {
    let (mut size, mut figures) = passing_run();
    size.config_changes = 1_700;
    assert_eq!(
        failing(&size, &figures),
        ["changes of configuration"],
        "none was made"
    );
    let in_force_ms = TimeSummary {
        count: 40,
        p50: 900.0,
        p90: 1_500.0,
        p99: 2_000.0,
        most: 2_500.0,
    };
    let made = ConfigurationFigures {
        made: 40,
        a_day: 30_000.0,
        in_force_ms,
        ..Default::default()
    };
    figures.configuration = made;
    assert!(failing(&size, &figures).is_empty());
    for failing_changes in [
        ConfigurationFigures { missed: 1, ..made },
        ConfigurationFigures {
            a_day: 1_000.0,
            ..made
        },
        ConfigurationFigures {
            in_force_ms: TimeSummary {
                p99: 11_001.0,
                ..in_force_ms
            },
            ..made
        },
    ] {
        figures.configuration = failing_changes;
        assert_eq!(failing(&size, &figures), ["changes of configuration"]);
    }
}
