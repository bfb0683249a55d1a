//! Connections to a hall's engines, for reports and orders.

use crate::fleet::Entry;
use futures::future::join_all;
use std::collections::HashMap;
use std::time::Duration;
use unit::engine::{Fence, Order, OrderStatus, Report};
use unit::{Name, Span, Time};
use upstream::engine::Session;

/// Time after which the last report of an unreachable upstream is dropped.
const REPORT_RETENTION: Span = Span::from_secs(10);

/// Newest report of an upstream; an earlier tick's if the upstream is unreachable.
#[derive(Clone)]
pub(super) struct LastReport {
    pub(super) report: Report,
    pub(super) unreachable: bool,
    received_at: Time,
}

/// Connections by upstream.
#[derive(Default)]
pub(super) struct Connections {
    open: HashMap<Name, Session>,
    last_reports: HashMap<Name, LastReport>,
}

impl Connections {
    /// Reads the report of each upstream.
    ///
    /// An unreachable upstream keeps its last report for [`REPORT_RETENTION`].
    pub(super) async fn read_reports(
        &mut self,
        engines: &[Entry],
        timeout: Duration,
        now: Time,
    ) -> HashMap<Name, LastReport> {
        let reads = engines.iter().map(|entry| {
            let connection = self.open.remove(&entry.host.name);
            read_report(entry, connection, timeout)
        });
        let reads: Vec<_> = reads.collect();
        for (name, answer) in join_all(reads).await {
            match answer {
                Some((connection, report)) => {
                    self.open.insert(name.clone(), connection);
                    let unreachable = false;
                    self.last_reports.insert(
                        name,
                        LastReport {
                            report,
                            unreachable,
                            received_at: now,
                        },
                    );
                }
                None => {
                    if let Some(last) = self.last_reports.get_mut(&name) {
                        last.unreachable = true;
                    }
                }
            }
        }
        self.last_reports
            .retain(|_, last| now.since(last.received_at) < REPORT_RETENTION);
        self.last_reports.clone()
    }

    /// Sends each order over the connection that its upstream's report came over.
    ///
    /// The status is `None` where no answer came.
    pub(super) async fn send(
        &mut self,
        orders: Vec<(Name, Order)>,
    ) -> Vec<(Name, Fence, Option<OrderStatus>)> {
        let mut by_upstream: HashMap<Name, Vec<Order>> = HashMap::new();
        for (name, order) in orders {
            by_upstream.entry(name).or_default().push(order);
        }
        let mut sending = Vec::new();
        for (name, orders) in by_upstream {
            let connection = self.open.remove(&name);
            sending.push(send_all(name, connection, orders));
        }
        let mut answers = Vec::new();
        for (name, connection, statuses) in join_all(sending).await {
            if let Some(connection) = connection {
                self.open.insert(name.clone(), connection);
            }
            answers.extend(
                statuses
                    .into_iter()
                    .map(|(fence, status)| (name.clone(), fence, status)),
            );
        }
        answers
    }
}

async fn read_report(
    entry: &Entry,
    connection: Option<Session>,
    timeout: Duration,
) -> (Name, Option<(Session, Report)>) {
    let name = entry.host.name.clone();
    let mut connection = match connection {
        Some(connection) => connection,
        None => match Session::open(entry.host.addr, timeout).await {
            Ok(connection) => connection,
            Err(_) => return (name, None),
        },
    };
    match connection.report().await {
        Ok(report) => (name, Some((connection, report))),
        Err(_) => (name, None),
    }
}

/// Sends orders one after another; the first one without an answer closes the connection.
async fn send_all(
    name: Name,
    mut connection: Option<Session>,
    orders: Vec<Order>,
) -> (Name, Option<Session>, Vec<(Fence, Option<OrderStatus>)>) {
    let mut answers = Vec::new();
    for order in orders {
        let Some(open) = &mut connection else {
            answers.push((order.fence, None));
            continue;
        };
        let status = open.order(&order).await.ok();
        if status.is_none() {
            connection = None;
        }
        answers.push((order.fence, status));
    }
    (name, connection, answers)
}
