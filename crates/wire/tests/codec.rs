//! Any bytes are refused, any frame comes back as it was, answers fit their questions only.

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
    fn a_frame_comes_back(frame in frame()) {
        let sealed = encode(&key(1), b"", &frame).unwrap();
        prop_assert_eq!(decode(&key(1), b"", &sealed), Ok(frame));
    }

    #[test]
    fn bytes_are_refused_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode(&key(1), b"", &bytes).is_err());
    }

    #[test]
    fn a_changed_byte_is_seen(frame in frame(), at in any::<prop::sample::Index>(), by in 1u8..) {
        let mut sealed = encode(&key(1), b"", &frame).unwrap();
        let at = at.index(sealed.len());
        sealed[at] ^= by;
        prop_assert!(decode(&key(1), b"", &sealed).is_err());
    }

    #[test]
    fn another_key_or_question_does_not_open(frame in frame()) {
        let sealed = encode(&key(1), b"one question", &frame).unwrap();
        prop_assert_eq!(decode(&key(2), b"one question", &sealed), Err(Error::Unauthenticated));
        prop_assert_eq!(decode(&key(1), b"another", &sealed), Err(Error::Unauthenticated));
    }
}

#[test]
fn short_keys_are_refused() {
    assert!(Key::new(vec![1; 31]).is_none());
}
