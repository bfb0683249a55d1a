//! Matches response datagrams to the requests that wait for them.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Requests that wait for a response of one type, by number.
#[derive(Debug)]
pub struct PendingRequests<T> {
    waiting: Mutex<HashMap<u32, oneshot::Sender<T>>>,
    next_number: AtomicU32,
}

impl<T> Default for PendingRequests<T> {
    fn default() -> PendingRequests<T> {
        PendingRequests {
            waiting: Mutex::default(),
            next_number: AtomicU32::default(),
        }
    }
}

impl<T> PendingRequests<T> {
    /// Calls `send` with a new request number and waits for the response, at most for `time_limit`.
    pub async fn send<F: Future<Output = ()>>(
        &self,
        time_limit: Duration,
        send: impl FnOnce(u32) -> F,
    ) -> Option<T> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.waiting.lock();
            // The future of an abandoned request is dropped without removing its entry.
            waiting.retain(|_, responder| !responder.is_closed());
            waiting.insert(number, sender);
        }
        send(number).await;
        let response = timeout(time_limit, receiver).await;
        self.waiting.lock().remove(&number);
        response.ok()?.ok()
    }

    /// Passes a response to the request that waits for it.
    pub fn complete(&self, number: u32, response: T) {
        if let Some(responder) = self.waiting.lock().remove(&number) {
            // The request may just have timed out.
            let _ = responder.send(response);
        }
    }
}
