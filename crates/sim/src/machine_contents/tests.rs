use super::*;
use serde_json::json;

fn plans() -> BTreeMap<String, JobPlan> {
    let plan = |body| JobPlan {
        body,
        run_s: 1.0,
        fails: false,
        command: None,
        submitted_at: 0,
    };
    [
        (
            "job-1",
            json!({"owner": "one", "vcpus": 4.0, "pieces": 4, "apart": true}),
        ),
        (
            "job-2",
            json!({"owner": "one", "vcpus": 4.0, "pieces": 4, "oneZone": true}),
        ),
        (
            "job-3",
            json!({"owner": "two", "vcpus": 1.0, "pieces": 4, "loaners": false}),
        ),
        (
            "job-4",
            json!({"owner": "two", "vcpus": 1.0, "pieces": 4, "shapes": ["c8", "c32"]}),
        ),
        (
            "job-5",
            json!({"owner": "two", "vcpus": 1.0, "pieces": 4, "shapes": ["c32"]}),
        ),
        (
            "job-6",
            json!({"owner": "two", "vcpus": 1.0, "pieces": 4, "yard": "north"}),
        ),
    ]
    .map(|(id, body)| (id.to_string(), plan(body)))
    .into()
}

#[test]
fn tasks_that_break_a_rule_are_reported_until_removed() {
    let (plans, mut contents) = (plans(), MachineContents::default());
    let mut set = |m: u64, zone: &str, task_ids: &[&str]| -> Vec<&'static str> {
        let task_ids = task_ids.iter().map(|p| (*p).to_string()).collect();
        let limit = |t: &str| if t == "one" { 12.0 } else { 0.0 };
        let attributes = MachineAttributes {
            machine_type: "c8",
            zone,
            spot: true,
        };
        let violations = contents.set(m, &attributes, task_ids, &plans, limit);
        violations
            .into_iter()
            .map(|violation| violation.rule)
            .collect()
    };
    assert!(set(1, "north", &["job-1/0", "job-1/1"]).is_empty());
    assert_eq!(set(2, "south", &["job-1/0"]), ["ran_twice"]);
    assert!(set(2, "south", &["job-1/2"]).is_empty());
    assert_eq!(set(3, "south", &["job-1/3"]), ["quota"]);
    assert!(set(3, "south", &[]).is_empty());
    assert_eq!(
        set(1, "north", &["job-1/0", "job-1/1", "job-1/3"]),
        ["quota", "wrong_place"]
    );
    assert!(set(1, "north", &["job-2/0"]).is_empty());
    assert_eq!(set(3, "south", &["job-2/1"]), ["wrong_place"]);
    assert_eq!(set(4, "south", &["job-3/1"]), ["wrong_place"]);
    assert!(set(4, "south", &["job-4/1"]).is_empty());
    assert_eq!(
        set(4, "south", &["job-5/1"]),
        ["wrong_place"],
        "another type"
    );
    assert_eq!(
        set(4, "south", &["job-6/1"]),
        ["wrong_place"],
        "another zone"
    );
}
