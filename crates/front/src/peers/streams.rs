//! Passes the runs of streams on to the hosts that keep them, and asks for those of streams that began elsewhere.

use super::Peers;
use crate::message::Message;
use crate::message::streams::{MAX_RUNS, Streams};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use route::streams::Run;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use unit::Time;

/// Hosts that are asked first: those that keep the run, and one more in case the list of hosts has changed.
const FIRST_ASKED: usize = route::streams::KEEPERS + 1;

/// Time for the first hosts to answer; a host with a small part of a core may take some 50 ms.
const FIRST_TIMEOUT: Duration = Duration::from_millis(80);

/// Time for all others to answer after that.
const REST_TIMEOUT: Duration = Duration::from_millis(150);

impl Peers {
    /// Hosts that keep the runs of streams, if the fleet is too large for direct exchange.
    pub fn stream_hosts(&self, now: Time) -> Vec<SocketAddr> {
        match self.is_direct() {
            true => Vec::new(),
            false => self.inbox.stream_hosts(now),
        }
    }

    /// Sends runs that begin here to the hosts that keep them, until the daemon ends.
    pub async fn send_runs(self: Arc<Self>) {
        loop {
            self.state.streams.begun.notified().await;
            self.send_unsent_runs().await;
        }
    }

    /// Sends the runs that this host keeps to other hosts, so that they are known once it has ended.
    pub async fn hand_over_runs(&self) {
        self.state.streams.hand_over(self.state.now());
        self.send_unsent_runs().await;
    }

    async fn send_unsent_runs(&self) {
        let mut by_host: HashMap<SocketAddr, Vec<(u64, Run)>> = HashMap::new();
        for (key, run) in self.state.streams.take_unsent() {
            for host in self.state.streams.keepers(key) {
                by_host.entry(host).or_default().push((key, run.clone()));
            }
        }
        for (host, runs) in by_host {
            for runs in runs.chunks(MAX_RUNS) {
                let message = Message::Streams(Streams::Keep(runs.to_vec()));
                self.send(&message, host).await;
            }
        }
    }

    /// Handles a datagram about runs.
    pub(super) async fn handle_streams(&self, message: Streams, from: SocketAddr) {
        let (streams, now) = (&self.state.streams, self.state.now());
        match message {
            Streams::Keep(runs) => {
                for (key, run) in runs {
                    streams.record(key, run, now);
                }
            }
            Streams::Ask(number, key) => {
                let answer = Streams::Answer(number, streams.find(key, now));
                self.send(&Message::Streams(answer), from).await;
            }
            Streams::Answer(number, run) => self.runs.complete(number, run),
        }
    }

    /// Run of a client attempt by the word of other hosts, and the host that knew it.
    pub async fn find_run(&self, key: u64) -> Option<(Run, SocketAddr)> {
        let hosts = self.state.streams.ranked_hosts(key, self.state.now());
        let (first, rest) = hosts.split_at(FIRST_ASKED.min(hosts.len()));
        match self.ask_for_run(key, first, FIRST_TIMEOUT).await {
            Some(found) => Some(found),
            None => self.ask_for_run(key, rest, REST_TIMEOUT).await,
        }
    }

    /// Asks hosts at the same time; the first that knows the run ends the wait.
    async fn ask_for_run(
        &self,
        key: u64,
        hosts: &[SocketAddr],
        time_limit: Duration,
    ) -> Option<(Run, SocketAddr)> {
        let ask = |host: SocketAddr| async move {
            let send = |number| async move {
                let message = Message::Streams(Streams::Ask(number, key));
                self.send(&message, host).await;
            };
            let answer = self.runs.send(time_limit, send).await;
            Some((answer.flatten()?, host))
        };
        let mut answers: FuturesUnordered<_> = hosts.iter().map(|host| ask(*host)).collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }
}
