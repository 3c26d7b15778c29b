use super::*;

#[test]
fn never_issued_token_expires_and_former_leader_is_not_named() {
    let mut peers = PeerTable::default();
    let at = |s: f64| Time::from_micros(1_000_000_000).plus(s);
    peers.on_leader_announcement(at(0.0), "a", FencingToken(7));
    peers.on_leader_announcement(at(0.5), "b", FencingToken(5));
    assert_eq!(peers.leader(at(1.0)), Some("a"));
    peers.on_leader_announcement(at(2.0), "b", FencingToken(u64::MAX));
    peers.on_leader_announcement(at(4.0), "a", FencingToken(9));
    assert_eq!(peers.leader(at(6.0)), None);
    peers.on_leader_announcement(at(2.0 + ANNOUNCEMENT_EXPIRY_S + 0.1), "a", FencingToken(9));
    assert_eq!(peers.leader(at(3.0 + ANNOUNCEMENT_EXPIRY_S)), Some("a"));
}

/// Pins the payload of [`beamhinge_core::peers::Frame::Query`].
#[test]
fn queries_to_the_leader_keep_their_wire_form() {
    use beamhinge_admin_api::messages::Query;
    let mut golden = crate::golden::Golden::new("tests/golden/queries.hex");
    let machines = |all: bool| Query::Machines {
        machine_type: all.then(|| "g8".into()),
        zone: all.then(|| "a".into()),
        after: all.then(|| "n-000231".into()),
        limit: 150,
    };
    for (name, query) in [
        (
            "job",
            Query::Job {
                job: "job-000412".into(),
            },
        ),
        ("machines", machines(true)),
        ("all machines", machines(false)),
        ("teams", Query::Teams),
        ("splits", Query::Splits),
        ("summary", Query::Summary),
        (
            "decisions",
            Query::Decisions {
                token: 41,
                after: 70_000,
                limit: 99,
            },
        ),
    ] {
        let bytes = postcard::to_stdvec(&query).expect(name);
        assert_eq!(postcard::from_bytes::<Query>(&bytes).expect(name), query);
        golden.bytes(name, &bytes);
    }
    golden.check();
}

fn counts(jobs: std::ops::Range<u32>, done: u32) -> Vec<(JobId, TaskCounts)> {
    let id = |n| JobId::parse(&format!("job-{n}")).expect("a valid job id");
    jobs.map(|n| (id(n), TaskCounts { done, running: 1 }))
        .collect()
}

/// Adds the frames in order; returns the last list that was completed.
fn assemble(
    assembler: &mut ProgressAssembler,
    frames: Vec<Frame>,
) -> Option<BTreeMap<JobId, TaskCounts>> {
    let mut completed = None;
    for frame in frames {
        let Frame::Progress(rows) = frame else {
            panic!("expected a progress frame")
        };
        completed = assembler.add_frame(rows).or(completed);
    }
    completed
}

/// Guards against truncated lists: the progress of jobs beyond 4,000 was once dropped without a
/// warning.
#[test]
fn progress_of_more_jobs_than_a_frame_holds_is_assembled() {
    for count in [0, 1, 3_999, 4_000, 4_001, 8_000, 12_345] {
        let sent = counts(0..count, 7);
        let assembled = assemble(
            &mut ProgressAssembler::default(),
            progress_frames(sent.iter().copied()),
        );
        assert_eq!(assembled, Some(sent.into_iter().collect()));
    }
}

#[test]
fn progress_list_replaces_the_previous_one_even_if_its_last_frame_was_lost() {
    let mut assembler = ProgressAssembler::default();
    let mut incomplete = progress_frames(counts(0..9_000, 1).into_iter());
    incomplete.pop();
    assert_eq!(assemble(&mut assembler, incomplete), None);
    let sent = counts(0..5_000, 2);
    let assembled = assemble(&mut assembler, progress_frames(sent.iter().copied()));
    assert_eq!(assembled, Some(sent.into_iter().collect()));
    let few = counts(7..9, 3);
    assert_eq!(
        assemble(&mut assembler, progress_frames(few.iter().copied())),
        Some(few.into_iter().collect())
    );
}

#[test]
fn progress_list_is_limited_in_size() {
    let mut assembler = ProgressAssembler::default();
    let frames = progress_frames(counts(0..100_000, 1).into_iter());
    let assembled = assemble(&mut assembler, frames).expect("a complete list");
    assert_eq!(assembled.len(), ProgressAssembler::MAX_JOBS);
}
