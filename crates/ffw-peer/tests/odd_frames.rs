//! Frames between daemons with any bytes, and sound frames with some bytes changed.
//!
//! Guards against a daemon that ends, or takes memory without bound, while it decodes a frame: a
//! length in it may be anything.

use {
    bincode::Options as _,
    ffw_peer::service::{PeerRequest, PeerResponse, Updates, Versions},
    ffw_protocol::config::Version,
    proptest::prelude::*,
    tarpc::{ClientMessage, Response},
};

/// Decodes the bytes as each side would; returns whether a frame was read.
fn decode(bytes: &[u8]) -> bool {
    let options = bincode::DefaultOptions::new();
    let call: Result<ClientMessage<PeerRequest>, _> = options.deserialize(bytes);
    let answer: Result<Response<PeerResponse>, _> =
        bincode::DefaultOptions::new().deserialize(bytes);
    call.is_ok() || answer.is_ok()
}

fn sound(text: &str) -> Vec<u8> {
    let version = Version {
        number: 7,
        change: "c".into(),
        author: "a".into(),
        reason: text.into(),
        at_ms: 3,
        previous: "".into(),
        declaration: text.into(),
        drained: vec!["server".into()],
    };
    let request = PeerRequest::OfferConfig { version };
    bincode::DefaultOptions::new().serialize(&request).expect("a frame")
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode(&bytes);
    }

    #[test]
    fn a_changed_frame_is_decoded_or_refused(
        text in ".{0,40}",
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = sound(&text);
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        let options = bincode::DefaultOptions::new();
        drop(options.deserialize::<PeerRequest>(&bytes));
        drop(bincode::DefaultOptions::new().deserialize::<Updates>(&bytes));
        drop(bincode::DefaultOptions::new().deserialize::<Versions>(&bytes));
        decode(&bytes);
    }

    /// A length far beyond the frame.
    #[test]
    fn a_length_beyond_the_frame_is_refused(length in 1_u64 << 20.., rest in 0..200_usize) {
        let mut bytes = vec![253];
        bytes.extend(length.to_le_bytes());
        bytes.extend(vec![b'x'; rest]);
        let text: Result<String, _> = bincode::DefaultOptions::new().deserialize(&bytes);
        prop_assert!(text.is_err());
        let items: Result<Vec<Vec<u8>>, _> = bincode::DefaultOptions::new().deserialize(&bytes);
        prop_assert!(items.is_err());
    }
}
