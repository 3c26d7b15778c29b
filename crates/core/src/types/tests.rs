use super::{JobId, TaskId};

#[test]
fn id_preserves_its_digits_and_malformed_id_is_rejected() {
    let id = JobId::parse("job-000412").map(|id| id.to_string());
    assert_eq!(id.as_deref(), Some("job-000412"));
    assert_ne!(JobId::parse("job-412"), JobId::parse("job-000412"));
    for bad in [
        "job-",
        "job-1a",
        "jobs-1",
        "",
        "job--1",
        "job-0123456789012345678",
    ] {
        assert_eq!(JobId::parse(bad), None, "{bad}");
    }
    let task = TaskId::parse("job-000412/3").map(|t| t.to_string());
    assert_eq!(task.as_deref(), Some("job-000412/3"));
    assert_eq!(TaskId::parse("job-1/99999999999"), None);
}
