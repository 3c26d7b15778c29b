use super::*;
use crate::store::Outcome;
use beamhinge_core::wire;

/// Begins a term with the fencing token `revision`.
fn acquire(election: &mut LeaderElection, revision: u64, now: Time) {
    let token = FencingToken(revision);
    assert_eq!(
        election.begin_term(Revision(revision), now),
        LeadershipChange::Acquired { token }
    );
}

/// Guards against claims of a token that was never issued: each report of a worker that claimed
/// a token near the maximum once ended a term.
#[test]
fn token_claim_that_was_never_issued_ends_one_term_only() {
    let text = beamhinge_core::settings::SAMPLE;
    let settings = Settings::parse("t", text).expect("the sample settings are valid");
    let mut election = LeaderElection::new(&settings, 7);
    let now = Time::from_micros(10_000_000);
    acquire(&mut election, 8, now);
    assert_eq!(election.on_token_claim(now, 8), LeadershipChange::Unchanged);
    assert_eq!(
        election.on_token_claim(now, u64::MAX - 1),
        LeadershipChange::Lost
    );
    acquire(&mut election, 12, now);
    assert_eq!(
        election.on_token_claim(now, u64::MAX - 1),
        LeadershipChange::Unchanged
    );
    assert_eq!(
        election.on_token_claim(now, u64::MAX),
        LeadershipChange::Unchanged
    );
    // A claim of a token that may have been issued still ends the term.
    assert_eq!(election.on_token_claim(now, 15), LeadershipChange::Lost);
    assert_eq!(
        election.begin_term(Revision(u64::MAX - 3), now),
        LeadershipChange::Unchanged
    );
    assert_eq!(
        election.token(),
        None,
        "attempt numbers derived from this token would overflow"
    );
    acquire(&mut election, 17, now);
    assert_eq!(
        (election.on_token_claim(now, 15), election.token()),
        (LeadershipChange::Unchanged, Some(FencingToken(17)))
    );
    assert_eq!(election.on_token_claim(now, 19), LeadershipChange::Lost);
    // A claim slightly above the token is ignored only until the store reaches that revision.
    acquire(&mut election, 18, now);
    assert_eq!(
        election.on_token_claim(now, 20),
        LeadershipChange::Unchanged
    );
    assert_eq!(election.end_term(now), LeadershipChange::Lost);
    acquire(&mut election, 23, now);
    assert_eq!(election.on_token_claim(now, 25), LeadershipChange::Lost);
}

/// A controller that stepped down and finds the block key unchanged must not begin a term with
/// its former token: attempt numbers start at the token, and transactions of the former term may
/// still be in flight. This occurs when leadership is transferred back and forth within a second.
#[test]
fn term_that_ended_is_not_resumed() {
    for fault_injected in [false, true] {
        let text = beamhinge_core::settings::SAMPLE;
        let settings = Settings::parse("t", text).expect("the sample settings are valid");
        let mut election = LeaderElection::new(&settings, 7);
        election.faults.ended_term_resumed = fault_injected;
        let now = Time::from_micros(10_000_000);
        acquire(&mut election, 8, now);
        let mut store = StoreClient::new(&settings);
        assert_eq!(election.step_down(now, &mut store), LeadershipChange::Lost);
        let read = |election: &mut LeaderElection, revision: u64| {
            let value = wire::to_value(&election.identity);
            let entry = [
                ("path", "block/0".into()),
                ("value", value),
                ("stamp", revision.into()),
            ];
            let entry = entry.map(|(k, v)| (ciborium::Value::from(k), v)).to_vec();
            let entries = ciborium::Value::Array(vec![ciborium::Value::Map(entry)]);
            let scan = [("pairs", entries), ("ledgerRev", 20u64.into())];
            let scan = scan.map(|(k, v)| (ciborium::Value::from(k), v)).to_vec();
            let outcome = Outcome::Ok(wire::encode(&ciborium::Value::Map(scan)));
            let tag = Tag::Election(ElectionCall::ReadBlock);
            election.apply_reply(
                now,
                ElectionCall::ReadBlock,
                Reply {
                    tag,
                    outcome,
                    sent_at: now,
                },
            )
        };
        let change = read(&mut election, 8);
        assert_eq!(
            change
                == LeadershipChange::Acquired {
                    token: FencingToken(8)
                },
            fault_injected
        );
        // An acquisition by this process that was committed late, with a higher revision,
        // begins a new term.
        if !fault_injected {
            assert_eq!(
                read(&mut election, 12),
                LeadershipChange::Acquired {
                    token: FencingToken(12)
                }
            );
        }
    }
}

/// `lead/now` and `block/0` have the same value.
#[test]
fn leadership_keys_keep_their_stored_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/leadership.hex");
    golden.text(
        "keys",
        &format!("{LEADERSHIP_KEY} {LEADERSHIP_PREFIX} {BLOCK_KEY} {BLOCK_PREFIX}"),
    );
    let text = beamhinge_core::settings::SAMPLE;
    let settings = Settings::parse("t", text).expect("the sample settings are valid");
    golden.stored(
        "name of a new leader",
        &LeaderElection::new(&settings, 70_000).identity,
    );
    golden.stored(
        "name",
        &ProcessIdentity {
            version: 1,
            label: "north-1".into(),
            nonce: u64::MAX - 5,
        },
    );
    golden.check();
}
