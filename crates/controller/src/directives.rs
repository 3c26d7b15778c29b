//! Drains and freezes: the operators' will as state, under `o/`.
//!
//! Every controller keeps a copy, so that whoever leads obeys it and whoever is
//! asked can tell it. A change is one conditional write; a lost reply means
//! that the copy is read again, and the change is tried anew only if it is not
//! there. The loops that work out wanted against actual take it from here.

use crate::calls::{ReplicaCall, Tag};
use crate::replica::{Freshness, ReplicaCache, ReplicaConfig};
use crate::store::{Committed, Outcome, Priority, Reply, StoreClient};
use beamhinge_admin_api::directives::{Change, Changed, Directive, Target, VERSION};
use beamhinge_core::types::{MachineId, RequestId, Revision, Time, WallMs};
use beamhinge_core::wire;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub const PREFIX: &str = "o/";
/// Directives that may stand at once; guards memory and every scan of them.
const MOST: usize = 512;
/// Targets that are kept, lifted ones included; of these the oldest go.
const MAX_KEPT: usize = 4_096;
/// Changes that may wait here.
const WAITING_LIMIT: usize = 32;
/// How long a change may take before its operator is told to come back.
const PATIENCE_S: f64 = 3.0;

#[derive(Serialize, Deserialize)]
struct Record {
    v: u32,
    /// None: lifted. The key stays, since a key that is gone and made again has
    /// the version that it had before it was first made: a transaction that
    /// comes late would set again what was lifted meanwhile.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    directive: Option<Directive>,
}

/// What stands, as the loops use it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveDirectives {
    directives: BTreeMap<Target, Rc<Directive>>,
}

impl ActiveDirectives {
    pub fn is_empty(&self) -> bool {
        self.directives.is_empty()
    }
    pub fn len(&self) -> usize {
        self.directives.len()
    }
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Directive>> {
        self.directives.values()
    }
    fn get(&self, target: &Target) -> Option<&Rc<Directive>> {
        self.directives.get(target)
    }

    /// The drain that a machine is under; its own goes before that of its type
    /// and zone, since it says most exactly what to do with it.
    pub fn drain_of(
        &self,
        machine: MachineId,
        machine_type: &str,
        zone: &str,
    ) -> Option<&Rc<Directive>> {
        if self.is_empty() {
            return None;
        }
        self.get(&Target::Machine(machine.to_string()))
            .or_else(|| self.market(machine_type, zone))
    }

    /// The drain under which nothing is rented of a type in a zone.
    pub fn market(&self, machine_type: &str, zone: &str) -> Option<&Rc<Directive>> {
        if self.is_empty() {
            return None;
        }
        self.get(&Target::MachineType(machine_type.to_string()))
            .or_else(|| self.get(&Target::Zone(zone.to_string())))
    }

    /// The freeze that a job is under.
    pub fn freeze_of(&self, team: &str, class: &str) -> Option<&Rc<Directive>> {
        if self.is_empty() {
            return None;
        }
        self.get(&Target::Team(team.to_string()))
            .or_else(|| self.get(&Target::Class(class.to_string())))
    }

    /// Whether some controller is drained.
    pub fn any_node(&self) -> bool {
        self.directives.keys().any(|t| matches!(t, Target::Node(_)))
    }

    pub fn node_drained(&self, label: &str) -> bool {
        !self.is_empty() && self.get(&Target::Node(label.to_string())).is_some()
    }

    #[cfg(test)]
    pub fn of(directives: Vec<Directive>) -> ActiveDirectives {
        let directives = directives
            .into_iter()
            .map(|d| (d.target.clone(), Rc::new(d)))
            .collect();
        ActiveDirectives { directives }
    }
}

/// What an operator is told of his change.
#[derive(Debug, PartialEq)]
pub enum Told {
    Made(Changed),
    /// As many stand as may.
    Full,
    Busy(&'static str),
}

struct Pending {
    serial: u64,
    request: RequestId,
    change: Change,
    by: String,
    began: Time,
    /// The copy must be newer than this to decide on.
    since: Time,
    in_flight: bool,
    /// A transaction of ours may have made it.
    sent: bool,
}

pub struct Directives {
    replica: ReplicaCache,
    entries: BTreeMap<Target, (Revision, Option<Rc<Directive>>)>,
    /// Targets that the running scan has shown.
    seen: BTreeSet<Target>,
    active_directives: Rc<ActiveDirectives>,
    changed: bool,
    pending: VecDeque<Pending>,
    next: u64,
}

impl Default for Directives {
    fn default() -> Directives {
        Directives {
            replica: ReplicaCache::new(ReplicaConfig {
                prefix: PREFIX,
                tag: Tag::Directives,
                // A change ends the wait at once; a longer one costs fewer
                // requests of the shared limit.
                wait_s: 10.0,
                wait_priority: Priority::Read,
                stale_s: 30.0,
            }),
            entries: BTreeMap::new(),
            seen: BTreeSet::new(),
            active_directives: Rc::default(),
            changed: false,
            pending: VecDeque::new(),
            next: 0,
        }
    }
}

fn key(target: &Target) -> String {
    format!("{PREFIX}{}/{}", target.kind(), target.name())
}

fn target(path: &str) -> Option<Target> {
    let (kind, name) = path.strip_prefix(PREFIX)?.split_once('/')?;
    Target::parse(kind, name)
}

impl Directives {
    pub fn active_directives(&self) -> &Rc<ActiveDirectives> {
        &self.active_directives
    }
    pub fn fresh(&self) -> Option<Time> {
        self.replica.fresh()
    }
    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }
    /// Whether something stands otherwise than when last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Takes a change in; `false` when too many wait.
    #[must_use]
    pub fn change(&mut self, now: Time, request: RequestId, change: Change, by: String) -> bool {
        if self.pending.len() >= WAITING_LIMIT {
            return false;
        }
        self.next += 1;
        self.pending.push_back(Pending {
            serial: self.next,
            request,
            change,
            by,
            began: now,
            since: now,
            in_flight: false,
            sent: false,
        });
        true
    }

    pub fn tick(
        &mut self,
        now: Time,
        wall: WallMs,
        ask: bool,
        store: &mut StoreClient<Tag>,
        told: &mut Vec<(RequestId, Told)>,
    ) {
        let fresh = self.fresh();
        let decidable = |p: &Pending| fresh.is_some_and(|f| f >= p.since) && !p.in_flight;
        let waits = self.pending.iter().any(|p| !p.in_flight && !decidable(p));
        let mut left = VecDeque::new();
        while let Some(mut p) = self.pending.pop_front() {
            let late = now.since(p.began) > PATIENCE_S;
            if p.in_flight || !decidable(&p) {
                if late && !p.in_flight {
                    told.push((p.request, Told::Busy("the state service does not answer")));
                } else {
                    left.push_back(p);
                }
                continue;
            }
            let kept = self.entries.get(&p.change.target);
            let found = kept.and_then(|(_, d)| d.as_ref());
            let same = match (found, p.change.set) {
                (None, set) => !set,
                (Some(_), false) => false,
                (Some(d), true) => {
                    d.within_s == p.change.within_s && d.afterwards == p.change.afterwards
                }
            };
            let changed = Changed {
                target: p.change.target.clone(),
                set: p.change.set,
                changed: p.sent,
            };
            if same {
                told.push((p.request, Told::Made(changed)));
            } else if late {
                told.push((p.request, Told::Busy("others change it at the same time")));
            } else if p.change.set && found.is_none() && self.active_directives.len() >= MOST {
                told.push((p.request, Told::Full));
            } else {
                let revision = kept.map_or(Revision(0), |(s, _)| *s);
                let mut transaction = store.transaction();
                // A drain that is changed counts its time anew.
                let directive = p.change.set.then(|| Directive {
                    target: p.change.target.clone(),
                    since_ms: wall.0,
                    within_s: p.change.within_s,
                    afterwards: p.change.afterwards,
                    by: p.by.clone(),
                    note: p.change.note.clone(),
                });
                let value = wire::to_value(&Record {
                    v: VERSION,
                    directive,
                });
                if let Err(full) = transaction.put(key(&p.change.target), revision, value, None) {
                    tracing::error!("{:?} cannot be kept: {full}", p.change.target);
                    told.push((p.request, Told::Busy("it is longer than can be kept")));
                    continue;
                }
                if kept.is_none() && self.entries.len() >= MAX_KEPT {
                    let lifted = self.entries.iter().filter(|(_, (_, d))| d.is_none());
                    if let Some((target, (revision, _))) = lifted.min_by_key(|(_, (s, _))| *s) {
                        // Where it does not fit, the oldest goes next time.
                        let _ = transaction.delete(key(target), *revision);
                    }
                }
                p.in_flight = true;
                p.sent = true;
                store.commit(
                    now,
                    Priority::Admission,
                    Tag::DirectiveChange(p.serial),
                    transaction,
                );
                left.push_back(p);
            }
        }
        self.pending = left;
        self.replica.tick(now, ask || waits, true, store);
    }

    pub fn on_written(
        &mut self,
        now: Time,
        serial: u64,
        reply: Reply<Tag>,
        told: &mut Vec<(RequestId, Told)>,
    ) {
        let Some(at) = self.pending.iter().position(|p| p.serial == serial) else {
            return;
        };
        let committed = match reply.outcome {
            Outcome::Ok(body) => wire::decode::<Committed>(&body).is_ok(),
            Outcome::Refused | Outcome::Malformed => {
                let p = self.pending.remove(at);
                told.extend(
                    p.map(|p| (p.request, Told::Busy("the state service cannot be reached"))),
                );
                return;
            }
            // Changed by another, or of unknown fate: what stands decides.
            Outcome::Conflict(_) => {
                self.pending[at].sent = false;
                false
            }
            _ => false,
        };
        self.replica.request_refresh();
        if committed {
            if let Some(p) = self.pending.remove(at) {
                let (target, set) = (p.change.target, p.change.set);
                told.push((
                    p.request,
                    Told::Made(Changed {
                        target,
                        set,
                        changed: true,
                    }),
                ));
            }
            return;
        }
        if let Some(p) = self.pending.get_mut(at) {
            p.in_flight = false;
            p.since = now;
        }
    }

    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> Freshness {
        let update = self.replica.on_reply(now, call, reply);
        let scanning = call == ReplicaCall::Scan;
        for change in update.changes {
            let Some(target) = target(&change.path) else {
                tracing::error!("{} is no directive this program knows", change.path);
                continue;
            };
            if scanning {
                self.seen.insert(target.clone());
            }
            // A reply that overtook another must not take us back.
            if self
                .entries
                .get(&target)
                .is_some_and(|(s, _)| s.0 >= change.revision)
            {
                continue;
            }
            match change.value.as_ref().map(wire::from_value::<Record>) {
                None => {
                    self.entries.remove(&target);
                }
                Some(Ok(r))
                    if r.v == VERSION
                        && r.directive.as_ref().is_none_or(|d| d.target == target) =>
                {
                    let directive = r.directive.map(Rc::new);
                    self.entries
                        .insert(target, (Revision(change.revision), directive));
                }
                // Unknown forms lift nothing: what stood goes on standing.
                Some(_) => tracing::error!(
                    "{} has a form or version this program does not know and is left alone",
                    change.path
                ),
            }
        }
        if let Some(rev) = update.scanned {
            let seen = std::mem::take(&mut self.seen);
            self.entries
                .retain(|t, (revision, _)| seen.contains(t) || revision.0 > rev);
        } else if scanning && update.freshness == Freshness::Failed {
            self.seen.clear();
        }
        let stands = self
            .entries
            .iter()
            .filter_map(|(t, (_, d))| Some((t.clone(), d.clone()?)));
        let directives = stands.collect();
        let active_directives = ActiveDirectives { directives };
        if *self.active_directives != active_directives {
            self.active_directives = Rc::new(active_directives);
            self.changed = true;
        }
        update.freshness
    }
}

#[cfg(test)]
mod tests;
