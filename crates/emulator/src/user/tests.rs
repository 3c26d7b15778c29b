use super::*;

#[test]
fn each_rule_about_answers_can_be_broken() {
    let case = |first: (u16, &str), then: (u16, &str), complete| {
        let mut told = Told {
            submitted: true,
            ..Told::default()
        };
        let (broken, _) = told.answered((1, 0), What::Submit, first.0, first.1, true);
        assert!(broken.is_empty(), "{broken:?}");
        told.answered((2, 1), What::Poll, then.0, then.1, complete)
            .0
    };
    assert_eq!(case((201, "pending"), (404, ""), true), ["forgotten"]);
    assert_eq!(case((201, "pending"), (200, "done"), false), ["not_done"]);
    assert_eq!(case((200, "done"), (200, "running"), true), ["went_back"]);
    assert_eq!(
        case((201, "pending"), (200, "cancelled"), true),
        ["went_back"]
    );
    assert!(case((201, "pending"), (200, "done"), true).is_empty());
    let mut nobody = Told::default();
    assert_eq!(
        nobody.answered((1, 0), What::Poll, 200, "done", true).0,
        ["invented"]
    );
}

/// Day meet-41-189: a poll that waited out an outage was answered a millisecond after
/// the cancellation that the same user sent to another controller meanwhile.
#[test]
fn only_what_is_asked_later_may_not_be_older() {
    for (asked, broken) in [(4, false), (5, true), (9, true)] {
        let mut told = Told {
            submitted: true,
            asked_cancel: true,
            ..Told::default()
        };
        told.answered((2, 1), What::Submit, 201, "pending", false);
        told.answered((5, 3), What::Cancel, 200, "cancelled", false);
        let (found, _) = told.answered((10, asked), What::Poll, 200, "running", false);
        assert_eq!(found == ["went_back"], broken, "{asked}");
        let (found, _) = told.answered((11, 4), What::Poll, 200, "done", true);
        assert_eq!(found, ["went_back"], "one of two ends is wrong");
        let (found, _) = told.answered((13, 12), What::Poll, 200, "running", false);
        assert_eq!(found, ["went_back"]);
    }
}
