//! CBOR encoding of requests, answers and stored records.
//!
//! Amounts may be encoded as integers or floats. Size limits apply to the length of the JSON form,
//! as the protocol requires.

use ciborium::Value;
use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::Serialize;
use std::fmt;

/// Maximum size of a request body, or of the body of an answer to a worker or user, bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A body that is not valid CBOR or does not match the expected type.
#[derive(Debug, thiserror::Error)]
#[error("not a CBOR body of the expected form")]
pub struct DecodeError;

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    match ciborium::into_writer(value, &mut out) {
        Ok(()) => out,
        // Writing to memory fails only for types that cannot be serialised. 0xa0 is an empty map:
        // a valid body that never makes the receiver release anything.
        Err(_) => vec![0xa0],
    }
}

/// Decodes a CBOR body.
///
/// # Errors
///
/// [`DecodeError`] if the body is malformed, nested too deeply or lacks a required field.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    // The nesting limit protects against bodies crafted to exhaust the stack.
    ciborium::de::from_reader_with_recursion_limit(body, 32).map_err(|_| DecodeError)
}

/// Converts a value to the CBOR data model; `Null` if it cannot be serialised.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Converts a value from the CBOR data model.
///
/// # Errors
///
/// [`DecodeError`] if the value does not match the expected type.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Result<T, DecodeError> {
    value.deserialized().map_err(|_| DecodeError)
}

/// Body of an error answer.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Encodes the body of an error answer.
pub fn error_body(text: &str) -> Vec<u8> {
    encode(&ErrorBody { error: text })
}

/// Length of the value's JSON form, bytes. For arrays and maps the result is slightly too large,
/// since a separator is counted after the last element too.
pub fn json_len(value: &Value) -> usize {
    match value {
        Value::Null | Value::Bool(true) => 4,
        Value::Bool(false) => 5,
        Value::Integer(i) => {
            let n: i128 = (*i).into();
            let mut len = if n < 0 { 2 } else { 1 };
            let mut rest = n.unsigned_abs() / 10;
            while rest > 0 {
                len += 1;
                rest /= 10;
            }
            len
        }
        Value::Float(f) => serde_json::to_string(f).map_or(4, |s| s.len()),
        Value::Text(t) => serde_json::to_string(t).map_or(t.len() + 2, |s| s.len()),
        Value::Array(items) => 2 + items.iter().map(|v| json_len(v) + 1).sum::<usize>(),
        Value::Map(pairs) => {
            2 + pairs
                .iter()
                .map(|(k, v)| json_len(k) + json_len(v) + 2)
                .sum::<usize>()
        }
        Value::Bytes(b) => b.len() * 2 + 2,
        _ => 8,
    }
}

/// Accepts an integer or a float and yields a float.
struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = f64;
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a number")
    }
    fn visit_f64<E>(self, v: f64) -> Result<f64, E> {
        Ok(v)
    }
    fn visit_i64<E>(self, v: i64) -> Result<f64, E> {
        Ok(v as f64)
    }
    fn visit_u64<E>(self, v: u64) -> Result<f64, E> {
        Ok(v as f64)
    }
}

/// Deserializes an amount that may be encoded as an integer.
pub fn amount<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    d.deserialize_any(NumberVisitor)
}

/// Deserializes an optional amount: null yields `None`. Fields that may be absent need
/// `#[serde(default)]` as well.
pub fn amount_or_null<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    struct OptionalNumberVisitor;
    impl<'de> Visitor<'de> for OptionalNumberVisitor {
        type Value = Option<f64>;
        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("a number or null")
        }
        fn visit_none<E>(self) -> Result<Self::Value, E> {
            Ok(None)
        }
        fn visit_unit<E>(self) -> Result<Self::Value, E> {
            Ok(None)
        }
        fn visit_some<D: Deserializer<'de>>(self, d: D) -> Result<Self::Value, D::Error> {
            amount(d).map(Some)
        }
    }
    d.deserialize_option(OptionalNumberVisitor)
}

#[cfg(test)]
mod tests;
