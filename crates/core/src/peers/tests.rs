use super::{encode, take_frame, Frame, MAX_FRAME_BYTES};
use crate::types::{JobId, MachineId};

/// Guards against frames over the size limit: the receiver rejects them and would close the
/// connection every second.
#[test]
fn list_of_maximum_length_fits_into_one_frame() {
    let longest_name = "n-123456789012345678".to_string();
    let machines = vec![longest_name.clone(); Frame::MAX_NAMES];
    let misrouted = Frame::MisroutedWorkers {
        label: "x".repeat(200),
        machines,
    };
    let rows = vec![("job-123456789012345678".to_string(), u32::MAX, u32::MAX); Frame::MAX_ROWS];
    let ended = Frame::JobsEnded {
        jobs: vec!["job-123456789012345678".into(); Frame::MAX_NAMES],
    };
    for frame in [misrouted, ended, Frame::Progress(rows)] {
        let mut bytes = encode(&frame);
        assert!(bytes.len() <= MAX_FRAME_BYTES, "{}", bytes.len());
        assert_eq!(take_frame(&mut bytes).ok().flatten(), Some(frame));
    }
}

#[test]
fn incomplete_frame_yields_none_and_complete_frame_is_decoded() {
    let frame = Frame::Progress(vec![("job-1".into(), 2, 3)]);
    let bytes = encode(&frame);
    let mut buf = Vec::new();
    for (i, b) in bytes.iter().enumerate() {
        assert!(matches!(take_frame(&mut buf), Ok(None)), "at {i}");
        buf.push(*b);
    }
    assert_eq!(take_frame(&mut buf).ok().flatten(), Some(frame));
    assert!(take_frame(&mut vec![0xff; 8]).is_err());
}

fn machines(count: u32) -> Vec<MachineId> {
    (0..count)
        .map(|n| MachineId::parse(&format!("n-{n:06}")).expect("valid machine name"))
        .collect()
}

fn jobs(count: u32) -> Vec<JobId> {
    (0..count)
        .map(|n| JobId::parse(&format!("job-{n}")).expect("valid job id"))
        .collect()
}

/// Guards against truncation: earlier, lists were cut at 4,000 machines. All names must be sent, in
/// frames within the size limit.
#[test]
fn list_over_the_limit_is_split_without_loss() {
    for count in [0, 1, 4_000, 4_001, 8_192, 8_193, 20_000] {
        let (all, ended) = (machines(count), jobs(count));
        let mut received_machines = Vec::new();
        for frame in Frame::misrouted_workers("a", &all) {
            assert!(encode(&frame).len() <= MAX_FRAME_BYTES);
            let Frame::MisroutedWorkers { label, machines } = frame else {
                panic!("unexpected frame type")
            };
            assert!(label == "a" && !machines.is_empty());
            received_machines.extend(machines.iter().filter_map(|m| MachineId::parse(m)));
        }
        assert_eq!(received_machines, all);
        let mut received_jobs = Vec::new();
        for frame in Frame::jobs_ended(&ended) {
            assert!(encode(&frame).len() <= MAX_FRAME_BYTES);
            let Frame::JobsEnded { jobs } = frame else {
                panic!("unexpected frame type")
            };
            received_jobs.extend(jobs.iter().filter_map(|j| JobId::parse(j)));
        }
        assert_eq!(received_jobs, ended);
    }
    assert_eq!(Frame::misrouted_workers("a", &machines(8_192)).len(), 1);
}

/// A list that fits into one frame is encoded as it was before lists could be split.
#[test]
fn list_within_the_limit_is_encoded_as_one_unchanged_frame() {
    let names: Vec<String> = machines(3).iter().map(MachineId::to_string).collect();
    let expected = encode(&Frame::MisroutedWorkers {
        label: "a".into(),
        machines: names,
    });
    let encoded: Vec<_> = Frame::misrouted_workers("a", &machines(3))
        .iter()
        .map(encode)
        .collect();
    assert_eq!(encoded, [expected]);
    let rows = vec![("job-1".to_string(), 2, 3)];
    let expected = encode(&Frame::Progress(rows.clone()));
    let encoded: Vec<_> = Frame::progress(rows).iter().map(encode).collect();
    assert_eq!(encoded, [expected]);
    // A leader without progress to report sends an empty list.
    assert_eq!(Frame::progress(Vec::new()), [Frame::Progress(Vec::new())]);
}

#[test]
fn progress_of_any_length_ends_with_a_frame_that_is_not_full() {
    for count in [
        0,
        1,
        Frame::MAX_ROWS - 1,
        Frame::MAX_ROWS,
        Frame::MAX_ROWS + 1,
        9_000,
    ] {
        let rows: Vec<_> = (0..count as u32)
            .map(|n| (format!("job-{n}"), n, 1))
            .collect();
        let frames = Frame::progress(rows.clone());
        let mut received_rows = Vec::new();
        for (i, frame) in frames.iter().enumerate() {
            let Frame::Progress(rows_of_frame) = frame else {
                panic!("unexpected frame type")
            };
            assert_eq!(rows_of_frame.len() < Frame::MAX_ROWS, i + 1 == frames.len());
            received_rows.extend(rows_of_frame.iter().cloned());
        }
        assert_eq!(received_rows, rows);
    }
}
