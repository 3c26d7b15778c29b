//! Request authentication: each request carries a MAC over its method, path, body, time, nonce and
//! the instance ID of the controller process that it is addressed to.
//!
//! The MAC covers the instance ID because each process remembers only the nonces that it has
//! accepted itself: otherwise an intercepted request could be replayed to another controller, or
//! to the same controller after a restart.

use crate::messages::Code;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::RangeInclusive;
use std::path::Path;

/// Authentication scheme in the `Authorization` header.
const SCHEME: &str = "BH1";
/// Minimum length of a secret, bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Accepted lengths of a nonce, bytes.
const NONCE_BYTES: RangeInclusive<usize> = 16..=64;

/// Permissions of a key; each role includes the permissions of the roles below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May send queries.
    Viewer,
    /// May also submit and cancel jobs, and set drains and freezes.
    Operator,
}

/// A named secret. Its `Debug` output omits the secret, so that secrets never appear in logs.
#[derive(Clone)]
pub struct Key {
    /// Name of the key, as shown in logs and directives.
    pub name: String,
    /// Permissions of the key.
    pub role: Role,
    secret: Vec<u8>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({}, {:?})", self.name, self.role)
    }
}

/// Error in a key file. The message never contains a secret.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file cannot be read: its path and the I/O error.
    #[error("cannot read the key file {0}: {1}")]
    Read(String, std::io::Error),
    /// The file as a whole is invalid: its path and the problem.
    #[error("key file {0}: {1}")]
    InvalidFile(String, String),
    /// One section is invalid.
    #[error("key file {file}, [{section}]: {problem}")]
    Section {
        /// Path of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// What is invalid in the section.
        problem: &'static str,
    },
}

impl Key {
    /// Creates a key. Returns `None` if the name is empty or contains a character other than ASCII
    /// letters, digits, `-`, `_` and `.`, or if the secret is too short.
    pub fn new(name: &str, role: Role, secret: Vec<u8>) -> Option<Key> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let is_valid =
            !name.is_empty() && name.bytes().all(is_allowed) && secret.len() >= MIN_SECRET_BYTES;
        is_valid.then(|| Key {
            name: name.to_string(),
            role,
            secret,
        })
    }

    /// Reads a key file, which has one INI section for each key, with the entries `role` and
    /// `secret` (hexadecimal).
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is invalid.
    pub fn load_all(path: &Path) -> Result<Vec<Key>, KeyError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| KeyError::Read(file.clone(), e))?;
        Key::parse_all(&file, &text)
    }

    /// Parses the text of a key file. `file` is the path of the file, for error messages.
    ///
    /// # Errors
    /// Returns an error if the text is invalid.
    pub fn parse_all(file: &str, text: &str) -> Result<Vec<Key>, KeyError> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|e| KeyError::InvalidFile(file.into(), e.to_string()))?;
        let mut keys: Vec<Key> = Vec::new();
        for (section, entries) in ini.iter() {
            let Some(name) = section else {
                if entries.is_empty() {
                    continue;
                }
                return Err(KeyError::InvalidFile(
                    file.into(),
                    "an entry precedes the first section".into(),
                ));
            };
            let section_error = |problem| KeyError::Section {
                file: file.into(),
                section: name.into(),
                problem,
            };
            let role = match entries.get("role") {
                Some("viewer") => Role::Viewer,
                Some("operator") => Role::Operator,
                _ => return Err(section_error("role must be viewer or operator")),
            };
            let secret = entries
                .get("secret")
                .and_then(|s| hex::decode(s.trim()).ok());
            let secret =
                secret.ok_or_else(|| section_error("secret is missing or not hexadecimal"))?;
            let key = Key::new(name, role, secret).ok_or_else(|| {
                section_error(
                    "the name must consist of ASCII letters, digits, '-', '_' and '.', and the \
                     secret must have at least 16 bytes",
                )
            })?;
            if keys.iter().any(|k| k.name == key.name) {
                return Err(section_error("the section occurs more than once"));
            }
            keys.push(key);
        }
        if keys.is_empty() {
            return Err(KeyError::InvalidFile(
                file.into(),
                "the file contains no keys".into(),
            ));
        }
        Ok(keys)
    }

    fn mac(&self, request: &SignedRequest<'_>) -> Hmac<Sha256> {
        let mut mac = match Hmac::<Sha256>::new_from_slice(&self.secret) {
            Ok(mac) => mac,
            // HMAC accepts keys of any length, so this arm is not reached. If it were, a MAC
            // computed with the default key would not match the MAC of any client.
            Err(_) => Hmac::<Sha256>::new(&Default::default()),
        };
        mac.update(request.canonical_text().as_bytes());
        mac
    }

    /// Returns the `Authorization` header for a request.
    pub fn sign(&self, request: &SignedRequest<'_>) -> String {
        let mac = hex::encode(self.mac(request).finalize().into_bytes());
        format!(
            "{SCHEME} key={},time={},nonce={},instance={},mac={mac}",
            self.name, request.time_ms, request.nonce, request.instance
        )
    }
}

/// The parts of a request that the MAC covers.
#[derive(Clone, Copy, Debug)]
pub struct SignedRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path including the query string.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
    /// Wall-clock time of the client, milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Random value that the client draws for this request.
    pub nonce: &'a str,
    /// Instance ID of the controller process that the request is addressed to.
    pub instance: &'a str,
}

impl SignedRequest<'_> {
    fn canonical_text(&self) -> String {
        // Each field has a line of its own and cannot contain a line break, so that different
        // requests never have the same text.
        format!(
            "{SCHEME}\n{}\n{}\n{}\n{}\n{}\n{}\n",
            self.method,
            self.path,
            self.time_ms,
            self.nonce,
            self.instance,
            hex::encode(Sha256::digest(self.body))
        )
    }
}

/// The authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Name of the key.
    pub name: String,
    /// Permissions of the key.
    pub role: Role,
}

/// Why authentication of a request failed. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// The signature is missing, the key is unknown, or the MAC does not match.
    #[error("the request carries no valid signature: use a key from the controller's key file")]
    Unauthenticated,
    /// The client's clock deviates too much from the controller's.
    #[error("the client's clock is {} s {} the controller's; at most {allowed_s} s are allowed: set the clock of the machine you type on", ahead_ms.unsigned_abs() / 1000, if *ahead_ms > 0 { "ahead of" } else { "behind" })]
    Clock {
        /// Time by which the client's clock is ahead, milliseconds; negative if it is behind.
        ahead_ms: i64,
        /// Maximum permitted clock skew, seconds.
        allowed_s: u64,
    },
    /// The same request was accepted before.
    #[error("this very request came before")]
    Replayed,
    /// The request was signed for another controller process.
    #[error("the request was signed for another process; ask /v1/hello again")]
    OtherInstance,
    /// The limit on remembered nonces is reached.
    #[error("too many requests within the time that nonces are kept")]
    TooManyRequests,
}

impl AuthError {
    /// Returns the error code of the response.
    pub fn code(&self) -> Code {
        match self {
            AuthError::Unauthenticated => Code::Unauthenticated,
            AuthError::Clock { .. } => Code::Clock,
            AuthError::Replayed => Code::Replayed,
            AuthError::OtherInstance => Code::OtherInstance,
            AuthError::TooManyRequests => Code::Busy,
        }
    }
}

/// Authenticates requests with the configured keys. Remembers the nonce of each accepted request
/// for as long as the request's time would be accepted.
#[derive(Debug)]
pub struct Authenticator {
    keys: Vec<Key>,
    instance: String,
    max_clock_skew_ms: u64,
    /// Maximum number of remembered nonces. Requests beyond the limit are refused, because a
    /// request whose nonce was forgotten could be replayed.
    max_nonces: usize,
    /// Time and truncated nonce digest of each accepted request.
    accepted_nonces: BTreeSet<(u64, [u8; 16])>,
}

impl Authenticator {
    /// Creates an authenticator. Without keys, every caller has the operator role: use this only
    /// for a listener on a loopback address.
    pub fn new(
        keys: Vec<Key>,
        instance: String,
        max_clock_skew_s: f64,
        max_nonces: usize,
    ) -> Authenticator {
        let max_clock_skew_ms = (max_clock_skew_s.max(1.0) * 1e3) as u64;
        Authenticator {
            keys,
            instance,
            max_clock_skew_ms,
            max_nonces,
            accepted_nonces: BTreeSet::new(),
        }
    }

    /// Returns the instance ID that requests must be signed for.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Authenticates a request that was received at the wall-clock time `wall_ms`.
    ///
    /// # Errors
    /// Returns the reason why the request is not accepted.
    pub fn check(
        &mut self,
        wall_ms: u64,
        authorization: Option<&str>,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Caller, AuthError> {
        if self.keys.is_empty() {
            return Ok(Caller {
                name: "loopback".into(),
                role: Role::Operator,
            });
        }
        let fields = authorization
            .and_then(parse_authorization)
            .ok_or(AuthError::Unauthenticated)?;
        let field = |name: &str| fields.get(name).copied().ok_or(AuthError::Unauthenticated);
        let request = SignedRequest {
            method,
            path,
            body,
            nonce: field("nonce")?,
            instance: field("instance")?,
            time_ms: field("time")?
                .parse()
                .map_err(|_| AuthError::Unauthenticated)?,
        };
        let caller = self.verify_mac(&request, field("key")?, field("mac")?)?;
        // Clock and instance errors are reported only to callers whose MAC is valid.
        self.check_clock(wall_ms, request.time_ms)?;
        if request.instance != self.instance {
            return Err(AuthError::OtherInstance);
        }
        self.record_nonce(wall_ms, &caller.name, &request)?;
        Ok(caller)
    }

    /// Verifies the MAC of a request with the named key.
    fn verify_mac(
        &self,
        request: &SignedRequest<'_>,
        key_name: &str,
        mac: &str,
    ) -> Result<Caller, AuthError> {
        let key = self
            .keys
            .iter()
            .find(|key| key.name == key_name)
            .ok_or(AuthError::Unauthenticated)?;
        let mac = hex::decode(mac).map_err(|_| AuthError::Unauthenticated)?;
        if !NONCE_BYTES.contains(&request.nonce.len()) {
            return Err(AuthError::Unauthenticated);
        }
        // `verify_slice` compares in constant time.
        key.mac(request)
            .verify_slice(&mac)
            .map_err(|_| AuthError::Unauthenticated)?;
        Ok(Caller {
            name: key.name.clone(),
            role: key.role,
        })
    }

    fn check_clock(&self, wall_ms: u64, time_ms: u64) -> Result<(), AuthError> {
        let ahead_ms = i128::from(time_ms) - i128::from(wall_ms);
        if ahead_ms.unsigned_abs() <= u128::from(self.max_clock_skew_ms) {
            return Ok(());
        }
        Err(AuthError::Clock {
            ahead_ms: ahead_ms.clamp(i128::from(i64::MIN), i128::from(i64::MAX)) as i64,
            allowed_s: self.max_clock_skew_ms / 1000,
        })
    }

    /// Records the nonce of a request and discards nonces whose request time would no longer be
    /// accepted. Fails if the nonce was recorded before or the limit is reached.
    fn record_nonce(
        &mut self,
        wall_ms: u64,
        key_name: &str,
        request: &SignedRequest<'_>,
    ) -> Result<(), AuthError> {
        let oldest_accepted_ms = wall_ms.saturating_sub(self.max_clock_skew_ms);
        while self
            .accepted_nonces
            .first()
            .is_some_and(|(time_ms, _)| *time_ms < oldest_accepted_ms)
        {
            self.accepted_nonces.pop_first();
        }
        let digest = Sha256::digest(format!("{key_name}\n{}", request.nonce).as_bytes());
        let mut truncated = [0u8; 16];
        truncated.copy_from_slice(&digest[..16]);
        let nonce = (request.time_ms, truncated);
        if self.accepted_nonces.contains(&nonce) {
            return Err(AuthError::Replayed);
        }
        if self.accepted_nonces.len() >= self.max_nonces {
            return Err(AuthError::TooManyRequests);
        }
        self.accepted_nonces.insert(nonce);
        Ok(())
    }
}

/// Parses the fields of an `Authorization` header. Returns `None` if the header is malformed.
fn parse_authorization(header: &str) -> Option<BTreeMap<&str, &str>> {
    let rest = header.strip_prefix(SCHEME)?.strip_prefix(' ')?;
    let mut fields = BTreeMap::new();
    for part in rest.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        // A duplicate field would make it ambiguous which value was signed.
        if fields.insert(name, value).is_some() {
            return None;
        }
    }
    Some(fields)
}

#[cfg(test)]
mod tests;
