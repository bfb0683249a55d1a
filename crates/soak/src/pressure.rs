//! Clients that ask for more places of the plain service than it has.

use crate::accounts::Caller;
use crate::client::{self, Kind, Workload};
use crate::segments;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

/// Requests that a replica of the plain service runs at once.
pub const PLACES: u32 = 6;

/// Time that such a replica works on a request.
pub const WORK: Duration = Duration::from_millis(30);

/// Number of clients.
pub const CLIENTS: u64 = 60;

/// Pause between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// Sends requests to random hosts, most of which may run only once, until the pressure ends.
pub async fn run(workload: Arc<Workload>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while workload.pressing.load(Ordering::Relaxed) {
        let kinds = [
            Kind::Single,
            Kind::Single,
            Kind::Once,
            Kind::Again,
            Kind::Stream,
        ];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let prompt = segments::prompt(&mut rng, None);
        let host = workload.host(&mut rng);
        client::send(
            &workload,
            (kind, Caller::Intermittent),
            ("m1", prompt),
            host,
            None,
        )
        .await;
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}
