use super::*;

#[test]
fn reason_has_same_content_in_json_and_text() {
    let reason = Reason::TeamLimit {
        team: "one".into(),
        resource: "CPUs".into(),
        used: 30.0,
        wanted: 4.0,
        limit: 32.0,
    };
    let json = serde_json::to_value(&reason).expect("serialization");
    assert_eq!(json["reason"], reason.name());
    assert_eq!(json["limit"], 32.0);
    assert!(reason.to_string().contains("30 of 32 CPUs"));
    let decoded: Reason = serde_json::from_value(json).expect("deserialization");
    assert_eq!(decoded, reason);
}
