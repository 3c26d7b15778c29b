//! Who sent a request: a MAC over method, path, body, time, a nonce and the
//! process it is meant for.
//!
//! The process is part of it since a nonce is remembered by one process only:
//! a request that was overheard could else be played to another controller, or
//! to this one after a restart.

use crate::messages::Code;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::Path;

const SCHEME: &str = "BH1";
/// Shortest secret that is taken, in bytes.
const MIN_SECRET_BYTES: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May ask.
    Viewer,
    /// May also submit, cancel, drain and freeze.
    Operator,
}

/// A named secret. Its `Debug` shows the name only: a key never gets into a log.
#[derive(Clone)]
pub struct Key {
    pub name: String,
    pub role: Role,
    secret: Vec<u8>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({}, {:?})", self.name, self.role)
    }
}

#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    #[error("cannot read the key file {0}: {1}")]
    Read(String, std::io::Error),
    #[error("key file {0}: {1}")]
    Form(String, String),
    #[error("key file {file}, [{section}]: {problem}")]
    Section {
        file: String,
        section: String,
        problem: &'static str,
    },
}

impl Key {
    pub fn new(name: &str, role: Role, secret: Vec<u8>) -> Option<Key> {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let sound = !name.is_empty() && name.bytes().all(plain) && secret.len() >= MIN_SECRET_BYTES;
        sound.then(|| Key {
            name: name.to_string(),
            role,
            secret,
        })
    }

    /// A key file: one INI section per key, with `role` and `secret` (hex).
    pub fn load_all(path: &Path) -> Result<Vec<Key>, KeyError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| KeyError::Read(file.clone(), e))?;
        Key::parse_all(&file, &text)
    }

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
            // Any length of key is taken by this MAC; were it not, a MAC under
            // no key would match nothing that a client could have made.
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
    pub method: &'a str,
    /// With its query.
    pub path: &'a str,
    pub body: &'a [u8],
    pub time_ms: u64,
    pub nonce: &'a str,
    pub instance: &'a str,
}

impl SignedRequest<'_> {
    fn text(&self) -> String {
        // One field a line, and none can hold a line's end: no two requests
        // have the same text.
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

/// Who a request is from, once it is proven.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    pub name: String,
    pub role: Role,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    #[error("the request carries no valid signature: use a key from the controller's key file")]
    Unauthenticated,
    #[error("the client's clock is {} s {} the controller's; at most {allowed_s} s are allowed: set the clock of the machine you type on", ahead_ms.unsigned_abs() / 1000, if *ahead_ms > 0 { "ahead of" } else { "behind" })]
    Clock { ahead_ms: i64, allowed_s: u64 },
    #[error("this very request came before")]
    Replayed,
    #[error("the request was signed for another process; ask /v1/hello again")]
    OtherInstance,
    #[error("too many requests within the time that nonces are kept")]
    TooManyRequests,
}

impl AuthError {
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

/// Checks requests against the keys, and remembers their nonces for as long as
/// their time would be accepted.
#[derive(Debug)]
pub struct Authenticator {
    keys: Vec<Key>,
    instance: String,
    allowed_ms: u64,
    /// Most nonces that are kept; a full memory refuses rather than forgets.
    most: usize,
    seen: BTreeSet<(u64, [u8; 16])>,
}

impl Authenticator {
    /// Without keys everybody is an operator: only for a door on loopback.
    pub fn new(keys: Vec<Key>, instance: String, allowed_s: f64, most: usize) -> Authenticator {
        let allowed_ms = (allowed_s.max(1.0) * 1e3) as u64;
        Authenticator {
            keys,
            instance,
            allowed_ms,
            most,
            seen: BTreeSet::new(),
        }
    }

    pub fn instance(&self) -> &str {
        &self.instance
    }

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
        let (nonce, instance) = (field("nonce")?, field("instance")?);
        let time_ms: u64 = field("time")?
            .parse()
            .map_err(|_| AuthError::Unauthenticated)?;
        let name = field("key")?;
        let key = self
            .keys
            .iter()
            .find(|k| k.name == name)
            .ok_or(AuthError::Unauthenticated)?;
        let mac = hex::decode(field("mac")?).map_err(|_| AuthError::Unauthenticated)?;
        if nonce.len() < 16 || nonce.len() > 64 {
            return Err(AuthError::Unauthenticated);
        }
        let what = SignedRequest {
            method,
            path,
            body,
            time_ms,
            nonce,
            instance,
        };
        // `verify_slice` compares in constant time.
        key.mac(&what)
            .verify_slice(&mac)
            .map_err(|_| AuthError::Unauthenticated)?;
        let caller = Caller {
            name: key.name.clone(),
            role: key.role,
        };
        // Only a proven caller is told of clocks and processes.
        let ahead_ms = time_ms as i128 - i128::from(wall_ms);
        if ahead_ms.unsigned_abs() > u128::from(self.allowed_ms) {
            let ahead_ms = ahead_ms.clamp(i128::from(i64::MIN), i128::from(i64::MAX)) as i64;
            return Err(AuthError::Clock {
                ahead_ms,
                allowed_s: self.allowed_ms / 1000,
            });
        }
        if instance != self.instance {
            return Err(AuthError::OtherInstance);
        }
        let oldest = wall_ms.saturating_sub(self.allowed_ms);
        while self.seen.first().is_some_and(|(at, _)| *at < oldest) {
            self.seen.pop_first();
        }
        let mut short = [0u8; 16];
        short.copy_from_slice(&Sha256::digest(format!("{name}\n{nonce}").as_bytes())[..16]);
        if self.seen.contains(&(time_ms, short)) {
            return Err(AuthError::Replayed);
        }
        if self.seen.len() >= self.most {
            return Err(AuthError::TooManyRequests);
        }
        self.seen.insert((time_ms, short));
        Ok(caller)
    }
}

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
mod tests {
    use super::*;

    const NOW: u64 = 1_700_000_000_000;

    fn key(role: Role) -> Key {
        Key::new("night", role, vec![7; 32]).expect("a sound key")
    }

    fn guard() -> Authenticator {
        Authenticator::new(vec![key(Role::Operator)], "i1".into(), 30.0, 100)
    }

    fn signed<'a>(nonce: &'a str, time_ms: u64) -> SignedRequest<'a> {
        let (method, path) = ("POST", "/v1/jobs?x=1");
        SignedRequest {
            method,
            path,
            body: b"{}",
            time_ms,
            nonce,
            instance: "i1",
        }
    }

    fn check(g: &mut Authenticator, header: &str) -> Result<Caller, AuthError> {
        g.check(NOW, Some(header), "POST", "/v1/jobs?x=1", b"{}")
    }

    #[test]
    fn a_signed_request_passes_once() {
        let mut g = guard();
        let header = key(Role::Operator).sign(&signed("0123456789abcdef", NOW));
        assert_eq!(check(&mut g, &header).map(|c| c.name), Ok("night".into()));
        assert_eq!(check(&mut g, &header), Err(AuthError::Replayed));
    }

    #[test]
    fn whatever_is_altered_is_refused() {
        let header = key(Role::Operator).sign(&signed("0123456789abcdef", NOW));
        let mut g = guard();
        let h = Some(header.as_str());
        for (method, path, body) in [
            ("GET", "/v1/jobs?x=1", &b"{}"[..]),
            ("POST", "/v1/jobs?x=2", b"{}"),
            ("POST", "/v1/jobs?x=1", b"{ }"),
        ] {
            assert_eq!(
                g.check(NOW, h, method, path, body),
                Err(AuthError::Unauthenticated)
            );
        }
        for (from, to) in [
            ("time=17", "time=16"),
            ("nonce=0", "nonce=1"),
            ("instance=i1", "instance=i2"),
        ] {
            let altered = header.replace(from, to);
            assert_eq!(
                check(&mut g, &altered),
                Err(AuthError::Unauthenticated),
                "{to}"
            );
        }
        for junk in [
            "",
            "BH1",
            "BH1 key",
            "BH1 key=night",
            "BH1 key=night,key=night",
            "Basic x",
        ] {
            assert_eq!(
                check(&mut g, junk),
                Err(AuthError::Unauthenticated),
                "{junk}"
            );
        }
        assert!(
            check(&mut g, &header).is_ok(),
            "and the original still passes"
        );
    }

    #[test]
    fn a_clock_ten_minutes_off_is_told_so() {
        let mut g = guard();
        let header = key(Role::Operator).sign(&signed("0123456789abcdef", NOW + 600_000));
        let denied = check(&mut g, &header).expect_err("too far ahead");
        assert_eq!(denied.code(), Code::Clock);
        assert!(denied.to_string().contains("600 s ahead of"), "{denied}");
    }

    /// A request overheard before a restart must not act after it, though the
    /// new process has never seen its nonce.
    #[test]
    fn another_process_refuses_what_was_signed_for_this_one() {
        let mut g = Authenticator::new(vec![key(Role::Operator)], "i2".into(), 30.0, 100);
        let header = key(Role::Operator).sign(&signed("0123456789abcdef", NOW));
        assert_eq!(check(&mut g, &header), Err(AuthError::OtherInstance));
    }

    #[test]
    fn a_full_memory_refuses_and_never_forgets_what_could_be_played_again() {
        let mut g = Authenticator::new(vec![key(Role::Operator)], "i1".into(), 30.0, 2);
        let sign = |n: u32| key(Role::Operator).sign(&signed(&format!("{n:016}"), NOW));
        assert!(check(&mut g, &sign(1)).is_ok() && check(&mut g, &sign(2)).is_ok());
        assert_eq!(check(&mut g, &sign(3)), Err(AuthError::TooManyRequests));
        assert_eq!(check(&mut g, &sign(1)), Err(AuthError::Replayed));
    }

    #[test]
    fn key_files_are_refused_with_the_section_at_fault_and_never_shown() {
        let good = "[night]\nrole=operator\nsecret=000102030405060708090a0b0c0d0e0f\n";
        let keys = Key::parse_all("k", good).expect("sound");
        assert_eq!(format!("{:?}", keys[0]), "Key(night, Operator)");
        for bad in [
            "",
            "[a]\nrole=king\nsecret=000102030405060708090a0b0c0d0e0f\n",
            "[a]\nrole=viewer\nsecret=0001\n",
            "[a]\nrole=viewer\nsecret=nothex\n",
            "[a]\nrole=viewer\n",
        ] {
            let error = Key::parse_all("k", bad).expect_err(bad).to_string();
            assert!(
                !error.contains("0001") && !error.contains("nothex"),
                "{error}"
            );
        }
    }
}
