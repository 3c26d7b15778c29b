use super::{OperatorSettings, PriorityAging, Settings, SAMPLE};
use crate::job::Urgency;

#[test]
fn unknown_field_is_accepted_and_invalid_value_is_named() {
    let settings = Settings::parse("t", SAMPLE).expect("the sample is valid");
    assert!(settings.serving_deadline_s() + 10.0 + 1.0 < 30.0);
    for (from, to, expected) in [
        ("lease_s = 10.0", "lease_s = 29.0", "cancel_s"),
        ("rps = 100.0", "rps = 0.0", "state.rps"),
        ("txn_ops = 16", "txn_ops = 1", "txn_ops"),
        ("label = \"a\"\n", "", "label"),
    ] {
        let text = SAMPLE.replacen(from, to, 1);
        let err = Settings::parse("t", &text).expect_err(expected).to_string();
        assert!(err.contains(expected), "{err}");
    }
}

#[test]
fn public_listener_without_keys_is_rejected() {
    let parse = |text| OperatorSettings::parse("t", text).map(|o| o.listener);
    assert!(parse("[operators]\nlisten = 0.0.0.0:7900\n").is_err());
    let with_keys = parse("[operators]\nlisten = 0.0.0.0:7900\nkeys = k.ini\n");
    assert!(with_keys.is_ok_and(|listener| listener.is_some()));
    let local = parse("[operators]\nlisten = 127.0.0.1:7900\nrps = 5\n");
    assert_eq!(
        local
            .ok()
            .flatten()
            .map(|listener| (listener.rps, listener.max_connections)),
        Some((5.0, 16))
    );
    assert_eq!(parse("[operators]\nrps = 5\n").ok().flatten(), None);
}

#[test]
fn aging_is_off_by_default() {
    assert!(!OperatorSettings::default().aging.on);
    let text = "[ageing]\non = yes\nshare = 0.1\nceiling = standard\n";
    let aging = OperatorSettings::parse("t", text)
        .map(|o| o.aging)
        .expect("valid settings");
    assert_eq!(
        (aging.on, aging.share, aging.ceiling),
        (true, 0.1, Urgency::Standard)
    );
    let shipped = include_str!("../../../../deploy/ageing.ini");
    let shipped = OperatorSettings::parse("ageing.ini", shipped).map(|o| o.aging);
    assert_eq!(
        shipped.ok(),
        Some(PriorityAging {
            on: true,
            ..PriorityAging::default()
        })
    );
    for invalid in [
        "on = maybe",
        "share = 0",
        "ceiling = best_effort",
        "stops = -1",
    ] {
        let err = OperatorSettings::parse("t", &format!("[ageing]\n{invalid}\n"));
        assert!(err.expect_err(invalid).to_string().contains("[ageing]"));
    }
}

#[test]
fn invalid_operator_setting_is_named_with_section_and_key() {
    assert_eq!(
        OperatorSettings::parse("t", "[fleet]\nidle_s = 5\n")
            .map(|o| o.idle_s)
            .ok(),
        Some(5.0)
    );
    for text in [
        "[fleet]\nidle_s = -1\n",
        "[fleet]\nidle_s = soon\n",
        "[fleet]\nidel_s = 3\n",
    ] {
        let err = OperatorSettings::parse("t", text)
            .expect_err(text)
            .to_string();
        assert!(err.contains("[fleet] id"), "{err}");
    }
}
