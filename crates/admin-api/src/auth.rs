//! Authentication of requests: a MAC over method, path, body, time, a nonce and the process that
//! the request is meant for.
//!
//! The process is part of it since a nonce is remembered by one process only: a request that was
//! overheard could otherwise be replayed to another controller, or to the same one after a
//! restart.

use crate::messages::Code;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::RangeInclusive;
use std::path::Path;

/// Scheme of the `Authorization` header.
const SCHEME: &str = "BH1";
/// Shortest secret that is accepted, bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Lengths of a nonce that are accepted, bytes.
const NONCE_BYTES: RangeInclusive<usize> = 16..=64;

/// What the owner of a key may do; a greater role includes the lesser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May query.
    Viewer,
    /// May also submit, cancel, drain and freeze.
    Operator,
}

/// A named secret. Its `Debug` shows the name only: a key never gets into a log.
#[derive(Clone)]
pub struct Key {
    /// Name of the key, as it appears in logs and directives.
    pub name: String,
    /// What its owner may do.
    pub role: Role,
    secret: Vec<u8>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({}, {:?})", self.name, self.role)
    }
}

/// Why a key file is not accepted. Never shows a secret.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file cannot be read: its path, and the error.
    #[error("cannot read the key file {0}: {1}")]
    Read(String, std::io::Error),
    /// The file as a whole is not valid: its path, and the problem.
    #[error("key file {0}: {1}")]
    Form(String, String),
    /// One section is not valid.
    #[error("key file {file}, [{section}]: {problem}")]
    Section {
        /// Path of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// What is wrong.
        problem: &'static str,
    },
}

impl Key {
    /// A key; `None` where its name is not plain or its secret too short.
    pub fn new(name: &str, role: Role, secret: Vec<u8>) -> Option<Key> {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let sound = !name.is_empty() && name.bytes().all(plain) && secret.len() >= MIN_SECRET_BYTES;
        sound.then(|| Key {
            name: name.to_string(),
            role,
            secret,
        })
    }

    /// Reads a key file: one INI section for each key, with `role` and `secret` (hex).
    ///
    /// # Errors
    /// Where the file cannot be read or is not valid.
    pub fn load_all(path: &Path) -> Result<Vec<Key>, KeyError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| KeyError::Read(file.clone(), e))?;
        Key::parse_all(&file, &text)
    }

    /// Parses the text of a key file; `file` is its path, for errors.
    ///
    /// # Errors
    /// Where the text is not valid.
    pub fn parse_all(file: &str, text: &str) -> Result<Vec<Key>, KeyError> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|e| KeyError::Form(file.into(), e.to_string()))?;
        let mut keys: Vec<Key> = Vec::new();
        for (section, entries) in ini.iter() {
            let Some(name) = section else {
                if entries.is_empty() {
                    continue;
                }
                return Err(KeyError::Form(
                    file.into(),
                    "a line before the first [key]".into(),
                ));
            };
            let wrong = |problem| KeyError::Section {
                file: file.into(),
                section: name.into(),
                problem,
            };
            let role = match entries.get("role") {
                Some("viewer") => Role::Viewer,
                Some("operator") => Role::Operator,
                _ => return Err(wrong("role is neither viewer nor operator")),
            };
            let secret = entries
                .get("secret")
                .and_then(|s| hex::decode(s.trim()).ok());
            let secret = secret.ok_or_else(|| wrong("secret is not hex"))?;
            let key = Key::new(name, role, secret)
                .ok_or_else(|| wrong("its name is not plain, or the secret below 16 bytes"))?;
            if keys.iter().any(|k| k.name == key.name) {
                return Err(wrong("stands there twice"));
            }
            keys.push(key);
        }
        if keys.is_empty() {
            return Err(KeyError::Form(file.into(), "holds no key".into()));
        }
        Ok(keys)
    }

    fn mac(&self, what: &SignedRequest<'_>) -> Hmac<Sha256> {
        let mut mac = match Hmac::<Sha256>::new_from_slice(&self.secret) {
            Ok(mac) => mac,
            // This MAC accepts a key of any length; did it not, a MAC under no key would match
            // nothing that a client could have made.
            Err(_) => Hmac::<Sha256>::new(&Default::default()),
        };
        mac.update(what.text().as_bytes());
        mac
    }

    /// The `Authorization` header of a request.
    pub fn sign(&self, what: &SignedRequest<'_>) -> String {
        let mac = hex::encode(self.mac(what).finalize().into_bytes());
        format!(
            "{SCHEME} key={},time={},nonce={},instance={},mac={mac}",
            self.name, what.time_ms, what.nonce, what.instance
        )
    }
}

/// All that a MAC covers.
#[derive(Clone, Copy, Debug)]
pub struct SignedRequest<'a> {
    /// Name of the HTTP method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
    /// Time of day of the client, milliseconds.
    pub time_ms: u64,
    /// Drawn by the client for this request.
    pub nonce: &'a str,
    /// The process that the request is meant for.
    pub instance: &'a str,
}

impl SignedRequest<'_> {
    fn text(&self) -> String {
        // One field on each line, and none can hold a line break: no two requests have the
        // same text.
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

/// Who sent a request, once that is proven.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Name of the key.
    pub name: String,
    /// What the key allows.
    pub role: Role,
}

/// Why a request is not authenticated. The texts are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// No signature, an unknown key, or a MAC that does not match.
    #[error("the request carries no valid signature: use a key from the controller's key file")]
    Unauthenticated,
    /// The client's clock is too far off.
    #[error("the client's clock is {} s {} the controller's; at most {allowed_s} s are allowed: set the clock of the machine you type on", ahead_ms.unsigned_abs() / 1000, if *ahead_ms > 0 { "ahead of" } else { "behind" })]
    Clock {
        /// How far the client is ahead, milliseconds.
        ahead_ms: i64,
        /// How far it may be, seconds.
        allowed_s: u64,
    },
    /// The same request was accepted before.
    #[error("this very request came before")]
    Replayed,
    /// It was signed for another process.
    #[error("the request was signed for another process; ask /v1/hello again")]
    OtherInstance,
    /// No more nonces can be remembered.
    #[error("too many requests within the time that nonces are kept")]
    TooManyRequests,
}

impl AuthError {
    /// The code of the answer.
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

/// Checks requests against the keys, and remembers their nonces for as long as their time would
/// be accepted.
#[derive(Debug)]
pub struct Authenticator {
    keys: Vec<Key>,
    instance: String,
    max_clock_skew_ms: u64,
    /// Nonces that are remembered at most; beyond it requests are refused, since a forgotten
    /// nonce could be replayed.
    max_nonces: usize,
    /// Time and digest of the nonces of accepted requests.
    seen: BTreeSet<(u64, [u8; 16])>,
}

impl Authenticator {
    /// Without keys everybody is an operator: only for a listener on loopback.
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
            seen: BTreeSet::new(),
        }
    }

    /// The process that requests must be signed for.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Authenticates a request that was received at this time of day.
    ///
    /// # Errors
    /// Why it is not accepted.
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
            .and_then(fields)
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
        let caller = self.verify(&request, field("key")?, field("mac")?)?;
        // Only a proven caller is told of clocks and processes.
        self.check_clock(wall_ms, request.time_ms)?;
        if request.instance != self.instance {
            return Err(AuthError::OtherInstance);
        }
        self.remember(wall_ms, &caller.name, &request)?;
        Ok(caller)
    }

    /// Verifies the MAC of a request under the key of this name.
    fn verify(
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

    /// Remembers the nonce of a request, unless it is known; forgets those whose time would no
    /// longer be accepted.
    fn remember(
        &mut self,
        wall_ms: u64,
        key_name: &str,
        request: &SignedRequest<'_>,
    ) -> Result<(), AuthError> {
        let oldest = wall_ms.saturating_sub(self.max_clock_skew_ms);
        while self.seen.first().is_some_and(|(at, _)| *at < oldest) {
            self.seen.pop_first();
        }
        let digest = Sha256::digest(format!("{key_name}\n{}", request.nonce).as_bytes());
        let mut short = [0u8; 16];
        short.copy_from_slice(&digest[..16]);
        let nonce = (request.time_ms, short);
        if self.seen.contains(&nonce) {
            return Err(AuthError::Replayed);
        }
        if self.seen.len() >= self.max_nonces {
            return Err(AuthError::TooManyRequests);
        }
        self.seen.insert(nonce);
        Ok(())
    }
}

/// The fields of an `Authorization` header.
fn fields(header: &str) -> Option<BTreeMap<&str, &str>> {
    let rest = header.strip_prefix(SCHEME)?.strip_prefix(' ')?;
    let mut out = BTreeMap::new();
    for part in rest.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        // A field given twice would leave open which one was signed.
        if out.insert(name, value).is_some() {
            return None;
        }
    }
    Some(out)
}

#[cfg(test)]
mod tests;
