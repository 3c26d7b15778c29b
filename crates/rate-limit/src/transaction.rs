//! A transaction that stays within the key-value store's limits while it is built.

use beamhinge_core::settings;
use beamhinge_core::types::Revision;
use beamhinge_core::wire;
use ciborium::Value;
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum size of a transaction, bytes; the protocol allows 64 KiB.
const MAX_BYTES: usize = 64 * 1024;
/// Maximum size of a key in the protocol, bytes.
const MAX_KEY_BYTES: usize = 200;
/// Maximum number of conditions per write in the protocol.
const CONDITIONS_PER_WRITE: usize = 4;
/// JSON length of `{"when":[],"then":[]}`, with a margin.
const FRAME_BYTES: usize = 24;
/// JSON length of `{"path":"","stamp":18446744073709551615},`.
const CONDITION_BYTES: usize = 42;
/// JSON length of `{"write":"","value":,"permit":18446744073709551615},`.
const WRITE_BYTES: usize = 54;

/// Maximum contents of one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransactionLimits {
    /// Number of puts and deletes.
    pub writes: usize,
    /// Number of keys whose revision is compared.
    pub conditions: usize,
    /// Bytes of the whole body in its JSON form.
    pub bytes: usize,
    /// Bytes of one value in its JSON form.
    pub value_bytes: usize,
}

/// The limits of a key-value store with these settings.
impl From<&settings::StateLimits> for TransactionLimits {
    fn from(state: &settings::StateLimits) -> TransactionLimits {
        TransactionLimits {
            writes: state.txn_ops,
            conditions: state.txn_ops * CONDITIONS_PER_WRITE,
            bytes: MAX_BYTES,
            value_bytes: (state.value_kb * 1024.0) as usize,
        }
    }
}

impl TransactionLimits {
    /// These limits with at most `writes` writes, the largest number that the request rate limit
    /// could admit at once.
    #[must_use]
    pub fn with_max_writes(self, writes: usize) -> TransactionLimits {
        TransactionLimits {
            writes: self.writes.min(writes),
            ..self
        }
    }

    /// These limits with the numbers of writes and conditions divided by `divisor`, but never below
    /// one write and its conditions.
    #[must_use]
    pub fn divided_by(self, divisor: usize) -> TransactionLimits {
        let divisor = divisor.max(1);
        TransactionLimits {
            writes: (self.writes / divisor).max(1),
            conditions: (self.conditions / divisor).max(CONDITIONS_PER_WRITE),
            bytes: self.bytes,
            value_bytes: self.value_bytes,
        }
    }
}

/// Why a transaction rejected an operation. The transaction is unchanged in that case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransactionError {
    /// The operation does not fit into the remaining capacity; it may fit into the next
    /// transaction.
    #[error("the transaction is full")]
    Full,
    /// The operation would not fit into an empty transaction either.
    #[error("{bytes} bytes where {limit} are allowed")]
    TooLarge {
        /// Bytes of the key or of the value's JSON form.
        bytes: usize,
        /// Maximum number of bytes.
        limit: usize,
    },
    /// The transaction already compares the key with another revision; both conditions cannot be
    /// true.
    #[error("two versions of one key")]
    ConflictingConditions,
}

/// One condition on the wire.
#[derive(Serialize)]
struct WireCondition<'a> {
    path: &'a str,
    #[serde(rename = "stamp")]
    revision: u64,
}

/// One put or delete on the wire.
#[derive(Serialize)]
struct WireWrite<'a> {
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

/// The body of a commit request on the wire.
#[derive(Serialize)]
struct WireTransaction<'a> {
    #[serde(rename = "when")]
    conditions: Vec<WireCondition<'a>>,
    #[serde(rename = "then", skip_serializing_if = "Vec::is_empty")]
    writes: Vec<WireWrite<'a>>,
}

/// A put or a delete in a transaction.
#[derive(Debug)]
enum Operation {
    Put {
        key: String,
        value: Value,
        lease_id: Option<u64>,
    },
    Delete {
        key: String,
    },
}

impl Operation {
    fn to_wire(&self) -> WireWrite<'_> {
        match self {
            Operation::Put {
                key,
                value,
                lease_id,
            } => WireWrite {
                write: Some(key),
                value: Some(value),
                lease_id: *lease_id,
                delete: None,
            },
            Operation::Delete { key } => WireWrite {
                write: None,
                value: None,
                lease_id: None,
                delete: Some(key),
            },
        }
    }
}

/// What an operation adds to a transaction.
#[derive(Clone, Copy)]
struct Cost {
    writes: usize,
    conditions: usize,
    bytes: usize,
}

/// A compare-and-swap transaction under construction.
///
/// Invariants: the transaction is always within its limits, and every write has a condition on the
/// revision of its key (there are no unconditional writes).
#[derive(Debug)]
#[must_use = "a transaction has no effect until it is committed"]
pub struct Transaction {
    limits: TransactionLimits,
    conditions: BTreeMap<String, Revision>,
    operations: Vec<Operation>,
    bytes: usize,
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new(limits: TransactionLimits) -> Transaction {
        Transaction {
            limits,
            conditions: BTreeMap::new(),
            operations: Vec::new(),
            bytes: FRAME_BYTES,
        }
    }

    /// Cost of adding a condition on `key`.
    fn condition_cost(&self, key: &str, revision: Revision) -> Result<Cost, TransactionError> {
        if key.len() > MAX_KEY_BYTES {
            return Err(TransactionError::TooLarge {
                bytes: key.len(),
                limit: MAX_KEY_BYTES,
            });
        }
        let (conditions, bytes) = match self.conditions.get(key) {
            Some(existing) if *existing != revision => {
                return Err(TransactionError::ConflictingConditions)
            }
            Some(_) => (0, 0),
            None => (1, key.len() + CONDITION_BYTES),
        };
        Ok(Cost {
            writes: 0,
            conditions,
            bytes,
        })
    }

    /// Reserves the cost of an operation if it fits.
    fn reserve(&mut self, cost: Cost) -> Result<(), TransactionError> {
        let fits_in_bytes = self.bytes + cost.bytes <= self.limits.bytes;
        if !fits_in_bytes && FRAME_BYTES + cost.bytes > self.limits.bytes {
            return Err(TransactionError::TooLarge {
                bytes: cost.bytes,
                limit: self.limits.bytes,
            });
        }
        let fits = self.operations.len() + cost.writes <= self.limits.writes
            && self.conditions.len() + cost.conditions <= self.limits.conditions
            && fits_in_bytes;
        if !fits {
            return Err(TransactionError::Full);
        }
        self.bytes += cost.bytes;
        Ok(())
    }

    /// Adds the condition that `key` has this revision (0: the key is absent).
    ///
    /// # Errors
    /// If it does not fit or contradicts another condition; the transaction is then unchanged.
    pub fn require(
        &mut self,
        key: impl Into<String>,
        revision: Revision,
    ) -> Result<(), TransactionError> {
        let key = key.into();
        let cost = self.condition_cost(&key, revision)?;
        self.reserve(cost)?;
        self.conditions.insert(key, revision);
        Ok(())
    }

    /// Writes `key` on condition that it still has this revision (0: the key is absent). With a
    /// lease, the key disappears when the lease expires.
    ///
    /// # Errors
    /// If it does not fit or contradicts another condition; the transaction is then unchanged.
    pub fn put(
        &mut self,
        key: impl Into<String>,
        revision: Revision,
        value: Value,
        lease_id: Option<u64>,
    ) -> Result<(), TransactionError> {
        let key = key.into();
        let value_bytes = wire::json_len(&value);
        if value_bytes > self.limits.value_bytes {
            return Err(TransactionError::TooLarge {
                bytes: value_bytes,
                limit: self.limits.value_bytes,
            });
        }
        self.add_write(&key, revision, value_bytes)?;
        self.operations.push(Operation::Put {
            key,
            value,
            lease_id,
        });
        Ok(())
    }

    /// Deletes `key` on condition that it still has this revision.
    ///
    /// # Errors
    /// If it does not fit or contradicts another condition; the transaction is then unchanged.
    pub fn delete(
        &mut self,
        key: impl Into<String>,
        revision: Revision,
    ) -> Result<(), TransactionError> {
        let key = key.into();
        self.add_write(&key, revision, 0)?;
        self.operations.push(Operation::Delete { key });
        Ok(())
    }

    /// Reserves a write of `key` and adds its condition.
    fn add_write(
        &mut self,
        key: &str,
        revision: Revision,
        value_bytes: usize,
    ) -> Result<(), TransactionError> {
        let condition = self.condition_cost(key, revision)?;
        self.reserve(Cost {
            writes: 1,
            conditions: condition.conditions,
            bytes: condition.bytes + key.len() + value_bytes + WRITE_BYTES,
        })?;
        self.conditions.insert(key.to_string(), revision);
        Ok(())
    }

    /// Number of puts and deletes so far.
    pub fn write_count(&self) -> usize {
        self.operations.len()
    }

    /// Number of puts and deletes that still fit.
    pub fn remaining_writes(&self) -> usize {
        self.limits.writes.saturating_sub(self.operations.len())
    }

    /// Number of conditions that still fit.
    pub fn remaining_conditions(&self) -> usize {
        self.limits.conditions.saturating_sub(self.conditions.len())
    }

    /// Size of the largest value that still fits with a new key of `key_bytes` bytes, bytes.
    pub fn remaining_value_bytes(&self, key_bytes: usize) -> usize {
        let overhead = 2 * key_bytes + CONDITION_BYTES + WRITE_BYTES;
        self.limits
            .bytes
            .saturating_sub(self.bytes + overhead)
            .min(self.limits.value_bytes)
    }

    /// Encodes the body of the commit request.
    pub fn into_body(self) -> Vec<u8> {
        wire::encode(&WireTransaction {
            conditions: self
                .conditions
                .iter()
                .map(|(key, revision)| WireCondition {
                    path: key,
                    revision: revision.0,
                })
                .collect(),
            writes: self.operations.iter().map(Operation::to_wire).collect(),
        })
    }
}

#[cfg(test)]
mod tests;
