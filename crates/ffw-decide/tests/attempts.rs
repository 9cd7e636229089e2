//! Guards against an answer that says *not run* for a request that a server has run or is running.
//! The model knows which attempts their server runs; attempts end in any order of sending, answer,
//! time limit and cancel.

use {
    ffw_decide::attempts::Attempts,
    ffw_protocol::error::{Error, Kind, Run},
    proptest::prelude::*,
};

/// What happens to one attempt, in the order in which the daemon learns of it.
#[derive(Clone, Copy, Debug)]
enum End {
    /// The connection fails before the first byte is sent.
    Unsent,
    /// The server states that it did not run the request.
    Refused,
    /// The server has answered with a failure.
    Failed,
    /// The connection breaks, or the caller leaves, or the time is over, after the first byte was
    /// sent; the server may run the request all the same.
    Broken { runs: bool },
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        Just(End::Unsent),
        Just(End::Refused),
        Just(End::Failed),
        any::<bool>().prop_map(|runs| End::Broken { runs }),
    ]
}

proptest! {
    #[test]
    fn not_run_is_said_only_if_no_attempt_may_have_run(
        ends in prop::collection::vec(end(), 0..8),
        kind in prop_oneof![
            Just(Kind::Timeout), Just(Kind::BackendRefused), Just(Kind::BackendFailed),
            Just(Kind::Overloaded), Just(Kind::Quarantined), Just(Kind::Draining),
        ],
        stated in prop_oneof![Just(Run::Not), Just(Run::Unknown)],
    ) {
        let attempts = Attempts::default();
        let (mut has_run, mut is_certain) = (false, true);
        for end in &ends {
            if matches!(end, End::Unsent) {
                continue;
            }
            attempts.begin();
            prop_assert!(attempts.may_have_run(), "an attempt counts from before its first byte");
            match end {
                End::Unsent => unreachable!("left out above"),
                End::Refused => attempts.prove_not_run(),
                End::Failed => (has_run, is_certain) = (true, false),
                End::Broken { runs } => {
                    has_run |= runs;
                    is_certain = false;
                }
            }
        }
        let error = attempts.qualify(Error::new(kind, "an error").run(stated));
        prop_assert!(error.run != Run::Not || !has_run, "{ends:?}");
        // What is known not to have run is said so.
        prop_assert_eq!(error.run == Run::Not, is_certain, "{:?}", ends);
    }
}
