//! The era that responses of the store state, and the numbers that are made from it.
//!
//! Guards against a restore of the store that is missed or seen where there was none, and against a
//! list of after a restore that counts as older than one of before.

use {
    ffw_control::era::{self, Era, Stated},
    rstest::rstest,
};

#[rstest]
#[case::none_stated(&[None, None], Stated::None)]
#[case::the_first(&[None, Some("4")], Stated::First)]
#[case::the_same(&[Some("4"), Some(" 4 ")], Stated::None)]
#[case::risen(&[Some("4"), Some("5")], Stated::Restored)]
#[case::risen_by_more(&[Some("4"), Some("9")], Stated::Restored)]
#[case::gone_back(&[Some("5"), Some("4")], Stated::Outdated)]
#[case::missing_again(&[Some("5"), None], Stated::None)]
#[case::no_number(&[Some("5"), Some("new")], Stated::None)]
#[case::negative(&[Some("5"), Some("-6")], Stated::None)]
#[case::zero(&[Some("5"), Some("0")], Stated::None)]
#[case::huge(&[Some("5"), Some("18446744073709551615")], Stated::None)]
fn the_era_that_a_response_states(#[case] stated: &[Option<&str>], #[case] expected: Stated) {
    let era = Era::default();
    let results: Vec<Stated> = stated.iter().map(|text| era.record(*text)).collect();
    assert_eq!(results.last(), Some(&expected));
}

#[test]
fn versions_increase_with_the_era_before_the_revision() {
    assert!(era::version(2, 1) > era::version(1, 1_000_000_000));
    assert!(era::version(2, 7) > era::version(2, 6));
    assert!(era::version(1, 1) > era::version(0, 1_000_000_000));
}
