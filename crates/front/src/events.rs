//! Splits a server-sent event stream at event boundaries, so that a partial event is never forwarded.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; a stream with a longer one is rejected.
const MAX_EVENT: usize = 1 << 20;

/// Buffer of the bytes after the last complete event.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last: Option<u64>,
}

/// An event exceeds the size limit.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

impl Splitter {
    /// Appends bytes and returns the events that are now complete, in one piece.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, TooLong> {
        let whole = match (self.partial.is_empty(), end_of_last(&bytes)) {
            // Fast path: complete events in one packet need no copy.
            (true, Some(end)) => {
                self.partial.extend_from_slice(&bytes[end..]);
                bytes.slice(..end)
            }
            _ => {
                // The end may lie across the border to what was searched before.
                let searched = self.partial.len().saturating_sub(LONGEST_END - 1);
                self.partial.extend_from_slice(&bytes);
                let Some(end) = end_of_last(&self.partial[searched..]) else {
                    return match self.partial.len() > MAX_EVENT {
                        true => Err(TooLong),
                        false => Ok(None),
                    };
                };
                let whole = self.partial.split_to(searched + end).freeze();
                if self.partial.is_empty() {
                    self.discard_partial();
                }
                whole
            }
        };
        self.last = last_id(&whole).or(self.last);
        Ok(Some(whole))
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Bytes of memory that are held after the last complete event.
    pub fn capacity(&self) -> usize {
        match self.is_partial() {
            true => self.partial.capacity(),
            false => 0,
        }
    }

    /// Drops the bytes after the last complete event, and their memory.
    pub fn discard_partial(&mut self) {
        self.partial = BytesMut::new();
    }

    /// Takes the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether the stream ends within an event.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Length of the longest blank line that ends an event, in bytes.
const LONGEST_END: usize = 4;

/// Offset behind the blank line that ends the last complete event.
fn end_of_last(bytes: &[u8]) -> Option<usize> {
    let newline = bytes
        .windows(2)
        .rposition(|w| w == b"\n\n")
        .map(|at| at + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    newline.max(crlf)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
