//! Verification of the ledger's hash chain: segments in any order and overlapping segments are
//! valid; missing, changed and conflicting records are found.

use {
    ffw_protocol::ledger::{Event, Record, Segment, verify},
    rstest::rstest,
    std::sync::Arc,
};

fn records(count: u64) -> Vec<Record> {
    let mut previous: Arc<str> = "".into();
    let mut all = Vec::new();
    for number in 1..=count {
        let event = Event::Arrived { tokens_in: number as u32, tokens_out: 1 };
        let mut record = Record {
            number,
            at_ms: number,
            request: "entry-1.1.1".into(),
            attempt: 0,
            workspace: "a".into(),
            service: "s".into(),
            event,
            hash: "".into(),
        };
        record.hash = record.sealed_hash(&previous);
        previous = record.hash.clone();
        all.push(record);
    }
    all
}

fn segment(all: &[Record], from: usize, to: usize) -> Segment {
    let previous = from.checked_sub(2).map_or("".into(), |index| all[index].hash.clone());
    let records = all[from - 1..to].to_vec();
    Segment { instance: "entry-1".into(), incarnation: 1, previous, records }
}

#[rstest]
#[case::in_order(&[(1, 4), (5, 9)])]
#[case::out_of_order(&[(5, 9), (1, 4)])]
#[case::overlapping(&[(1, 6), (3, 9), (5, 7)])]
fn a_complete_chain_is_valid(#[case] parts: &[(usize, usize)]) {
    let all = records(9);
    let segments: Vec<Segment> = parts.iter().map(|(from, to)| segment(&all, *from, *to)).collect();
    assert_eq!(verify(&segments), Ok(9));
}

#[test]
fn a_missing_record_is_found() {
    let all = records(9);
    let broken = verify(&[segment(&all, 1, 3), segment(&all, 5, 9)]).expect_err("a gap");
    assert_eq!((broken.number, broken.what), (5, "a record is missing"));
}

#[test]
fn a_changed_record_is_found() {
    let mut whole = segment(&records(5), 1, 5);
    whole.records[2].workspace = "b".into();
    assert_eq!(verify(&[whole]).expect_err("a change").number, 3);
}

#[test]
fn two_records_with_the_same_number_are_found() {
    let all = records(5);
    let mut other = segment(&all, 3, 5);
    other.records[0].workspace = "b".into();
    other.records[0].hash = other.records[0].sealed_hash(&other.previous);
    let broken = verify(&[segment(&all, 1, 5), other]).expect_err("two histories");
    assert_eq!((broken.number, broken.what), (3, "two records have the same number"));
}
