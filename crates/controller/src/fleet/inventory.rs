//! What machines there are: the record of rentals, the list, and those that
//! failed, never came up, vanished or fell silent.

use super::*;

/// How long nothing is recorded after a rental that could not be.
const RECORD_PAUSE_S: f64 = 5.0;

/// The fault of old: silent is dead, as long as more are heard than silent.
#[cfg(feature = "faults")]
fn hastily(
    seen: &[MachineObservation],
    dead_after_s: f64,
) -> beamhinge_failure_detection::FleetAssessment {
    let silent = |s: &&MachineObservation| s.silent_s > dead_after_s;
    let few = seen.iter().filter(silent).count() * 2 < seen.len();
    let classify = |s: &MachineObservation| {
        if few && silent(&s) {
            Liveness::Dead
        } else {
            Liveness::Alive
        }
    };
    let findings = seen.iter().map(|s| (s.id, classify(s))).collect();
    beamhinge_failure_detection::FleetAssessment {
        findings,
        ..Default::default()
    }
}

/// Names in a row, first and last of each.
fn spans(machines: impl Iterator<Item = MachineId>) -> Vec<(String, String)> {
    let mut rows: Vec<(MachineId, MachineId)> = Vec::new();
    let mut sorted: Vec<MachineId> = machines.collect();
    sorted.sort_unstable();
    for m in sorted {
        match rows.last_mut() {
            Some((_, last)) if last.next() == m => *last = m,
            _ => rows.push((m, m)),
        }
    }
    rows.into_iter()
        .map(|(a, b)| (a.to_string(), b.to_string()))
        .collect()
}

impl Term {
    /// Rental names are recorded before they are used. They begin with our
    /// token, so nobody else can ever use the same name.
    pub(super) fn keep_record(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.record_in_flight || now < self.retry_at || !self.backoff.is_due(now) {
            return;
        }
        let Some(revision) = self.record else {
            self.record_in_flight = true;
            store.scan(
                now,
                Priority::Background,
                Tag::Fleet(FleetCall::ReadRentals),
                RENTALS_PREFIX,
                None,
            );
            return;
        };
        let unrecorded = self.rentals.iter().any(|r| !r.recorded);
        if !unrecorded || self.owned.is_none() {
            return;
        }
        // Every name that is in use must stay in the record; of the new ones as
        // many as fit. The rest waits, and is not rented under until it is there.
        let (kept, new): (Vec<&Rental>, Vec<&Rental>) =
            self.rentals.iter().partition(|r| r.recorded);
        let mut take = (new.len() / self.backoff.divisor()).max(1);
        let mut listed = true;
        loop {
            let fresh = new.iter().take(take).map(|r| r.row.clone());
            let used = kept.iter().map(|r| r.row.clone());
            let lately = self.lately.iter().map(|(_, row)| row.clone());
            let rentals: Vec<RentalRow> = used.chain(fresh).chain(lately).collect();
            let written = rentals.iter().map(|r| r.name.clone()).collect();
            let mut record = RentalRecord {
                v: 1,
                rentals,
                owned: Vec::new(),
                spans: Vec::new(),
            };
            let owned = self.owned.iter().flatten().copied();
            if listed {
                record.owned = owned.map(|m| m.to_string()).collect();
            } else {
                record.spans = spans(owned);
            }
            let mut transaction = store.transaction();
            let built = transaction
                .when(crate::leader_election::BLOCK_KEY, Revision(self.token.0))
                .and_then(|()| {
                    transaction.put(RENTALS_KEY, revision, wire::to_value(&record), None)
                });
            match built {
                Ok(()) => {
                    self.written = written;
                    self.record_in_flight = true;
                    let tag = Tag::Fleet(FleetCall::WriteRentals);
                    return store.commit(now, Priority::Scheduler, tag, transaction);
                }
                Err(_) if listed => listed = false,
                Err(_) if take > 1 => take /= 2,
                Err(full) => {
                    tracing::error!("a rental does not fit into {RENTALS_KEY}: {full}");
                    return self.give_up_rentals(now);
                }
            }
        }
    }

    /// Rentals that cannot be recorded are not made; what is wanted is worked
    /// out anew, a little later.
    pub(super) fn give_up_rentals(&mut self, now: Time) {
        let before = self.rentals.len();
        self.rentals.retain(|r| r.recorded);
        let dropped = before - self.rentals.len();
        tracing::error!("{dropped} rentals could not be recorded and are given up");
        self.backoff.on_success();
        self.retry_at = now.plus(RECORD_PAUSE_S);
    }

    pub(super) fn take_list(
        &mut self,
        now: Time,
        lag_s: f64,
        list: HostList,
        machine_types: &[MachineType],
    ) {
        for row in &list.hosts {
            let Some(id) = MachineId::parse(&row.name_id) else {
                continue;
            };
            if self.released.contains_key(&id) {
                continue;
            }
            let Some(machine_type) = machine_types
                .iter()
                .position(|s| s.label == row.machine_type)
            else {
                continue;
            };
            let status = match row.status.as_str() {
                "running" => Status::Running,
                "failed" => Status::Failed,
                _ => Status::Starting,
            };
            let endpoint = row.endpoint.as_ref().and_then(|e| e.parse().ok());
            let entry = self.instances.entry(id).or_insert_with(|| Instance {
                machine_type,
                zone: row.yard.clone(),
                spot: row.loaners,
                status,
                rented: now.minus(row.held_s),
                listed: None,
                endpoint,
                owned: false,
                missing: 0,
                release: Release::No,
            });
            // The list may step back: a machine that ran does not start again.
            if !(entry.status == Status::Running && status == Status::Starting) {
                entry.status = status;
            }
            entry.endpoint = endpoint.or(entry.endpoint);
            entry.listed = Some(now);
        }
        self.list_after = if list.more {
            list.hosts.last().map(|h| h.name_id.clone())
        } else {
            None
        };
        if self.list_after.is_none() {
            self.lists += 1;
            self.list_at = now;
            // Before the first rental ever, all that is listed is the
            // operators' own.
            if self.owned.is_none() && self.record == Some(Revision(0)) {
                self.owned = Some(self.instances.keys().copied().collect());
            }
            for id in self.owned.iter().flatten() {
                if let Some(i) = self.instances.get_mut(id) {
                    i.owned = true;
                }
            }
            self.released.retain(|_, t| now.since(*t) < 120.0);
            // A list shows all that was rented before it was made, and none is
            // older than twice the lag.
            for i in self.instances.values_mut() {
                let named = i.listed.is_some_and(|at| at >= self.pass_began);
                let old = self.pass_began.since(i.rented) > lag_s * 2.0 + 2.0;
                i.missing = if named || !old { 0 } else { i.missing + 1 };
            }
        }
    }

    /// What this controller sees of each machine that was up, for the judgement
    /// of groups.
    fn seen(
        &mut self,
        now: Time,
        machine_types: &[MachineType],
        settings: &Settings,
        liveness: &LivenessView,
        scheduler: &mut Scheduler,
    ) -> Vec<MachineObservation> {
        let lease_s = settings.params.workers.lease_s;
        let dead_after_s = silence_thresholds(settings).dead_after_s;
        let mut seen = Vec::new();
        for (id, i) in &mut self.instances {
            let m = scheduler.machine(*id);
            let heard = m.and_then(|m| m.last_heartbeat);
            let (was_up, rotates_controllers) =
                (i.was_up(m), m.is_some_and(|m| m.rotates_controllers(now)));
            // It reports again: the return is called off while it can be.
            if i.release == Release::Dead
                && heard.is_some_and(|h| now.since(h) < dead_after_s / 2.0)
            {
                tracing::info!("{id} reports again and is kept");
                i.release = Release::No;
                scheduler.undrain(*id);
            }
            if i.release != Release::No {
                continue;
            }
            let boot_s = machine_types.get(i.machine_type).map_or(60.0, |s| s.boot_s);
            let from = match heard {
                Some(h) => h,
                // After a takeover, what was up and does not report to us has
                // been silent since then; it is given time to find us.
                None if was_up => scheduler.took().plus(2.0).max(i.rented.plus(boot_s)),
                None => continue,
            };
            let mut silent_s = now.since(liveness.pause_detector.silence_counts_from(from));
            // Not rented by us: given back only when it is surely dead.
            if i.owned && silent_s < lease_s * 4.0 {
                silent_s = silent_s.min(dead_after_s);
            }
            let zones = &settings.params.zones;
            seen.push(MachineObservation {
                id: *id,
                zone: zones
                    .iter()
                    .position(|z| *z == i.zone)
                    .unwrap_or(zones.len()),
                machine_type: i.machine_type,
                silent_s,
                peer_heard_age_s: liveness.peer_observations.age_s(now, *id),
                unlisted: i.missing >= 2,
                rotates_controllers,
            });
        }
        seen
    }

    /// Finds machines that failed, never came up, vanished or fell silent.
    pub(super) fn watch_machines(
        &mut self,
        now: Time,
        machine_types: &[MachineType],
        settings: &Settings,
        liveness: &LivenessView,
        scheduler: &mut Scheduler,
    ) {
        let lease_s = settings.params.workers.lease_s;
        let report_s = settings.params.workers.report_s;
        let seen = self.seen(now, machine_types, settings, liveness, scheduler);
        let look = self
            .silence_detector
            .assess(now, scheduler.overdue_s(), &seen);
        #[cfg(feature = "faults")]
        let look = if self.faults.hasty {
            hastily(&seen, silence_thresholds(settings).dead_after_s)
        } else {
            look
        };
        self.link = look.connectivity;
        self.tell_groups(settings, machine_types, look.suspected);
        let mut given_up: BTreeMap<MachineId, &'static str> = BTreeMap::new();
        self.shielded.clear();
        for (s, (id, finding)) in seen.iter().zip(&look.findings) {
            match finding {
                Liveness::Dead => {
                    given_up.insert(*id, "silent");
                }
                Liveness::Unlisted => {
                    given_up.insert(*id, "gone from the list");
                }
                Liveness::Shielded(_) | Liveness::HeardByPeer | Liveness::RemovalDeferred => {
                    let since = self
                        .silence_detector
                        .suspected_for_s(now, s.zone, s.machine_type);
                    self.shielded.insert(*id, since.unwrap_or(0.0));
                }
                Liveness::Alive | Liveness::Overdue => {}
            }
            // It reports and nothing reaches it: like one behind a broken link, it is
            // replaced by and by, and given back when that lasts.
            if let Some(unacknowledged_for_s) = scheduler
                .machine(s.id)
                .and_then(|m| m.ack_tracker.unacknowledged_for_s(now))
            {
                if unacknowledged_for_s > lease_s * 4.0
                    && !self.instances.get(id).is_some_and(|i| i.owned)
                {
                    given_up.insert(*id, "takes no answers");
                } else {
                    self.shielded.insert(*id, unacknowledged_for_s);
                }
            }
        }
        let mut out = Vec::new();
        for (id, i) in &mut self.instances {
            if i.release != Release::No {
                continue;
            }
            let age = now.since(i.rented);
            let boot = machine_types.get(i.machine_type).map_or(60.0, |s| s.boot_s);
            let m = scheduler.machine(*id);
            let never = m.and_then(|m| m.last_heartbeat).is_none();
            let why = if i.status == Status::Failed {
                "failed"
            } else if m.is_some_and(|m| m.quarantined) {
                "fails its tasks"
            } else if never
                && !i.was_up(m)
                && age > boot * 1.9 + 5.0
                && now.since(self.began) > boot * 0.5 + lease_s
            {
                "never came up"
            // Lists that came and do not name it: by time alone, a holder that
            // reached no cloud for a while gave back whatever it had not heard.
            } else if never && i.missing >= 2 {
                "vanished from the list"
            } else if let Some(why) = given_up.get(id) {
                why
            } else {
                continue;
            };
            tracing::info!("returning {id}: {why}");
            i.release = if why == "silent" {
                Release::Dead
            } else {
                Release::Wanted
            };
            out.push((*id, why));
        }
        for (id, why) in out {
            scheduler.drain(id, why);
        }
        // Strays: they report, but no list and no rental named them yet.
        let strays: Vec<(MachineId, usize, String, bool, Option<SocketAddrV4>)> = scheduler
            .machines()
            .filter(|(id, m)| {
                !self.instances.contains_key(id)
                    && !self.released.contains_key(id)
                    && m.last_heartbeat
                        .is_some_and(|h| now.since(h) < report_s * 3.0)
            })
            .filter_map(|(id, m)| {
                Some((
                    *id,
                    m.machine_type()?,
                    m.zone().to_string(),
                    m.spot,
                    m.endpoint,
                ))
            })
            .collect();
        for (id, machine_type, zone, spot, endpoint) in strays {
            self.instances.insert(
                id,
                Instance {
                    machine_type,
                    zone,
                    spot,
                    status: Status::Running,
                    rented: now,
                    listed: None,
                    endpoint,
                    owned: false,
                    missing: 0,
                    release: Release::No,
                },
            );
        }
    }

    /// One line when a group falls silent, one when it is heard again.
    fn tell_groups(
        &mut self,
        settings: &Settings,
        machine_types: &[MachineType],
        groups: Vec<(FailureDomain, f64)>,
    ) {
        let name = |g: &FailureDomain| match g {
            FailureDomain::OwnLink => "our own link".to_string(),
            FailureDomain::Zone(z) => {
                format!(
                    "zone {}",
                    settings.params.zones.get(*z).map_or("?", String::as_str)
                )
            }
            FailureDomain::MachineType(k) => {
                format!("type {}", machine_types.get(*k).map_or("?", |s| &s.label))
            }
        };
        let known =
            |list: &[(FailureDomain, f64)], g: &FailureDomain| list.iter().any(|(o, _)| o == g);
        for (g, _) in groups.iter().filter(|(g, _)| !known(&self.groups, g)) {
            tracing::warn!("silent together, taken for a broken link: {}", name(g));
        }
        for (g, s) in self.groups.iter().filter(|(g, _)| !known(&groups, g)) {
            tracing::info!("heard again after {s:.0} s: {}", name(g));
        }
        self.groups = groups;
    }
}
