//! Frames survive a round trip; altered, unauthenticated or arbitrary input is rejected without a panic.

use proptest::prelude::*;
use wire::{Error, Frame, Key, decode, encode};

fn key(byte: u8) -> Key {
    Key::new(vec![byte; 32]).unwrap()
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        (any::<u64>(), any::<u64>()).prop_map(|(after, wait_ms)| Frame::Follow { after, wait_ms }),
        proptest::collection::vec("\\PC{0,80}", 0..20).prop_map(|texts| Frame::Parts {
            texts: texts.into_iter().map(Into::into).collect()
        }),
        Just(Frame::GetDemand),
    ]
}

proptest! {
    #[test]
    fn frames_round_trip(frame in frame()) {
        let encoded = encode(&key(1), b"", &frame).unwrap();
        prop_assert_eq!(decode(&key(1), b"", &encoded), Ok(frame));
    }

    #[test]
    fn arbitrary_bytes_are_rejected_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode(&key(1), b"", &bytes).is_err());
    }

    #[test]
    fn a_changed_byte_is_detected(frame in frame(), at in any::<prop::sample::Index>(), by in 1u8..) {
        let mut encoded = encode(&key(1), b"", &frame).unwrap();
        let at = at.index(encoded.len());
        encoded[at] ^= by;
        prop_assert!(decode(&key(1), b"", &encoded).is_err());
    }

    #[test]
    fn another_key_or_request_fails_authentication(frame in frame()) {
        let encoded = encode(&key(1), b"one question", &frame).unwrap();
        prop_assert_eq!(decode(&key(2), b"one question", &encoded), Err(Error::Unauthenticated));
        prop_assert_eq!(decode(&key(1), b"another", &encoded), Err(Error::Unauthenticated));
    }
}

#[test]
fn short_keys_are_rejected() {
    assert!(Key::new(vec![1; 31]).is_none());
}
