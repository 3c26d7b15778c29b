use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Require(String, u64),
    Put(String, u64, usize),
    Delete(String, u64),
}

fn step() -> impl Strategy<Value = Step> {
    // Few short keys, so that they repeat, and long ones that never fit.
    let key = prop_oneof!["[a-c]/[0-9]{1,2}", "[a-z]{180,230}"];
    let revision = 0..3u64;
    prop_oneof![
        (key.clone(), revision.clone()).prop_map(|(k, s)| Step::Require(k, s)),
        (key.clone(), revision.clone(), 0..20_000usize).prop_map(|(k, s, n)| Step::Put(k, s, n)),
        (key, revision).prop_map(|(k, s)| Step::Delete(k, s)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Any sequence of operations leaves the encoded body within the limits, and a rejected
    /// operation changes nothing.
    #[test]
    fn body_of_any_transaction_is_within_the_limits(
        writes in 1..24usize,
        value in 64..16_384usize,
        steps in prop::collection::vec(step(), 0..70),
    ) {
        let limits = TransactionLimits { writes, conditions: writes * 4, bytes: MAX_BYTES, value_bytes: value };
        let mut transaction = Transaction::new(limits);
        let mut accepted = 0;
        for s in steps {
            let before = (transaction.write_count(), transaction.remaining_conditions(), transaction.bytes);
            let done = match s {
                Step::Require(k, s) => transaction.require(k, Revision(s)),
                Step::Put(k, s, n) => {
                    transaction.put(k, Revision(s), Value::Text("x".repeat(n)), Some(7))
                }
                Step::Delete(k, s) => transaction.delete(k, Revision(s)),
            };
            match done {
                Ok(()) => accepted += 1,
                Err(_) => prop_assert_eq!(
                    before, (transaction.write_count(), transaction.remaining_conditions(), transaction.bytes)
                ),
            }
        }
        let body: Value = wire::decode(&transaction.into_body()).expect("a valid body");
        prop_assert!(wire::json_len(&body) <= MAX_BYTES);
        let list = |name: &str| -> Vec<Value> {
            let Value::Map(fields) = &body else { return Vec::new() };
            let found = fields.iter().find(|(k, _)| k.as_text() == Some(name));
            found.and_then(|(_, v)| v.as_array().cloned()).unwrap_or_default()
        };
        prop_assert!(list("then").len() <= writes);
        prop_assert!(list("when").len() <= writes * 4);
        prop_assert!(accepted >= list("then").len());
    }
}

#[test]
fn write_too_large_for_any_transaction_is_distinguished_from_full() {
    let limits = TransactionLimits {
        writes: 2,
        conditions: 8,
        bytes: MAX_BYTES,
        value_bytes: 1_024,
    };
    let mut transaction = Transaction::new(limits);
    let big = Value::Text("x".repeat(2_000));
    assert!(matches!(
        transaction.put("a", Revision(0), big, None),
        Err(TransactionError::TooLarge { .. })
    ));
    assert!(matches!(
        transaction.require("k".repeat(201), Revision(0)),
        Err(TransactionError::TooLarge { .. })
    ));
    assert_eq!(transaction.delete("a", Revision(1)), Ok(()));
    assert_eq!(
        transaction.delete("a", Revision(2)),
        Err(TransactionError::ConflictingConditions)
    );
    assert_eq!(transaction.delete("b", Revision(1)), Ok(()));
    assert_eq!(
        transaction.delete("c", Revision(1)),
        Err(TransactionError::Full)
    );
    // The key is already compared, so no second condition is counted.
    assert_eq!(transaction.require("b", Revision(1)), Ok(()));
    assert_eq!(transaction.remaining_conditions(), 6);
}
