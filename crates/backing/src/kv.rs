//! Client of the key-value service: compare-and-swap, leases, watches.
//!
//! A write whose answer is lost may still take effect. [`Kv::compare_and_swap`] then returns
//! [`Error::Indeterminate`], never a conflict.

use conn::Pool;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::sleep;
use unit::Name;

/// Path of the endpoint.
pub const PATH: &str = "/v1/kv";

/// Maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum response size in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * MAX_VALUE_BYTES;

/// Pause before a read is repeated.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time that a watch waits.
pub const MAX_WATCH: Duration = Duration::from_secs(30);

/// Call to the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum Call {
    /// Reads one value.
    Get {
        /// Its key.
        key: Name,
    },
    /// Reads all values whose keys begin with a prefix.
    List {
        /// Prefix of the keys.
        prefix: Name,
    },
    /// Writes a value if its revision is the expected one.
    Swap {
        /// Its key.
        key: Name,
        /// Expected revision; 0 if the value must be absent.
        expected: u64,
        /// New value; none removes the value.
        value: Option<Name>,
        /// Lease whose end removes the value.
        lease: Option<u64>,
    },
    /// Waits until a value's revision is greater than the given one.
    Watch {
        /// Its key.
        key: Name,
        /// Revision already known.
        after: u64,
        /// Maximum wait in milliseconds.
        wait_ms: u64,
    },
    /// Grants a lease.
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

/// Value with its key and the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Its key.
    pub key: Name,
    /// Its text.
    pub value: Name,
    /// Revision of the last write; revisions start at 1 and increase over the whole service.
    pub revision: u64,
}

/// Answer of the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// Answer to a get or watch.
    Value {
        /// Value; none if it is absent or did not change.
        found: Option<Versioned>,
    },
    /// Answer to a list.
    Values {
        /// Values whose keys have the prefix.
        found: Vec<Versioned>,
    },
    /// A write took effect.
    Written {
        /// Revision of the write.
        revision: u64,
    },
    /// A write had no effect because the revision was not the expected one.
    Conflict {
        /// Current value.
        found: Option<Versioned>,
    },
    /// A lease was granted or extended.
    Leased {
        /// The lease.
        lease: u64,
    },
    /// The lease is unknown or has expired.
    Lapsed,
    /// The call is refused: over the rate limit, too large, or the service is down.
    Refused {
        /// Reason, for display.
        reason: String,
    },
}

/// Outcome of a compare-and-swap that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The write took effect at this revision.
    Written(u64),
    /// The write had no effect; this is the current value.
    Conflict(Option<Versioned>),
}

/// Failure of a call.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call had no effect.
    #[snafu(display("The key-value service is unavailable: {reason}"))]
    Unavailable {
        /// Cause.
        reason: String,
    },
    /// The call may have taken effect or may still do so.
    #[snafu(display(
        "The key-value service did not answer; the call may still take effect: {reason}"
    ))]
    Indeterminate {
        /// Cause.
        reason: String,
    },
    /// The lease is unknown or has expired.
    #[snafu(display("The lease has expired."))]
    Lapsed,
}

/// Number of calls by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Gets, lists and watches.
    pub reads: AtomicU64,
    /// Compare-and-swap writes.
    pub writes: AtomicU64,
    /// Grants, renewals and revocations of leases.
    pub leases: AtomicU64,
}

/// Client of the service. Clones share connections and counters.
#[derive(Clone)]
pub struct Kv {
    addrs: Arc<[SocketAddr]>,
    pool: Pool,
    timeout: Duration,
    /// Attempts at a read that gets no answer.
    read_attempts: u32,
    calls: Arc<CallCounts>,
}

/// Creates a client whose calls time out after `timeout`. The addresses are tried in order.
pub fn open(addrs: &[SocketAddr], timeout: Duration) -> Kv {
    Kv {
        addrs: addrs.into(),
        pool: Pool::default(),
        timeout,
        read_attempts: 1,
        calls: Arc::default(),
    }
}

impl Kv {
    /// Repeats reads that get no answer, up to `attempts` in all: unlike a write, a read has no effect.
    pub fn with_read_attempts(self, attempts: u32) -> Kv {
        Kv {
            read_attempts: attempts,
            ..self
        }
    }

    /// Numbers of calls made so far.
    pub fn calls(&self) -> &CallCounts {
        &self.calls
    }

    /// Sends a call to the first address that answers. The next one is tried only if the call is known to have
    /// had no effect.
    async fn call(&self, call: &Call, timeout: Duration) -> Result<Answer, Error> {
        let counter = match call {
            Call::Get { .. } | Call::List { .. } | Call::Watch { .. } => &self.calls.reads,
            Call::Swap { .. } => &self.calls.writes,
            Call::Grant { .. } | Call::Renew { .. } | Call::Revoke { .. } => &self.calls.leases,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut last_error = Error::Unavailable {
            reason: "no address is configured".into(),
        };
        for addr in self.addrs.iter() {
            match self
                .pool
                .json(*addr, PATH, Some(call), timeout, MAX_RESPONSE_BYTES)
                .await
            {
                Ok(Answer::Refused { reason }) => last_error = Error::Unavailable { reason },
                Ok(Answer::Lapsed) => return Err(Error::Lapsed),
                Ok(answer) => return Ok(answer),
                Err(e) if e.proves_unsent() => {
                    last_error = Error::Unavailable {
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
        Err(last_error)
    }

    /// Sends a read, and sends it again while it gets no answer.
    async fn read(&self, call: &Call) -> Result<Answer, Error> {
        for _ in 1..self.read_attempts {
            match self.call(call, self.timeout).await {
                Err(Error::Indeterminate { .. }) => sleep(READ_RETRY_INTERVAL).await,
                answered => return answered,
            }
        }
        self.call(call, self.timeout).await
    }

    /// Reads a value.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned>, Error> {
        let call = Call::Get { key: key.into() };
        match self.read(&call).await? {
            Answer::Value { found } => Ok(found),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Reads all values whose keys begin with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Versioned>, Error> {
        let call = Call::List {
            prefix: prefix.into(),
        };
        match self.read(&call).await? {
            Answer::Values { found } => Ok(found),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Writes a value if its revision is `expected`, or if it is absent and `expected` is 0. The value none
    /// removes it.
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
        match self.call(&call, self.timeout).await? {
            Answer::Written { revision } => Ok(SwapOutcome::Written(revision)),
            Answer::Conflict { found } => Ok(SwapOutcome::Conflict(found)),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Waits until the value's revision is greater than `after`; none if it did not change in time.
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
        match self.call(&call, wait + self.timeout).await? {
            Answer::Value { found } => Ok(found),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Grants a lease.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, Error> {
        let call = Call::Grant {
            ttl_ms: ttl.as_millis() as u64,
        };
        self.lease_call(call).await
    }

    /// Extends a lease by its time to live.
    pub async fn renew(&self, lease: u64) -> Result<u64, Error> {
        self.lease_call(Call::Renew { lease }).await
    }

    /// Ends a lease and removes its values.
    pub async fn revoke(&self, lease: u64) -> Result<(), Error> {
        self.lease_call(Call::Revoke { lease }).await.map(|_| ())
    }

    async fn lease_call(&self, call: Call) -> Result<u64, Error> {
        match self.call(&call, self.timeout).await? {
            Answer::Leased { lease } => Ok(lease),
            other => Err(unexpected_response(&other)),
        }
    }
}

fn unexpected_response(answer: &Answer) -> Error {
    Error::Indeterminate {
        reason: format!("unexpected answer: {answer:?}"),
    }
}
