//! Rendezvous hashing: which names stand first for a key, without agreement.

/// FNV-1a offset basis, 64 bits.
const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime, 64 bits.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash that is the same in every process and version (FNV-1a with a final mix).
pub fn hash(bytes: &[u8]) -> u64 {
    let mut state = BASIS;
    for byte in bytes {
        state ^= u64::from(*byte);
        state = state.wrapping_mul(PRIME);
    }
    mix(state)
}

/// Finalizer of SplitMix64: spreads each bit of the input over the output.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Weight of a name for a key; the highest stands first.
pub fn weight(key: u64, name: &str) -> u64 {
    mix(key ^ hash(name.as_bytes()))
}

/// The `most` names that stand first for a key, in order.
pub fn top<T: AsRef<str>>(key: u64, names: &[T], most: usize) -> Vec<&T> {
    let mut ranked: Vec<&T> = names.iter().collect();
    ranked.sort_by_key(|name| std::cmp::Reverse(weight(key, name.as_ref())));
    ranked.truncate(most);
    ranked
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn losing_a_name_moves_only_its_keys() {
        let all: Vec<String> = (0..10).map(|i| format!("host-{i}")).collect();
        let fewer: Vec<String> = all[..9].to_vec();
        for key in 0..1_000 {
            let before = top(key, &all, 1)[0];
            if before != &all[9] {
                assert_eq!(top(key, &fewer, 1)[0], before);
            }
        }
    }

    #[test]
    fn keys_spread_evenly() {
        let all: Vec<String> = (0..10).map(|i| format!("host-{i}")).collect();
        let mut counts = [0; 10];
        for key in 0..10_000 {
            let name = top(mix(key), &all, 1)[0];
            counts[all.iter().position(|n| n == name).unwrap()] += 1;
        }
        assert!(
            counts.iter().all(|c| (800..1_200).contains(c)),
            "{counts:?}"
        );
    }
}
