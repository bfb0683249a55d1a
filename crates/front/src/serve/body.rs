//! Reading of request bodies, within the memory that the host has for them.

use super::RETRY_AFTER_DEFAULT;
use crate::respond::Rejection;
use crate::state::State;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use unit::Time;

/// Bytes that are reserved at first for a body of unknown length.
const INITIAL_CAPACITY: usize = 64 * 1_024;

/// Most bytes of a rejected request that are read after its rejection.
const MAX_DISCARDED: usize = 8 << 20;

/// Time in which a rejected request must have been read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Body that is being read; its capacity is reserved.
struct Buffer {
    bytes: Vec<u8>,
    memory: OwnedSemaphorePermit,
}

/// Reads a body of up to `max` bytes until `deadline`; returns it with its reservation of body memory, none if it is empty.
/// After a failure the rest of the body is unread.
pub(super) async fn read(
    state: &State,
    body: &mut Incoming,
    max: usize,
    deadline: Time,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Rejection> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let length = body.size_hint().exact();
    let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if length.is_some_and(|length| length > max) {
        return Err(too_large(max));
    }
    let mut buffer = open(state, length.unwrap_or(INITIAL_CAPACITY.min(max)))?;
    loop {
        let frame = match state.clock.timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(buffer.finish()),
            Ok(Some(Err(error))) => return Err(broken(&error)),
            Err(_) => return Err(late()),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.bytes.len() + data.len() > max {
            return Err(too_large(max));
        }
        buffer.push(state, &data, max)?;
    }
}

fn open(state: &State, capacity: usize) -> Result<Buffer, Rejection> {
    Ok(Buffer {
        memory: reserve(state, capacity)?,
        bytes: Vec::with_capacity(capacity),
    })
}

impl Buffer {
    /// Appends data, for which it reserves memory first.
    fn push(&mut self, state: &State, data: &[u8], max: usize) -> Result<(), Rejection> {
        let (needed, current) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if needed > current {
            let capacity = needed.max(current + current / 4).min(max);
            self.memory.merge(reserve(state, capacity - current)?);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// The body, and the reservation of its length.
    fn finish(mut self) -> (Bytes, Option<OwnedSemaphorePermit>) {
        self.bytes.shrink_to_fit();
        let excess = self
            .memory
            .num_permits()
            .saturating_sub(kb(self.bytes.len()) as usize);
        drop(self.memory.split(excess));
        (self.bytes.into(), Some(self.memory))
    }
}

/// Reserves memory for so many bytes of a body, if the host has it.
pub fn reserve(state: &State, bytes: usize) -> Result<OwnedSemaphorePermit, Rejection> {
    let memory = state.body_memory.clone().try_acquire_many_owned(kb(bytes));
    memory.map_err(|_| {
        let message = "This host holds as many request bodies as it may.";
        Rejection::not_run("bodies_full", message, RETRY_AFTER_DEFAULT)
    })
}

/// Units of body memory for so many bytes.
fn kb(bytes: usize) -> u32 {
    u32::try_from(bytes / 1_024 + 1).unwrap_or(u32::MAX)
}

/// Reads the rest of the body of a rejected request and drops it. A connection that is closed with unread bytes is reset,
/// and its client may lose the rejection.
pub(super) fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(timeout(DISCARD_TIMEOUT, async move {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED {
                return;
            }
        }
    }));
}

fn too_large(max: usize) -> Rejection {
    let message = format!("The body is longer than {max} bytes.");
    Rejection::client_error(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

fn broken(error: &hyper::Error) -> Rejection {
    let message = format!("The body broke off: {error}.");
    Rejection::client_error(StatusCode::BAD_REQUEST, "body_broken", message)
}

fn late() -> Rejection {
    let message = "The body did not come in time.";
    Rejection::client_error(StatusCode::REQUEST_TIMEOUT, "body_late", message)
}
