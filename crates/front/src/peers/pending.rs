//! Questions in datagrams that wait for an answer.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Questions that wait for answers of one type, by number.
#[derive(Debug)]
pub struct Questions<T> {
    open: Mutex<HashMap<u32, oneshot::Sender<T>>>,
    /// Number of the next question.
    next: AtomicU32,
}

impl<T> Default for Questions<T> {
    fn default() -> Questions<T> {
        Questions {
            open: Mutex::default(),
            next: AtomicU32::default(),
        }
    }
}

impl<T> Questions<T> {
    /// Sends a question under the number that `send` is given, and waits for its answer.
    pub async fn ask<F: Future<Output = ()>>(
        &self,
        limit: Duration,
        send: impl FnOnce(u32) -> F,
    ) -> Option<T> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        {
            let mut open = self.open.lock();
            // A client that leaves drops its question's wait, and nothing else takes the question out.
            open.retain(|_, waiting| !waiting.is_closed());
            open.insert(number, sender);
        }
        send(number).await;
        let answer = timeout(limit, receiver).await;
        self.open.lock().remove(&number);
        answer.ok()?.ok()
    }

    /// Gives an answer to the question that waits for it.
    pub fn answered(&self, number: u32, answer: T) {
        if let Some(waiting) = self.open.lock().remove(&number) {
            // The question may have been given up a moment ago.
            let _ = waiting.send(answer);
        }
    }
}
