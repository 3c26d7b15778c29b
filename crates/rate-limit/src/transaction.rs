//! A transaction being put together.

use beamhinge_core::settings;
use beamhinge_core::types::Revision;
use beamhinge_core::wire;
use ciborium::Value;
use serde::Serialize;
use std::collections::BTreeMap;

/// Bytes that a transaction may hold in all; the protocol allows 64 KiB.
const MAX_BYTES: usize = 64 * 1024;
/// Bytes of a key, by the protocol.
const MAX_KEY_BYTES: usize = 200;
/// Conditions per change, by the protocol.
const CONDITIONS_PER_WRITE: usize = 4;
/// `{"when":[],"then":[]}`
const FRAME_BYTES: usize = 24;
/// `{"path":"","stamp":18446744073709551615},`
const CONDITION_BYTES: usize = 42;
/// `{"write":"","value":,"permit":18446744073709551615},`
const WRITE_BYTES: usize = 54;

/// What one transaction may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransactionLimits {
    /// Puts and deletes.
    pub writes: usize,
    /// Keys that are compared.
    pub conditions: usize,
    /// Bytes of the whole body in its JSON form.
    pub bytes: usize,
    /// Bytes of one value in its JSON form.
    pub value_bytes: usize,
}

impl TransactionLimits {
    /// The limits of a state service with these settings.
    pub fn of(state: &settings::StateLimits) -> TransactionLimits {
        TransactionLimits {
            writes: state.txn_ops,
            conditions: state.txn_ops * CONDITIONS_PER_WRITE,
            bytes: MAX_BYTES,
            value_bytes: (state.value_kb * 1024.0) as usize,
        }
    }

    /// At most so many writes: what the pacing could ever send at once.
    pub fn with_max_writes(self, writes: usize) -> TransactionLimits {
        TransactionLimits {
            writes: self.writes.min(writes),
            ..self
        }
    }

    /// A transaction of about the `part`-th size, never below one write with
    /// the conditions that belong to it.
    pub fn divided_by(self, part: usize) -> TransactionLimits {
        let part = part.max(1);
        TransactionLimits {
            writes: (self.writes / part).max(1),
            conditions: (self.conditions / part).max(CONDITIONS_PER_WRITE),
            bytes: self.bytes,
            value_bytes: self.value_bytes,
        }
    }
}

/// Why a transaction does not take something. It is unchanged then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransactionError {
    /// There is no room left; in the next transaction there may be.
    #[error("the transaction is full")]
    Full,
    /// It would not fit into an empty transaction either.
    #[error("{bytes} bytes where {limit} are allowed")]
    TooLarge {
        /// Bytes of the key or of the value's JSON form.
        bytes: usize,
        /// Bytes that are allowed.
        limit: usize,
    },
    /// The key is compared already, with another version: both cannot hold.
    #[error("two versions of one key")]
    ConflictingConditions,
}

#[derive(Serialize)]
struct When<'a> {
    path: &'a str,
    #[serde(rename = "stamp")]
    revision: u64,
}

#[derive(Serialize)]
struct Then<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    write: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<&'a Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "permit")]
    lease_id: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delete: Option<&'a str>,
}

#[derive(Serialize)]
struct Body<'a> {
    when: Vec<When<'a>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    then: Vec<Then<'a>>,
}

/// A transaction being put together, within its limits at every moment.
///
/// Every change rests on a condition: there is no way to write a key without
/// saying which version it must have.
#[derive(Debug)]
pub struct Transaction {
    limits: TransactionLimits,
    require: BTreeMap<String, Revision>,
    then: Vec<(String, Option<Value>, Option<u64>)>,
    bytes: usize,
}

impl Transaction {
    /// An empty transaction.
    pub fn new(limits: TransactionLimits) -> Transaction {
        Transaction {
            limits,
            require: BTreeMap::new(),
            then: Vec::new(),
            bytes: FRAME_BYTES,
        }
    }

    /// What a condition on `key` would add: conditions and bytes.
    fn cost(&self, key: &str, revision: Revision) -> Result<(usize, usize), TransactionError> {
        if key.len() > MAX_KEY_BYTES {
            return Err(TransactionError::TooLarge {
                bytes: key.len(),
                limit: MAX_KEY_BYTES,
            });
        }
        match self.require.get(key) {
            Some(s) if *s != revision => Err(TransactionError::ConflictingConditions),
            Some(_) => Ok((0, 0)),
            None => Ok((1, key.len() + CONDITION_BYTES)),
        }
    }

    /// Takes the cost if it fits.
    fn spend(
        &mut self,
        writes: usize,
        conditions: usize,
        bytes: usize,
    ) -> Result<(), TransactionError> {
        if self.bytes + bytes > self.limits.bytes && FRAME_BYTES + bytes > self.limits.bytes {
            return Err(TransactionError::TooLarge {
                bytes,
                limit: self.limits.bytes,
            });
        }
        let fits = self.then.len() + writes <= self.limits.writes
            && self.require.len() + conditions <= self.limits.conditions
            && self.bytes + bytes <= self.limits.bytes;
        if !fits {
            return Err(TransactionError::Full);
        }
        self.bytes += bytes;
        Ok(())
    }

    /// The transaction holds only if `key` has the version `stamp` (0: is absent).
    ///
    /// # Errors
    /// When it does not fit; nothing is changed then.
    pub fn when(
        &mut self,
        key: impl Into<String>,
        revision: Revision,
    ) -> Result<(), TransactionError> {
        let key = key.into();
        let (conditions, bytes) = self.cost(&key, revision)?;
        self.spend(0, conditions, bytes)?;
        self.require.insert(key, revision);
        Ok(())
    }

    /// Writes `key` on condition that its version still is `stamp`.
    ///
    /// # Errors
    /// When it does not fit; nothing is changed then.
    pub fn put(
        &mut self,
        key: impl Into<String>,
        revision: Revision,
        value: Value,
        lease_id: Option<u64>,
    ) -> Result<(), TransactionError> {
        let key = key.into();
        let size = wire::json_len(&value);
        if size > self.limits.value_bytes {
            return Err(TransactionError::TooLarge {
                bytes: size,
                limit: self.limits.value_bytes,
            });
        }
        let (conditions, bytes) = self.cost(&key, revision)?;
        self.spend(1, conditions, bytes + key.len() + size + WRITE_BYTES)?;
        self.require.insert(key.clone(), revision);
        self.then.push((key, Some(value), lease_id));
        Ok(())
    }

    /// Deletes `key` on condition that its version still is `stamp`.
    ///
    /// # Errors
    /// When it does not fit; nothing is changed then.
    pub fn delete(
        &mut self,
        key: impl Into<String>,
        revision: Revision,
    ) -> Result<(), TransactionError> {
        let key = key.into();
        let (conditions, bytes) = self.cost(&key, revision)?;
        self.spend(1, conditions, bytes + key.len() + WRITE_BYTES)?;
        self.require.insert(key.clone(), revision);
        self.then.push((key, None, None));
        Ok(())
    }

    /// Puts and deletes so far.
    pub fn write_count(&self) -> usize {
        self.then.len()
    }

    /// Puts and deletes that still fit.
    pub fn remaining_writes(&self) -> usize {
        self.limits.writes.saturating_sub(self.then.len())
    }

    /// Conditions that still fit.
    pub fn remaining_conditions(&self) -> usize {
        self.limits.conditions.saturating_sub(self.require.len())
    }

    /// Bytes of the largest value that a write to a new key could still take.
    pub fn remaining_value_bytes(&self, key_bytes: usize) -> usize {
        let around = 2 * key_bytes + CONDITION_BYTES + WRITE_BYTES;
        self.limits
            .bytes
            .saturating_sub(self.bytes + around)
            .min(self.limits.value_bytes)
    }

    /// The body of the request.
    pub fn body(&self) -> Vec<u8> {
        wire::encode(&Body {
            when: self
                .require
                .iter()
                .map(|(k, s)| When {
                    path: k,
                    revision: s.0,
                })
                .collect(),
            then: self
                .then
                .iter()
                .map(|(k, v, lease_id)| Then {
                    write: v.is_some().then_some(k.as_str()),
                    value: v.as_ref(),
                    lease_id: *lease_id,
                    delete: v.is_none().then_some(k.as_str()),
                })
                .collect(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Debug)]
    enum Step {
        When(String, u64),
        Write(String, u64, usize),
        Delete(String, u64),
    }

    fn step() -> impl Strategy<Value = Step> {
        // Few and long keys: repeated ones, and ones that never fit.
        let key = prop_oneof!["[a-c]/[0-9]{1,2}", "[a-z]{180,230}"];
        let revision = 0..3u64;
        prop_oneof![
            (key.clone(), revision.clone()).prop_map(|(k, s)| Step::When(k, s)),
            (key.clone(), revision.clone(), 0..20_000usize)
                .prop_map(|(k, s, n)| Step::Write(k, s, n)),
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
        /// Whatever is asked of it, what a transaction holds is within the limits,
        /// counted anew on its body, and what it refused has changed nothing.
        #[test]
        fn no_body_ever_exceeds_a_limit(
            writes in 1..24usize,
            value in 64..16_384usize,
            steps in prop::collection::vec(step(), 0..70),
        ) {
            let limits = TransactionLimits { writes, conditions: writes * 4, bytes: MAX_BYTES, value_bytes: value };
            let mut transaction = Transaction::new(limits);
            let mut taken = 0;
            for s in steps {
                let before = (transaction.write_count(), transaction.remaining_conditions(), transaction.bytes);
                let done = match s {
                    Step::When(k, s) => transaction.when(k, Revision(s)),
                    Step::Write(k, s, n) => {
                        transaction.put(k, Revision(s), Value::Text("x".repeat(n)), Some(7))
                    }
                    Step::Delete(k, s) => transaction.delete(k, Revision(s)),
                };
                match done {
                    Ok(()) => taken += 1,
                    Err(_) => prop_assert_eq!(
                        before, (transaction.write_count(), transaction.remaining_conditions(), transaction.bytes)
                    ),
                }
            }
            let body: Value = wire::decode(&transaction.body()).expect("sound");
            prop_assert!(wire::json_len(&body) <= MAX_BYTES);
            let list = |name: &str| -> Vec<Value> {
                let Value::Map(fields) = &body else { return Vec::new() };
                let found = fields.iter().find(|(k, _)| k.as_text() == Some(name));
                found.and_then(|(_, v)| v.as_array().cloned()).unwrap_or_default()
            };
            prop_assert!(list("then").len() <= writes);
            prop_assert!(list("when").len() <= writes * 4);
            prop_assert!(taken >= list("then").len());
        }
    }

    #[test]
    fn what_never_fits_is_told_from_what_fits_later() {
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
            transaction.when("k".repeat(201), Revision(0)),
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
        // Compared before: no second condition is counted.
        assert_eq!(transaction.when("b", Revision(1)), Ok(()));
        assert_eq!(transaction.remaining_conditions(), 6);
    }
}
