//! Cutting a stream into whole events, so that a partial one is never passed on.

use bytes::{Bytes, BytesMut};

/// Longest event; a stream with a longer one is not a series of events.
const MOST_EVENT: usize = 1 << 20;

/// Bytes of a stream that do not make a whole event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

/// The stream is not a series of events.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

impl Splitter {
    /// Takes bytes in and gives back the whole events they complete, in one piece.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, TooLong> {
        let whole = match (self.rest.is_empty(), end_of_last(&bytes)) {
            // The usual case: whole events in one packet need no copy.
            (true, Some(end)) => {
                self.rest.extend_from_slice(&bytes[end..]);
                bytes.slice(..end)
            }
            _ => {
                self.rest.extend_from_slice(&bytes);
                let Some(end) = end_of_last(&self.rest) else {
                    return match self.rest.len() > MOST_EVENT {
                        true => Err(TooLong),
                        false => Ok(None),
                    };
                };
                self.rest.split_to(end).freeze()
            }
        };
        self.last = last_id(&whole).or(self.last);
        Ok(Some(whole))
    }

    /// Number of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Bytes that stand behind the last whole event; gives them up.
    pub fn take_remainder(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Whether the stream stands inside an event.
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// End of the last whole event: behind its empty line.
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
