//! Connections to the engines of a hall, for reports and orders.

use crate::fleet::Entry;
use futures::future::join_all;
use std::collections::HashMap;
use std::time::Duration;
use unit::engine::{Fence, Order, OrderStatus, Report};
use unit::{Name, Span, Time};
use upstream::engine::Orders;

/// Time for which a silent upstream counts as still holding what it reported last.
const SILENCE: Span = Span::from_secs(10);

/// Report of an upstream, perhaps an old one.
#[derive(Clone)]
pub(super) struct Found {
    pub(super) report: Report,
    pub(super) silent: bool,
    at: Time,
}

/// Connections by upstream.
#[derive(Default)]
pub(super) struct Lines {
    open: HashMap<Name, Orders>,
    last: HashMap<Name, Found>,
}

impl Lines {
    /// Reads the report of each upstream; a silent one keeps its last for a while.
    pub(super) async fn reports(
        &mut self,
        engines: &[Entry],
        limit: Duration,
        now: Time,
    ) -> HashMap<Name, Found> {
        let asked = engines.iter().map(|entry| {
            let kept = self.open.remove(&entry.host.name);
            report(entry, kept, limit)
        });
        let asked: Vec<_> = asked.collect();
        for (name, answer) in join_all(asked).await {
            match answer {
                Some((line, report)) => {
                    self.open.insert(name.clone(), line);
                    let silent = false;
                    self.last.insert(
                        name,
                        Found {
                            report,
                            silent,
                            at: now,
                        },
                    );
                }
                None => {
                    if let Some(found) = self.last.get_mut(&name) {
                        found.silent = true;
                    }
                }
            }
        }
        self.last.retain(|_, found| now.since(found.at) < SILENCE);
        self.last.clone()
    }

    /// Sends each order over the connection its report came by; none where no answer came.
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
            let line = self.open.remove(&name);
            sending.push(send_all(name, line, orders));
        }
        let mut answers = Vec::new();
        for (name, line, given) in join_all(sending).await {
            if let Some(line) = line {
                self.open.insert(name.clone(), line);
            }
            answers.extend(given.into_iter().map(|(f, o)| (name.clone(), f, o)));
        }
        answers
    }
}

async fn report(
    entry: &Entry,
    kept: Option<Orders>,
    limit: Duration,
) -> (Name, Option<(Orders, Report)>) {
    let name = entry.host.name.clone();
    let mut line = match kept {
        Some(line) => line,
        None => match Orders::open(entry.host.addr, limit).await {
            Ok(line) => line,
            Err(_) => return (name, None),
        },
    };
    match line.report().await {
        Ok(report) => (name, Some((line, report))),
        Err(_) => (name, None),
    }
}

/// Sends orders one after another; after one without an answer the connection is given up.
async fn send_all(
    name: Name,
    mut line: Option<Orders>,
    orders: Vec<Order>,
) -> (Name, Option<Orders>, Vec<(Fence, Option<OrderStatus>)>) {
    let mut answers = Vec::new();
    for order in orders {
        let Some(open) = &mut line else {
            answers.push((order.fence, None));
            continue;
        };
        let obeyed = open.order(&order).await.ok();
        if obeyed.is_none() {
            line = None;
        }
        answers.push((order.fence, obeyed));
    }
    (name, line, answers)
}
