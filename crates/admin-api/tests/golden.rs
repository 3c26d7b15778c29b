//! JSON encodings of the admin API: requests of the client, and responses of controllers, which
//! `beamhinge --output json` prints.

#[path = "../../core/tests/support/golden.rs"]
mod golden;

use beamhinge_admin_api::auth::{Key, Role, SignedRequest};
use beamhinge_admin_api::directives::{
    Afterwards, Directive, DirectiveChange, DirectiveChangeResult, Target,
};
use beamhinge_admin_api::messages::*;
use beamhinge_admin_api::reasons::{CandidateMachine, MachineTally, Reason, RentalObstacle};
use beamhinge_configuration::stored::Author;
use beamhinge_configuration::{ConfigurationChange, Quota, TeamChange, Version};
use beamhinge_core::job::{JobKind, JobSpec, Urgency};
use golden::Golden;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Adds a value as JSON, and checks that decoding and encoding it again gives the same JSON.
fn add_json<T: Serialize + DeserializeOwned>(golden: &mut Golden, name: &str, value: &T) {
    let text = serde_json::to_string(value).expect(name);
    let decoded: T = serde_json::from_str(&text).expect(name);
    assert_eq!(serde_json::to_string(&decoded).expect(name), text, "{name}");
    golden.text(name, &text);
}

fn job_request_with_all_fields() -> JobRequest {
    JobRequest {
        class: "train".into(),
        kind: JobKind::Service,
        urgency: Urgency::High,
        tasks: 16,
        cpus: 8.5,
        gpus: 1.25,
        memory_gb: 64.5,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: true,
        spot: false,
        expect_s: 240.5,
        checkpoint_s: 30.5,
        save_s: 4.5,
        due_s: Some(900.5),
        command: Some("echo hello".into()),
        ..JobRequest::new("job-000412", "vision")
    }
}

fn job_row(state: State) -> JobRow {
    JobRow {
        job: "job-000412".into(),
        state,
        tasks: 16,
        done: 3,
        running: 13,
        team: Some("vision".into()),
        class: Some("train".into()),
        urgency: Some(Urgency::BestEffort),
        age_s: Some(61.5),
    }
}

fn minimal_job_row() -> JobRow {
    JobRow {
        team: None,
        class: None,
        urgency: None,
        age_s: None,
        ..job_row(State::Pending)
    }
}

fn author(restores: Option<Version>) -> Author {
    Author {
        id: "a1".into(),
        at_ms: 9,
        by: "alice".into(),
        why: "more".into(),
        restores,
    }
}

const QUOTA: Quota = Quota {
    cpus: 16.5,
    cpus_max: 32.5,
    gpus: 1.5,
    gpus_max: 2.5,
};

/// At least one reason of each kind; the fields of a reason have different values.
#[expect(
    clippy::too_many_lines,
    reason = "one value of each reason, with every field set"
)]
fn reasons() -> Vec<Reason> {
    let tally = MachineTally {
        full: 1,
        silent: 2,
        unsynced: 3,
        refusing: 4,
        taken: 5,
        leaving: 6,
        drained: 7,
        quarantined: 8,
        slow: 9,
        spot: 10,
        other_machine_type: 11,
        other_zone: 12,
    };
    let near = CandidateMachine {
        machine: "n-1".into(),
        lacks_cpus: 1.5,
        lacks_gpus: 2.5,
        lacks_memory_gb: 3.5,
    };
    let (target, by) = (|| "zone a".to_string(), || "alice".to_string());
    let (machine_type, zone) = (|| "g8".to_string(), || "a".to_string());
    let aging = |rises_in_s, kept| Reason::PriorityAging {
        priority: 1.5,
        age_s: 2.5,
        rises_in_s,
        ahead: 3,
        lane_cpus: 4.5,
        held_cpus: 5.5,
        kept,
    };
    vec![
        Reason::Frozen {
            target: target(),
            since_s: 1.5,
            by: by(),
        },
        Reason::Failures {
            failures: 1,
            machines: 2,
            retry_s: 3.5,
        },
        Reason::TeamLimit {
            team: "vision".into(),
            resource: "CPUs".into(),
            used: 1.5,
            wanted: 2.5,
            limit: 3.5,
        },
        Reason::NoRoom {
            tally,
            near: vec![near],
        },
        Reason::Booting {
            machine_type: machine_type(),
            zone: zone(),
            spot: true,
            machines: 2,
            expected_s: 3.5,
        },
        Reason::Renting {
            machine_type: machine_type(),
            zone: zone(),
            spot: false,
            machines: 2,
        },
        Reason::MarketRefused {
            machine_type: machine_type(),
            zone: zone(),
            spot: true,
            again_s: 1.5,
        },
        Reason::NotRented {
            machine_type: machine_type(),
            zone: zone(),
            spot: true,
            because: RentalObstacle::Covered,
            wanted: 2,
            counted: 3,
            in_zone: 1,
        },
        Reason::Drained {
            target: target(),
            since_s: 1.5,
            by: by(),
        },
        Reason::Behind {
            jobs: 1,
            tasks: 2,
            first: vec!["job-1".into()],
        },
        aging(Some(6.5), Some("n-1".into())),
        aging(None, None),
        Reason::Fetching {
            tasks: 1,
            image: "img".into(),
            image_gb: 2.5,
            longest_s: 3.5,
        },
        Reason::Starting { tasks: 1 },
        Reason::Ahead { tasks: 2 },
        Reason::Inherited {
            tasks: 3,
            until_s: 4.5,
        },
        Reason::Split {
            beta0: 0.25,
            beta: 0.5,
            owned: 1.5,
            spot: 2.5,
            ordinary: 3.5,
            slack: Some(4.5),
            nu: Some(5.5),
            tail: 6.5,
        },
        Reason::Split {
            beta0: 0.25,
            beta: 0.5,
            owned: 1.5,
            spot: 2.5,
            ordinary: 3.5,
            slack: None,
            nu: None,
            tail: 6.5,
        },
        Reason::Undecided,
    ]
}

#[test]
fn requests_match_golden_json() {
    let mut golden = Golden::new("tests/golden/requests.json.txt");
    let g = &mut golden;
    add_json(g, "smallest job", &JobRequest::new("job-1", "vision"));
    add_json(g, "job", &job_request_with_all_fields());
    for (name, afterwards) in [("return", Afterwards::Return), ("keep", Afterwards::Keep)] {
        let (target, note) = (Target::Machine("n-1".into()), "fans".into());
        add_json(
            g,
            name,
            &DirectiveChange {
                target,
                set: true,
                within_s: Some(1.5),
                afterwards,
                note,
            },
        );
    }
    let change = |name: &str, change| {
        let teams = [(name.to_string(), change)].into();
        ConfigurationChange {
            seen: Version(41),
            teams,
            restore_version: None,
            why: "more".into(),
        }
    };
    add_json(g, "set a quota", &change("vision", TeamChange::Set(QUOTA)));
    add_json(g, "add a team", &change("vision", TeamChange::Add(QUOTA)));
    add_json(g, "remove a team", &change("vision", TeamChange::Remove));
    add_json(g, "restore a team", &change("vision", TeamChange::Restore));
    let restore_version = ConfigurationChange {
        teams: Default::default(),
        restore_version: Some(Version(39)),
        ..change("vision", TeamChange::Remove)
    };
    add_json(g, "restore a version", &restore_version);
    golden.check();
}

#[test]
fn omitted_request_fields_have_default_values() {
    let text = r#"{"job": "job-1", "team": "vision"}"#;
    let decoded: JobRequest = serde_json::from_str(text).expect("valid job request");
    assert_eq!(decoded, JobRequest::new("job-1", "vision"));
    let text = r#"{"target": {"team": "vision"}, "set": false}"#;
    let decoded: DirectiveChange = serde_json::from_str(text).expect("valid directive change");
    let (target, afterwards) = (Target::Team("vision".into()), Afterwards::Return);
    let expected = DirectiveChange {
        target,
        set: false,
        within_s: None,
        afterwards,
        note: String::new(),
    };
    assert_eq!(decoded, expected);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one value of each message, with every field set"
)]
fn job_responses_match_golden_json() {
    let mut golden = Golden::new("tests/golden/jobs.json.txt");
    let g = &mut golden;
    add_json(
        g,
        "told",
        &JobResponse {
            job: "job-1".into(),
            state: State::Cancelled,
        },
    );
    for state in [
        State::Pending,
        State::Running,
        State::Done,
        State::Cancelled,
    ] {
        add_json(g, &format!("row {state}"), &job_row(state));
    }
    for urgency in [
        Urgency::BestEffort,
        Urgency::Standard,
        Urgency::High,
        Urgency::Critical,
    ] {
        add_json(g, "urgency", &urgency);
    }
    let next = Some("job-000412".to_string());
    add_json(
        g,
        "page",
        &JobPage {
            jobs: vec![job_row(State::Running), minimal_job_row()],
            next,
        },
    );
    add_json(
        g,
        "last page",
        &JobPage {
            jobs: Vec::new(),
            next: None,
        },
    );
    let spec: JobSpec = job_request_with_all_fields().spec(1_700_000_000_123);
    let task = TaskRow {
        task: "job-000412/3".into(),
        machine: "n-000231".into(),
        state: "running".into(),
        running_s: Some(1.5),
        stopping: true,
    };
    let (tasks, wait_reasons) = (vec![task], vec![Reason::Undecided]);
    let placed = JobPlacement {
        done: 1,
        running: 2,
        waiting: 3,
        tasks,
        reasons: wait_reasons,
    };
    add_json(g, "placed", &placed);
    let detail = JobDetail {
        row: job_row(State::Running),
        spec: Some(SpecView::from(&spec)),
        placed: Some(placed),
    };
    add_json(g, "detail", &detail);
    add_json(
        g,
        "empty detail",
        &JobDetail {
            row: minimal_job_row(),
            spec: None,
            placed: None,
        },
    );
    let explanation = Explanation {
        job: "job-1".into(),
        state: State::Pending,
        waiting: 4,
        reasons: Vec::new(),
        text: vec!["words".into()],
    };
    add_json(g, "explanation", &explanation);
    for reason in reasons() {
        add_json(g, reason.name(), &reason);
        add_text(g, reason.name(), &reason.to_string());
    }
    golden.check();
}

fn add_text(golden: &mut Golden, name: &str, text: &str) {
    golden.text(&format!("{name} in words"), text);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one value of each message, with every field set"
)]
fn cluster_responses_match_golden_json() {
    let mut golden = Golden::new("tests/golden/cluster.json.txt");
    let g = &mut golden;
    let machine = MachineRow {
        machine: "n-000231".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        owned: false,
        state: "up".into(),
        tasks: 3,
        cpus: 96.5,
        free_cpus: 4.5,
        free_memory_gb: 5.5,
        heard_s: Some(1.5),
        age_s: Some(2.5),
    };
    let never_reported = MachineRow {
        spot: false,
        owned: true,
        heard_s: None,
        age_s: None,
        ..machine.clone()
    };
    let next = Some("n-000231".into());
    add_json(
        g,
        "machines",
        &MachinePage {
            machines: vec![machine, never_reported],
            next,
        },
    );
    add_json(
        g,
        "last machines",
        &MachinePage {
            machines: Vec::new(),
            next: None,
        },
    );
    let team = TeamRow {
        team: "vision".into(),
        cpus_used: 1.5,
        cpus_guaranteed: 2.5,
        cpus_limit: 3.5,
        gpus_used: 4.5,
        gpus_guaranteed: 5.5,
        gpus_limit: 6.5,
        jobs_open: 7,
        tasks_waiting: 8,
        frozen: true,
    };
    add_json(g, "teams", &vec![team.clone()]);
    let follower = NodeRow {
        label: "north-1".into(),
        answering: true,
        leader: false,
        token: Some(41),
        store_age_s: Some(1.5),
        heard_s: Some(2.5),
        ready: true,
        drained: false,
        stuck_ago_s: Some(3.5),
    };
    let leader = NodeRow {
        answering: false,
        leader: true,
        token: None,
        store_age_s: None,
        heard_s: None,
        ready: false,
        drained: true,
        stuck_ago_s: None,
        ..follower.clone()
    };
    add_json(g, "nodes", &vec![follower, leader]);
    let pair = PairRow {
        beta0: 0.25,
        beta: 0.5,
        weight: 0.75,
        jobs: 9,
    };
    add_json(
        g,
        "splits",
        &Splits {
            update_s: 15.5,
            pairs: vec![pair],
        },
    );
    let summary = Summary {
        leader: "north-1".into(),
        token: 41,
        jobs_open: 1,
        jobs_running: 2,
        tasks_running: 3,
        tasks_waiting: 4,
        oldest_wait_s: 5.5,
        machines_up: 6,
        machines_starting: 7,
        machines_silent: 8,
        cpus: 9.5,
        cpus_used: 8.5,
        teams: vec![team],
        directives: 10,
    };
    add_json(g, "summary", &summary);
    let (task, machine) = (|| "job-1/2".to_string(), || "n-1".to_string());
    let (machine_type, zone, why) = (
        || "g8".to_string(),
        || "a".to_string(),
        || "it is sick".to_string(),
    );
    let kinds = [
        DecisionKind::Placed {
            task: task(),
            machine: machine(),
            ahead: true,
        },
        DecisionKind::Stopped {
            task: task(),
            machine: machine(),
            why: why(),
        },
        DecisionKind::Ended {
            task: task(),
            machine: machine(),
            why: why(),
        },
        DecisionKind::Rented {
            machine_type: machine_type(),
            zone: zone(),
            spot: true,
            asked: 12,
            got: 7,
        },
        DecisionKind::Refused {
            machine_type: machine_type(),
            zone: zone(),
            spot: false,
        },
        DecisionKind::Returned {
            machine: machine(),
            why: why(),
        },
        DecisionKind::Quarantined {
            machine: machine(),
            why: why(),
        },
        DecisionKind::Done {
            job: "job-1".into(),
        },
        DecisionKind::LeadershipAcquired { token: 41 },
    ];
    for kind in &kinds {
        add_text(g, "decision", &kind.to_string());
    }
    let decisions = kinds
        .into_iter()
        .enumerate()
        .map(|(i, what)| Decision {
            serial: i as u64 + 1,
            at_ms: 99,
            what,
        })
        .collect();
    add_json(
        g,
        "decisions",
        &Decisions {
            token: 41,
            decisions,
            missed: 5,
        },
    );
    add_json(
        g,
        "hello",
        &ServerInfo {
            label: "north-1".into(),
            instance: "i1".into(),
            version: "0.2.0".into(),
            time_ms: 99,
        },
    );
    golden.check();
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one value of each message, with every field set"
)]
fn directive_configuration_and_error_responses_match_golden_json() {
    let mut golden = Golden::new("tests/golden/directives.json.txt");
    let g = &mut golden;
    let targets = ["machine", "shape", "zone", "node", "team", "class"]
        .map(|kind| Target::parse(kind, "name").expect(kind));
    for target in &targets {
        add_text(g, "target", &target.to_string());
    }
    let directives = targets.into_iter().map(|target| Directive {
        target,
        since_ms: 99,
        within_s: Some(1.5),
        afterwards: Afterwards::Keep,
        by: "alice".into(),
        note: "fans".into(),
    });
    add_json(
        g,
        "directives",
        &Directives {
            directives: directives.collect(),
        },
    );
    let target = Target::Zone("a".into());
    add_json(
        g,
        "changed",
        &DirectiveChangeResult {
            target,
            set: true,
            changed: false,
        },
    );
    let team = |removed| QuotaRow {
        team: "vision".into(),
        quota: QUOTA,
        removed,
    };
    let behind = |version| BehindRow {
        label: "north-1".into(),
        version,
    };
    let view = ConfigurationView {
        on: true,
        version: Version(41),
        author: Some(author(Some(Version(39)))),
        in_force_everywhere_since_ms: Some(98),
        behind: vec![behind(Some(Version(40))), behind(None)],
        unknown_fields: vec!["later".into()],
        teams: vec![team(false), team(true)],
    };
    add_json(g, "configuration", &view);
    let minimal_view = ConfigurationView {
        on: false,
        author: None,
        in_force_everywhere_since_ms: None,
        unknown_fields: Vec::new(),
        ..view
    };
    add_json(g, "bare configuration", &minimal_view);
    let response = |warning| ConfigurationResponse {
        version: Version(42),
        warning,
    };
    add_json(g, "made", &response(Some("mind".into())));
    add_json(g, "made without warning", &response(None));
    let codes = [
        Code::Unauthenticated,
        Code::Clock,
        Code::Replayed,
        Code::OtherInstance,
        Code::Forbidden,
        Code::NotFound,
        Code::Malformed,
        Code::TooLarge,
        Code::Refused,
        Code::Busy,
    ];
    for code in codes {
        let ahead_ms = (code == Code::Clock).then_some(-700);
        add_json(
            g,
            "problem",
            &Problem {
                code,
                error: "why".into(),
                ahead_ms,
            },
        );
    }
    golden.check();
}

/// Checks the `Authorization` header that a client sends, and the key file that it signs with.
#[test]
fn signatures_of_key_file_keys_match_golden_text() {
    let file = "[alice]\nrole = operator\nsecret = 000102030405060708090a0b0c0d0e0f\n\n\
        [bob]\nrole = viewer\nsecret = 101112131415161718191a1b1c1d1e1f\n";
    let keys = Key::parse_all("keys", file).expect("valid key file");
    assert_eq!(
        keys.iter().map(|k| k.role).collect::<Vec<_>>(),
        [Role::Operator, Role::Viewer]
    );
    let mut golden = Golden::new("tests/golden/signatures.txt");
    let signed = SignedRequest {
        method: "POST",
        path: "/v1/jobs?limit=7",
        body: b"{\"job\":\"job-1\"}",
        time_ms: 1_700_000_000_123,
        nonce: "n0",
        instance: "i1",
    };
    for key in &keys {
        golden.text(&key.name, &key.sign(&signed));
    }
    golden.check();
}
