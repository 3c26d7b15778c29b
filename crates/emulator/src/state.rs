//! Stand-in for the state service: limits, leases, watches, outages.

use crate::{decode, Us, SECOND};
use beamhinge_core::http::Method;
use beamhinge_core::types::CallId;
use beamhinge_core::wire;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};

type Caller = (usize, u64, CallId);

struct Key {
    value: Value,
    revision: u64,
    lease_id: Option<u64>,
    since: Us,
}

pub struct State {
    keys: BTreeMap<String, Key>,
    rev: u64,
    history: VecDeque<(u64, String, Option<Value>)>,
    forgotten: u64,
    leases: BTreeMap<u64, (Us, Us)>,
    next_lease: u64,
    waiting: Vec<(Caller, String, u64, Us)>,
    pub down_until: Us,
    /// Writes of keys that begin so are called malformed, until then.
    pub refuses: (&'static str, Us),
    limits: (f64, f64),
    levels: (f64, f64),
    filled: Us,
    value_limit: usize,
    txn_ops: usize,
    /// What a client did wrong, for the runner to fail on.
    pub abused: Vec<String>,
    pub refused: u64,
    /// Puts and deletes that were applied.
    pub writes: u64,
    pub keep_changes: usize,
    /// Changes to be kept, where somebody keeps them: revision, key, value.
    pub applied: Vec<(u64, String, Option<Value>)>,
    pub keeps: bool,
}

fn query(path: &str, name: &str) -> Option<String> {
    let (_, q) = path.split_once('?')?;
    q.split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name)
        .map(|(_, v)| v.to_string())
}

impl State {
    pub fn new(rps: f64, write_rps: f64, value_kb: f64, txn_ops: usize) -> State {
        State {
            keys: BTreeMap::new(),
            rev: 0,
            history: VecDeque::new(),
            forgotten: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            waiting: Vec::new(),
            down_until: 0,
            refuses: ("", 0),
            limits: (rps, write_rps),
            levels: (rps, write_rps),
            filled: 0,
            value_limit: (value_kb * 1024.0) as usize,
            txn_ops,
            abused: Vec::new(),
            refused: 0,
            writes: 0,
            keep_changes: 10_000,
            applied: Vec::new(),
            keeps: false,
        }
    }

    /// A trouble that begins now; leases get their full time again after it.
    pub fn outage(&mut self, until: Us) {
        self.down_until = until;
        for (ends, life) in self.leases.values_mut() {
            *ends = until + *life;
        }
    }

    fn expire(&mut self, now: Us) {
        if now < self.down_until {
            return;
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (ends, _))| *ends < now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, k)| k.lease_id == Some(id))
                .map(|(n, _)| n.clone())
                .collect();
            if !keys.is_empty() {
                self.rev += 1;
            }
            for key in keys {
                self.keys.remove(&key);
                self.note(key, None);
            }
        }
    }

    /// What was kept from before: no lease outlives the process that granted
    /// it, so keys that hung on one were never kept.
    pub fn restore(&mut self, rev: u64, key: String, value: Option<Value>) {
        self.rev = self.rev.max(rev);
        self.forgotten = self.rev;
        match value {
            Some(value) => {
                self.keys.insert(
                    key,
                    Key {
                        value,
                        revision: rev,
                        lease_id: None,
                        since: 0,
                    },
                );
            }
            None => {
                self.keys.remove(&key);
            }
        }
    }

    /// Everything that is to be kept, for a log that begins anew.
    pub fn all(&self) -> impl Iterator<Item = (u64, &String, &Value)> {
        let kept = self.keys.iter().filter(|(_, k)| k.lease_id.is_none());
        kept.map(|(name, k)| (k.revision, name, &k.value))
    }

    pub fn rev(&self) -> u64 {
        self.rev
    }

    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|k| &k.value)
    }

    fn note(&mut self, key: String, value: Option<Value>) {
        if self.keeps {
            let leased = self.keys.get(&key).is_some_and(|k| k.lease_id.is_some());
            let kept = if leased { None } else { value.clone() };
            self.applied.push((self.rev, key.clone(), kept));
        }
        self.history.push_back((self.rev, key, value));
        while self.history.len() > self.keep_changes {
            if let Some((rev, _, _)) = self.history.pop_front() {
                self.forgotten = rev;
            }
        }
    }

    pub fn forget_jobs(&mut self, now: Us) {
        let old: Vec<String> = self
            .keys
            .iter()
            .filter(|(n, k)| n.starts_with("j/") && now > k.since + 8 * SECOND)
            .map(|(n, _)| n.clone())
            .collect();
        for key in old {
            self.keys.remove(&key);
            self.history.retain(|(_, k, _)| *k != key);
        }
    }

    fn spend(&mut self, now: Us, writes: f64) -> bool {
        let passed = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = now;
        self.levels.0 = (self.levels.0 + passed * self.limits.0).min(self.limits.0);
        self.levels.1 = (self.levels.1 + passed * self.limits.1).min(self.limits.1);
        if self.levels.0 < 1.0 || (writes > 0.0 && self.levels.1 < writes) {
            self.refused += 1;
            return false;
        }
        self.levels.0 -= 1.0;
        self.levels.1 -= writes;
        true
    }

    pub fn handle(
        &mut self,
        now: Us,
        caller: Caller,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        self.expire(now);
        let say = |status: u16, v: Value| Some((status, wire::encode(&v)));
        if now < self.down_until {
            return say(503, json!({}));
        }
        let transaction = if path == "/commit" {
            decode(body)
        } else {
            Value::Null
        };
        let then: Vec<Value> = transaction["then"].as_array().cloned().unwrap_or_default();
        if !self.spend(now, then.len() as f64) {
            return say(429, json!({}));
        }
        let bare = path.split('?').next().unwrap_or("");
        match (method, bare) {
            (Method::Post, "/commit") => self.commit(now, &transaction, &then),
            (Method::Post, "/holds") => {
                let life = decode(body)["lifeMs"].as_u64().unwrap_or(1_000) * 1_000;
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + life, life));
                say(200, json!({ "permit": self.next_lease }))
            }
            (Method::Post, p) if p.starts_with("/holds/") => {
                let id: u64 = p
                    .trim_start_matches("/holds/")
                    .trim_end_matches("/renew")
                    .parse()
                    .unwrap_or(0);
                match self.leases.get_mut(&id) {
                    Some((ends, life)) => {
                        *ends = now + *life;
                        say(200, json!({ "permit": id }))
                    }
                    None => say(404, json!({})),
                }
            }
            (Method::Delete, p) if p.starts_with("/holds/") => {
                let id: u64 = p.trim_start_matches("/holds/").parse().unwrap_or(0);
                if let Some((ends, _)) = self.leases.get_mut(&id) {
                    *ends = 0;
                }
                self.expire(now);
                say(200, json!({}))
            }
            (Method::Get, "/store") => {
                let (under, since) = (query(path, "under")?, query(path, "since"));
                let most: usize = query(path, "most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(1_000);
                let all: Vec<(&String, &Key)> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(&under) && since.as_ref().is_none_or(|s| *k > s))
                    .collect();
                let more = all.len() > most;
                let pairs: Vec<Value> = all
                    .into_iter()
                    .take(most)
                    .map(|(k, v)| json!({"path": k, "value": v.value, "stamp": v.revision}))
                    .collect();
                say(
                    200,
                    json!({"pairs": pairs, "more": more, "ledgerRev": self.rev}),
                )
            }
            (Method::Get, "/watch") => {
                let under = query(path, "under")?;
                let since: u64 = query(path, "since")?.parse().ok()?;
                let wait: u64 = query(path, "waitMs")
                    .and_then(|w| w.parse().ok())
                    .unwrap_or(0);
                if since < self.forgotten {
                    return say(410, json!({}));
                }
                match self.news(&under, since, wait == 0) {
                    Some(body) => Some((200, body)),
                    None => {
                        self.waiting
                            .push((caller, under, since, now + wait * 1_000));
                        None
                    }
                }
            }
            _ => {
                self.abused.push(format!("{} {path}", method.name()));
                say(400, json!({}))
            }
        }
    }

    fn news(&self, under: &str, since: u64, now_or_never: bool) -> Option<Vec<u8>> {
        let mut last: BTreeMap<&String, (u64, &Option<Value>)> = BTreeMap::new();
        let from = self.history.partition_point(|(rev, ..)| *rev <= since);
        for (rev, key, value) in self.history.range(from..) {
            if key.starts_with(under) {
                last.insert(key, (*rev, value));
            }
        }
        if last.is_empty() && !now_or_never {
            return None;
        }
        let news: Vec<Value> = last
            .into_iter()
            .map(|(key, (rev, value))| match value {
                Some(v) => json!({"write": key, "value": v, "stamp": rev}),
                None => json!({"delete": key, "stamp": rev}),
            })
            .collect();
        Some(wire::encode(&json!({"ledgerRev": self.rev, "news": news})))
    }

    /// Watches that can be answered, and when the next one runs out. Those of a node
    /// that is refused (`held`) wait as in an outage.
    pub fn watches(
        &mut self,
        now: Us,
        held: impl Fn(usize, &str) -> bool,
    ) -> (Vec<(Caller, Vec<u8>)>, Option<Us>) {
        self.expire(now);
        if now < self.down_until {
            return (Vec::new(), Some(self.down_until));
        }
        let mut ready = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for (caller, under, since, until) in waiting {
            if held(caller.0, &under) {
                self.waiting.push((caller, under, since, until));
                continue;
            }
            match self.news(&under, since, now >= until) {
                Some(body) => ready.push((caller, body)),
                None => self.waiting.push((caller, under, since, until)),
            }
        }
        let leases = self.leases.values().map(|(ends, _)| ends + 1_000);
        let open = self.waiting.iter().filter(|w| !held(w.0 .0, &w.1));
        let next = open.map(|w| w.3).chain(leases).min();
        (ready, next)
    }

    fn commit(&mut self, now: Us, transaction: &Value, then: &[Value]) -> Option<(u16, Vec<u8>)> {
        let say = |status: u16, v: Value| Some((status, wire::encode(&v)));
        let when: Vec<Value> = transaction["when"].as_array().cloned().unwrap_or_default();
        if then.len() > self.txn_ops
            || when.len() > 4 * self.txn_ops
            || transaction.to_string().len() > 64 * 1024
        {
            self.abused.push(format!(
                "a transaction of {} writes and {} conditions",
                then.len(),
                when.len()
            ));
            return say(400, json!({"error": "too large"}));
        }
        for t in then {
            let key = t["write"].as_str().or(t["delete"].as_str()).unwrap_or("");
            if now < self.refuses.1 && key.starts_with(self.refuses.0) {
                return say(400, json!({"error": "so it is"}));
            }
            if !when.iter().any(|w| w["path"] == key) {
                self.abused
                    .push(format!("{key} is written without a condition on it"));
            }
            if t["value"].to_string().len() > self.value_limit {
                self.abused
                    .push(format!("{key} is larger than a value may be"));
                return say(400, json!({"error": "too large"}));
            }
            if t["permit"]
                .as_u64()
                .is_some_and(|p| !self.leases.contains_key(&p))
            {
                return say(400, json!({"error": "no such lease"}));
            }
        }
        let revision = |s: &State, key: &str| s.keys.get(key).map_or(0, |k| k.revision);
        let failed: Vec<&str> = when
            .iter()
            .filter_map(|w| Some((w["path"].as_str()?, w["stamp"].as_u64()?)))
            .filter(|(k, s)| revision(self, k) != *s)
            .map(|(k, _)| k)
            .collect();
        if !failed.is_empty() {
            return say(409, json!({"failed": failed, "ledgerRev": self.rev}));
        }
        if !then.is_empty() {
            self.rev += 1;
        }
        self.writes += then.len() as u64;
        for t in then {
            if let Some(key) = t["write"].as_str() {
                let value = t["value"].clone();
                let lease_id = t["permit"].as_u64();
                let since = self.keys.get(key).map_or(now, |k| k.since);
                self.keys.insert(
                    key.to_string(),
                    Key {
                        value: value.clone(),
                        revision: self.rev,
                        lease_id,
                        since,
                    },
                );
                self.note(key.to_string(), Some(value));
            } else if let Some(key) = t["delete"].as_str() {
                self.keys.remove(key);
                self.note(key.to_string(), None);
            }
        }
        say(200, json!({"ledgerRev": self.rev}))
    }

    pub fn keys_under(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }

    /// Puts a value there as another program would have left it.
    pub fn plant(&mut self, key: &str, value: Value) {
        self.rev += 1;
        let revision = self.rev;
        self.keys.insert(
            key.to_string(),
            Key {
                value: value.clone(),
                revision,
                lease_id: None,
                since: 0,
            },
        );
        self.note(key.to_string(), Some(value));
    }
}
