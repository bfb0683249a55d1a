//! Key-value service: compare-and-swap, leases, watches.
//!
//! A write whose answer is lost may still take effect; [`Kv::compare_and_swap`] reports
//! that as [`Error::Indeterminate`], never as a refusal.

use conn::Pool;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use unit::Name;

/// Path of the service's only endpoint.
pub const PATH: &str = "/v1/kv";

/// Longest value the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest answer that is read: a full page of values.
const MAX_RESPONSE_BYTES: usize = 4 * MAX_VALUE_BYTES;

/// Longest time a watch waits on the service.
pub const MAX_WATCH: Duration = Duration::from_secs(30);

/// Call on the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum Call {
    /// Reads one value.
    Get {
        /// Its key.
        key: Name,
    },
    /// Reads all values whose keys begin so.
    List {
        /// Beginning of the keys.
        prefix: Name,
    },
    /// Writes a value if its revision is still the expected one.
    Swap {
        /// Its key.
        key: Name,
        /// Revision it must have; 0 when it must be absent.
        expected: u64,
        /// New value; none removes it.
        value: Option<Name>,
        /// Lease with which the value ends.
        lease: Option<u64>,
    },
    /// Waits until a value's revision is past the given one.
    Watch {
        /// Its key.
        key: Name,
        /// Revision already known.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Makes a lease.
    Grant {
        /// Time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Extends a lease by its time to live.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease and removes its values.
    Revoke {
        /// The lease.
        lease: u64,
    },
}

/// Value and the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Its key.
    pub key: Name,
    /// Text.
    pub value: Name,
    /// Revision of the write, from 1, growing over the whole service.
    pub revision: u64,
}

/// Answer of the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// Value of a get or watch; none when absent or unchanged.
    Value {
        /// What stands there.
        found: Option<Versioned>,
    },
    /// Values of a list.
    Values {
        /// What stands there.
        found: Vec<Versioned>,
    },
    /// A write took effect.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// A write was refused since the revision was not the expected one.
    Conflict {
        /// What stands there instead.
        found: Option<Versioned>,
    },
    /// A lease was made or extended.
    Leased {
        /// The lease.
        lease: u64,
    },
    /// The lease is unknown or has lapsed.
    Lapsed,
    /// The service refuses: over its rate, too large, or down.
    Refused {
        /// Why, for people.
        reason: String,
    },
}

/// Outcome of a compare-and-swap that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// It took effect, at that revision.
    Written(u64),
    /// It did not; this stands there.
    Conflict(Option<Versioned>),
}

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call had no effect.
    #[snafu(display("The key-value service cannot be used now: {reason}"))]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The call may have taken effect, now or later.
    #[snafu(display(
        "The key-value service gave no answer; the call may take effect yet: {reason}"
    ))]
    Indeterminate {
        /// Why.
        reason: String,
    },
    /// The lease is unknown or has lapsed.
    #[snafu(display("The lease has lapsed."))]
    Lapsed,
}

/// Count of calls by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads, lists and watches.
    pub reads: AtomicU64,
    /// Writes.
    pub writes: AtomicU64,
    /// Calls about leases.
    pub leases: AtomicU64,
}

/// Client of the service; clones share connections and counts.
#[derive(Clone)]
pub struct Kv {
    addrs: Arc<[SocketAddr]>,
    pool: Pool,
    limit: Duration,
    calls: Arc<CallCounts>,
}

/// Makes a client that gives each call `limit` to be answered.
pub fn open(addrs: &[SocketAddr], limit: Duration) -> Kv {
    Kv {
        addrs: addrs.into(),
        pool: Pool::default(),
        limit,
        calls: Arc::default(),
    }
}

impl Kv {
    /// Counts of the calls made so far.
    pub fn calls(&self) -> &CallCounts {
        &self.calls
    }

    async fn call(&self, call: &Call, limit: Duration) -> Result<Answer, Error> {
        let counter = match call {
            Call::Get { .. } | Call::List { .. } | Call::Watch { .. } => &self.calls.reads,
            Call::Swap { .. } => &self.calls.writes,
            Call::Grant { .. } | Call::Renew { .. } | Call::Revoke { .. } => &self.calls.leases,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut last = Error::Unavailable {
            reason: "no address is set".into(),
        };
        for addr in self.addrs.iter() {
            match self
                .pool
                .json(*addr, PATH, Some(call), limit, MAX_RESPONSE_BYTES)
                .await
            {
                Ok(Answer::Refused { reason }) => last = Error::Unavailable { reason },
                Ok(Answer::Lapsed) => return Err(Error::Lapsed),
                Ok(answer) => return Ok(answer),
                Err(e) if e.proves_unsent() => {
                    last = Error::Unavailable {
                        reason: e.to_string(),
                    }
                }
                Err(e) => {
                    return Err(Error::Indeterminate {
                        reason: e.to_string(),
                    });
                }
            }
        }
        Err(last)
    }

    /// Reads a value.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned>, Error> {
        let call = Call::Get { key: key.into() };
        match self.call(&call, self.limit).await? {
            Answer::Value { found } => Ok(found),
            other => Err(odd(&other)),
        }
    }

    /// Reads all values whose keys begin with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Versioned>, Error> {
        let call = Call::List {
            prefix: prefix.into(),
        };
        match self.call(&call, self.limit).await? {
            Answer::Values { found } => Ok(found),
            other => Err(odd(&other)),
        }
    }

    /// Writes a value if its revision is `expected` (0: absent).
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: Option<&str>,
        lease: Option<u64>,
    ) -> Result<SwapOutcome, Error> {
        let call = Call::Swap {
            key: key.into(),
            expected,
            value: value.map(Name::from),
            lease,
        };
        match self.call(&call, self.limit).await? {
            Answer::Written { revision } => Ok(SwapOutcome::Written(revision)),
            Answer::Conflict { found } => Ok(SwapOutcome::Conflict(found)),
            other => Err(odd(&other)),
        }
    }

    /// Waits until the value's revision is past `after`; none when it did not change.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, Error> {
        let call = Call::Watch {
            key: key.into(),
            after,
            wait_ms: wait.as_millis() as u64,
        };
        match self.call(&call, wait + self.limit).await? {
            Answer::Value { found } => Ok(found),
            other => Err(odd(&other)),
        }
    }

    /// Makes a lease.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, Error> {
        let call = Call::Grant {
            ttl_ms: ttl.as_millis() as u64,
        };
        self.leased(call).await
    }

    /// Extends a lease.
    pub async fn renew(&self, lease: u64) -> Result<u64, Error> {
        self.leased(Call::Renew { lease }).await
    }

    /// Ends a lease.
    pub async fn revoke(&self, lease: u64) -> Result<(), Error> {
        self.leased(Call::Revoke { lease }).await.map(|_| ())
    }

    async fn leased(&self, call: Call) -> Result<u64, Error> {
        match self.call(&call, self.limit).await? {
            Answer::Leased { lease } => Ok(lease),
            other => Err(odd(&other)),
        }
    }
}

fn odd(answer: &Answer) -> Error {
    Error::Indeterminate {
        reason: format!("an answer of another kind: {answer:?}"),
    }
}
