//! Memory for what replicas and other hosts send, counted over the whole host.
//!
//! Data whose length is not known is reserved as it grows. Once the memory is used up, the largest reservation that still
//! grows is revoked: bytes that never end give way to answers of ordinary size.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu, ensure};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::Notify;

/// Memory that reservations share.
pub struct Account {
    /// Bytes that may be reserved.
    limit: usize,
    ledger: Mutex<Ledger>,
}

#[derive(Default)]
struct Ledger {
    /// Reserved bytes. Those of a revoked reservation no longer count.
    used: usize,
    /// Reservations that still grow, by number.
    growing: HashMap<u64, Growing>,
    next: u64,
}

struct Growing {
    bytes: usize,
    revoked: Arc<Notify>,
}

/// Part of the memory; dropping it frees the part.
pub struct Reservation {
    account: Arc<Account>,
    number: u64,
    bytes: usize,
    /// Whether it grows no more.
    is_settled: bool,
    revoked: Arc<Notify>,
}

/// Complete data with its reservation.
struct Held {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

/// The memory is used up, and no reservation that still grows is larger.
#[derive(Debug, PartialEq, Eq)]
pub struct Exhausted;

pub fn open(limit: usize) -> Arc<Account> {
    Arc::new(Account {
        limit,
        ledger: Mutex::default(),
    })
}

impl Account {
    /// Opens an empty reservation.
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        let revoked = Arc::new(Notify::new());
        let mut ledger = self.ledger.lock();
        let number = ledger.next;
        ledger.next += 1;
        let growing = Growing {
            bytes: 0,
            revoked: revoked.clone(),
        };
        ledger.growing.insert(number, growing);
        Reservation {
            account: self.clone(),
            number,
            bytes: 0,
            is_settled: false,
            revoked,
        }
    }

    /// Reserved bytes.
    pub fn used(&self) -> usize {
        self.ledger.lock().used
    }
}

impl Ledger {
    /// Revokes the largest reservation that grows if it is larger than `bytes`.
    fn revoke_larger_than(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let largest = self.growing.iter().max_by_key(|(_, g)| g.bytes);
        let number = match largest {
            Some((number, growing)) if growing.bytes > bytes => *number,
            _ => return Err(Exhausted),
        };
        if let Some(growing) = self.growing.remove(&number) {
            self.used -= growing.bytes;
            growing.revoked.notify_one();
        }
        Ok(())
    }
}

impl Reservation {
    /// Changes the reservation to `bytes`. Fails if it was revoked, or if it grows, the memory is used up and no other is
    /// larger.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        // An empty reservation is never revoked.
        if bytes == 0 && self.bytes == 0 {
            return Ok(());
        }
        let mut ledger = self.account.ledger.lock();
        if !ledger.growing.contains_key(&self.number) {
            return Err(Exhausted);
        }
        let grows = bytes > self.bytes;
        while grows && ledger.used - self.bytes + bytes > self.account.limit {
            ledger.revoke_larger_than(bytes)?;
        }
        ledger.used = ledger.used - self.bytes + bytes;
        self.bytes = bytes;
        if let Some(growing) = ledger.growing.get_mut(&self.number) {
            growing.bytes = bytes;
        }
        Ok(())
    }

    /// Waits until the reservation is revoked.
    pub async fn revoked(&self) {
        self.revoked.notified().await;
    }

    /// Ends the growth: it is not revoked any more, or counts again if it just was.
    fn settle(&mut self) {
        let mut ledger = self.account.ledger.lock();
        if ledger.growing.remove(&self.number).is_none() {
            ledger.used += self.bytes;
        }
        self.is_settled = true;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut ledger = self.account.ledger.lock();
        let was_growing = ledger.growing.remove(&self.number).is_some();
        if was_growing || self.is_settled {
            ledger.used -= self.bytes;
        }
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body could not be read whole.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("it broke off: {source}"))]
    Broken { source: hyper::Error },
    #[snafu(display("it is longer than {max} bytes"))]
    TooLong { max: usize },
    #[snafu(display(
        "it was the longest of {bytes} bytes when the memory for answers was used up"
    ))]
    Exhausted { bytes: usize },
}

/// Reads a body of up to `max` bytes whole; its memory is reserved until the last reference to it is dropped.
pub async fn read(account: &Arc<Account>, mut body: Incoming, max: usize) -> Result<Bytes, Error> {
    let mut reservation = account.reserve();
    let mut bytes = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = reservation.revoked() => return ExhaustedSnafu { bytes: bytes.len() }.fail(),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        ensure!(length <= max, TooLongSnafu { max });
        if length > bytes.capacity() {
            let capacity = length.max(bytes.capacity() * 5 / 4);
            let resized = reservation.resize(capacity);
            resized.map_err(|_| ExhaustedSnafu { bytes: length }.build())?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    reservation.settle();
    Ok(Bytes::from_owner(Held {
        bytes,
        _reservation: reservation,
    }))
}
