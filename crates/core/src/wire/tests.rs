use super::{decode, encode, json_len};
use ciborium::Value;
use rand::{rngs::StdRng, Rng, SeedableRng};

#[test]
fn json_len_is_at_least_the_length_of_the_json_form() {
    let value = Value::Map(vec![(
        Value::Text("a".into()),
        Value::Integer((-120).into()),
    )]);
    assert!(json_len(&value) >= r#"{"a":-120}"#.len());
    assert!(json_len(&Value::Bytes(vec![0; 100])) >= 100);
}

#[test]
fn random_bodies_never_panic() {
    let mut rng = StdRng::seed_from_u64(7);
    let valid = encode(&serde_json::json!({"nameId": "job-1", "pieces": [1, 2.5, null]}));
    for _ in 0..5_000 {
        let mut body = valid.clone();
        for _ in 0..rng.gen_range(1..6) {
            let at = rng.gen_range(0..body.len());
            body[at] = rng.gen();
        }
        body.truncate(rng.gen_range(0..=body.len()));
        let _ = decode::<Value>(&body);
    }
    // A deeply nested body is rejected instead of exhausting the stack.
    assert!(decode::<Value>(&[0x81; 60_000]).is_err());
}
