//! Objects that are missing from the list after an outage of the store, and objects that are
//! removed at other times. Guards against running instances that go out of use because their
//! objects expired during the outage, and against delayed removals when there was no outage.

use {
    ffw_decide::listing::Listing,
    ffw_protocol::{
        instance::{Instance, Role, State},
        time::Moment,
    },
    std::sync::Arc,
};

fn instance(name: &str) -> Instance {
    Instance {
        name: name.into(),
        role: Role::Plain,
        data_centre: "a".into(),
        address: ([127, 0, 0, 1], 80).into(),
        pool: "p".into(),
        state: State::Live,
        capacity: 0,
    }
}

fn listing() -> (Listing, Arc<str>) {
    let key: Arc<str> = "s".into();
    let mut listing = Listing::default();
    listing.put(&key, Some(instance("s")));
    (listing, key)
}

fn has_instances(listing: &mut Listing, now_ms: u64) -> bool {
    listing.expire(Moment::from_millis(now_ms));
    !listing.instances().is_empty()
}

#[test]
fn an_object_that_expired_in_an_outage_is_kept_for_the_delay() {
    let (mut listing, _) = listing();
    listing.record_failure(Moment::from_millis(1_000));
    listing.record_success(Moment::from_millis(6_000));
    listing.retain(Moment::from_millis(6_000), |_| false);
    assert!(has_instances(&mut listing, 8_000));
    assert!(!has_instances(&mut listing, 8_200));
}

#[test]
fn an_object_that_is_written_again_after_an_outage_stays() {
    let (mut listing, key) = listing();
    listing.record_failure(Moment::from_millis(1_000));
    listing.record_success(Moment::from_millis(6_000));
    listing.retain(Moment::from_millis(6_000), |_| false);
    listing.put(&key, Some(instance("s")));
    assert!(has_instances(&mut listing, 9_000));
}

#[test]
fn a_removal_long_after_an_outage_applies_at_once() {
    let (mut listing, key) = listing();
    listing.record_failure(Moment::from_millis(1_000));
    listing.record_success(Moment::from_millis(6_000));
    listing.remove(Moment::from_millis(8_500), &key);
    assert!(!has_instances(&mut listing, 8_501));
}

#[test]
fn a_delayed_removal_is_pending_until_it_applies() {
    let (mut listing, key) = listing();
    listing.record_failure(Moment::from_millis(1_000));
    listing.record_success(Moment::from_millis(6_000));
    listing.remove(Moment::from_millis(6_100), &key);
    assert_eq!(listing.pending_removals(), [key]);
    assert!(!has_instances(&mut listing, 8_200));
    assert!(listing.pending_removals().is_empty());
}

#[test]
fn a_watch_that_was_cut_does_not_delay_removals() {
    let (mut listing, key) = listing();
    listing.record_failure(Moment::from_millis(1_000));
    listing.record_success(Moment::from_millis(1_100));
    listing.remove(Moment::from_millis(1_200), &key);
    assert!(!has_instances(&mut listing, 1_201));
}

/// A store that was restored from a copy lacks what instances have written since; they write it
/// again.
#[test]
fn an_object_that_a_restored_store_lacks_is_kept_for_the_delay() {
    let (mut listing, _) = listing();
    listing.record_restore(Moment::from_millis(6_000));
    listing.retain(Moment::from_millis(6_000), |_| false);
    assert!(has_instances(&mut listing, 8_000));
    assert!(!has_instances(&mut listing, 8_200));
}
