use super::{sparkline, table};

#[test]
fn tables_have_neither_colours_nor_trailing_spaces() {
    let text = table(&["a", "#n"], vec![vec!["x".into(), "1".into()]]);
    assert!(!text.contains('\u{1b}'));
    assert!(text.lines().all(|l| !l.ends_with(' ')), "{text:?}");
    assert_eq!(table(&["a"], Vec::new()), "none");
}

#[test]
fn sparkline_scales_to_its_highest_value() {
    assert_eq!(sparkline(&[0.0, 1.0, 2.0]), "▁▅█");
    assert_eq!(sparkline(&[0.0, 0.0]), "▁▁");
}
