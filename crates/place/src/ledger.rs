//! Ledger of a hall: every order that may still take effect.
//!
//! The committed memory of an upstream is what its latest report shows plus every unresolved load in the
//! ledger. An order is resolved:
//!
//! - on a fencing upstream, by a report whose fence is at least the order's: the order has taken effect or
//!   never will;
//! - on any other upstream, by a report that shows its effect, unless the order is in doubt: such an order may
//!   take effect at any time;
//! - on both, by a report of another incarnation, because an order is sent over a connection to one process
//!   and cannot reach the next one.

use crate::fleet::{Fleet, Upstream};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use unit::engine::{Action, Fence, Order, OrderStatus, State, Weights};
use unit::{Bytes, Name};

/// Moves kept for `coveford why`.
const MAX_MOVES: usize = 200;

/// Ledger as stored in the key-value service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Term of the planner that wrote it.
    pub term: u64,
    /// Planner and number of the last write; identifies a write whose answer was lost.
    pub writer: Name,
    /// Number of the latest order.
    pub last: u64,
    /// Orders that may still take effect.
    pub open: Vec<Entry>,
    /// Latest report that resolved an order, by upstream. Older reports are ignored.
    pub seen: BTreeMap<Name, ReportId>,
    /// Latest moves, oldest first.
    pub moves: Vec<Move>,
}

/// Identity of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// Number of the report.
    pub number: u64,
}

/// Order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Upstream it is sent to.
    pub upstream: Name,
    /// The order.
    pub order: Order,
    /// Its delivery, as far as known.
    #[serde(rename = "sent")]
    pub delivery: Delivery,
}

/// Delivery of an order, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// Not acknowledged; it may be in transit or sent later.
    #[serde(rename = "Perhaps")]
    Unconfirmed,
    /// Acknowledged by the upstream.
    #[serde(rename = "Taken")]
    Accepted,
    /// Not known to be delivered, and followed by another order for the same weights or not answered in time.
    #[serde(rename = "Doubt")]
    InDoubt,
}

/// Order that was given, with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Fence of the order; identifies the move in `coveford why`.
    pub fence: Fence,
    /// Upstream it was sent to.
    pub upstream: Name,
    /// Action ordered.
    pub action: Action,
    /// Reason, as a full sentence.
    pub reason: String,
    /// Wall clock in milliseconds since 1970, for display.
    pub at_ms: u64,
}

/// Order to be reserved in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewOrder {
    /// Upstream to send it to.
    pub upstream: Name,
    /// Action to order.
    pub action: Action,
    /// Reason, as a full sentence.
    pub reason: String,
}

/// Why an order is not reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The upstream is not known.
    Unknown,
    /// An unresolved order for the same weights blocks it.
    Unresolved,
    /// The report is older than one that has resolved an order.
    StaleReport,
    /// The load would overcommit the memory of the upstream.
    InsufficientMemory {
        /// Free memory.
        free: Bytes,
        /// Memory that the load needs.
        needed: Bytes,
    },
}

impl Ledger {
    /// Begins a new term, for a planner that takes the ledger over.
    pub fn take_over(&mut self) {
        self.term += 1;
    }

    /// Removes the orders that the reports of a fleet resolve.
    pub fn resolve(&mut self, fleet: &Fleet) {
        let mut seen = Vec::new();
        let known = &self.seen;
        self.open.retain(|entry| {
            let Some(upstream) = fleet.find(&entry.upstream) else {
                return true;
            };
            if !is_current(known.get(&upstream.name), upstream) || !is_resolved(entry, upstream) {
                return true;
            }
            seen.push((upstream.name.clone(), report_id(upstream)));
            false
        });
        self.seen.extend(seen);
    }

    /// Whether an upstream's report is at least as new as the latest one that resolved an order.
    pub fn is_current(&self, upstream: &Upstream) -> bool {
        is_current(self.seen.get(&upstream.name), upstream)
    }

    /// Whether an upstream has an unresolved order that is not in doubt.
    pub fn is_open(&self, upstream: &str) -> bool {
        let fresh = |o: &&Entry| &*o.upstream == upstream && o.delivery != Delivery::InDoubt;
        self.open.iter().any(|o| fresh(&o))
    }

    /// Memory of an upstream that is used or reserved.
    pub fn committed(&self, upstream: &Upstream) -> Bytes {
        let resident: Bytes = upstream.report.resident.iter().map(|r| r.bytes).sum();
        let mut counted_weights: Vec<&Weights> = Vec::new();
        let mut bytes = Bytes(0);
        for (weights, size) in self.loads(&upstream.name) {
            let counted = upstream.find(weights).is_some() || counted_weights.contains(&weights);
            if !counted {
                counted_weights.push(weights);
                bytes += size;
            }
        }
        resident + bytes
    }

    /// Memory of an upstream that is neither used nor reserved.
    pub fn free(&self, upstream: &Upstream) -> Bytes {
        upstream
            .report
            .memory
            .saturating_sub(self.committed(upstream))
    }

    /// Unresolved loads on an upstream, with their sizes.
    fn loads<'a>(&'a self, upstream: &'a str) -> impl Iterator<Item = (&'a Weights, Bytes)> {
        let here = self.open.iter().filter(move |o| &*o.upstream == upstream);
        here.filter_map(|entry| match &entry.order.action {
            Action::Load { weights, bytes } => Some((weights, *bytes)),
            _ => None,
        })
    }

    /// Whether an unresolved order loads weights on an upstream.
    pub fn has_pending_load(&self, upstream: &str, weights: &Weights) -> bool {
        self.loads(upstream).any(|(w, _)| w == weights)
    }

    /// Whether an unresolved order unloads weights from an upstream.
    pub fn has_pending_unload(&self, upstream: &str, weights: &Weights) -> bool {
        self.open.iter().any(|entry| {
            let unload =
                matches!(&entry.order.action, Action::Unload { weights: w } if w == weights);
            unload && &*entry.upstream == upstream
        })
    }

    /// Reserves an order if it is safe. It may be sent once the ledger has been written.
    pub fn reserve(
        &mut self,
        upstream: &Upstream,
        new_order: &NewOrder,
        at_ms: u64,
    ) -> Result<Order, Denial> {
        if !self.is_current(upstream) {
            return Err(Denial::StaleReport);
        }
        if self.blocks(upstream, &new_order.action) {
            return Err(Denial::Unresolved);
        }
        if let Action::Load { weights, bytes } = &new_order.action {
            let free = self.free(upstream);
            let counted = self.has_pending_load(&upstream.name, weights);
            let bytes = *bytes;
            if !counted && bytes > free {
                return Err(Denial::InsufficientMemory {
                    free,
                    needed: bytes,
                });
            }
        }
        self.mark_in_doubt(&upstream.name, &new_order.action);
        self.last += 1;
        let order = Order {
            fence: Fence {
                term: self.term,
                number: self.last,
            },
            incarnation: upstream.report.incarnation,
            action: new_order.action.clone(),
        };
        self.open.push(Entry {
            upstream: upstream.name.clone(),
            order: order.clone(),
            delivery: Delivery::Unconfirmed,
        });
        self.moves.push(Move {
            fence: order.fence,
            upstream: upstream.name.clone(),
            action: new_order.action.clone(),
            reason: new_order.reason.clone(),
            at_ms,
        });
        let excess = self.moves.len().saturating_sub(MAX_MOVES);
        self.moves.drain(..excess);
        Ok(order)
    }

    /// Whether an unresolved order blocks another one for the same weights.
    ///
    /// On a fencing upstream every order is eventually resolved by sending it again, and a load may supersede
    /// an unload. On any other, an unconfirmed order of an earlier term may never be resolved; it does not
    /// block, stays in doubt, and keeps its memory reserved until a new incarnation reports.
    fn blocks(&self, upstream: &Upstream, action: &Action) -> bool {
        self.open.iter().any(|entry| {
            let same_subject =
                entry.upstream == upstream.name && subject(&entry.order.action) == subject(action);
            let earlier_term = entry.order.fence.term < self.term;
            let overtaken = upstream.fencing
                && matches!(entry.order.action, Action::Unload { .. })
                && matches!(action, Action::Load { .. });
            let passable = match entry.delivery {
                _ if overtaken => true,
                Delivery::Accepted => false,
                Delivery::Unconfirmed => earlier_term && !upstream.fencing,
                Delivery::InDoubt => true,
            };
            same_subject && !passable
        })
    }

    /// Marks unresolved orders for the same weights as in doubt.
    fn mark_in_doubt(&mut self, upstream: &str, action: &Action) {
        for entry in &mut self.open {
            if &*entry.upstream == upstream && subject(&entry.order.action) == subject(action) {
                entry.delivery = Delivery::InDoubt;
            }
        }
    }

    /// Records that an order was not answered; returns whether this changed the ledger.
    ///
    /// On an upstream without fencing the order is in doubt from then on. It is not sent again, because the
    /// upstream could not tell the copies apart.
    pub fn record_no_answer(&mut self, upstream: &Upstream, fence: Fence) -> bool {
        let found = self
            .open
            .iter_mut()
            .find(|o| o.upstream == upstream.name && o.order.fence == fence);
        match found {
            Some(entry) if !upstream.fencing && entry.delivery == Delivery::Unconfirmed => {
                entry.delivery = Delivery::InDoubt;
                true
            }
            _ => false,
        }
    }

    /// Records the answer to an order; returns whether this changed the ledger.
    pub fn record_answer(&mut self, upstream: &str, fence: Fence, status: OrderStatus) -> bool {
        let at = self
            .open
            .iter()
            .position(|o| &*o.upstream == upstream && o.order.fence == fence);
        let Some(at) = at else {
            return false;
        };
        match status {
            OrderStatus::Accepted => {
                let changed = self.open[at].delivery != Delivery::Accepted;
                self.open[at].delivery = Delivery::Accepted;
                changed
            }
            // An earlier copy of the order may have been carried out; only a report shows that.
            OrderStatus::Stale => false,
            // It has not been and will not be carried out.
            OrderStatus::WrongIncarnation | OrderStatus::Infeasible => {
                self.open.remove(at);
                true
            }
        }
    }
}

/// Whether a report proves that an order has no further effect.
fn is_resolved(entry: &Entry, upstream: &Upstream) -> bool {
    let report = &upstream.report;
    if report.incarnation != entry.order.incarnation {
        return true;
    }
    if upstream.fencing {
        return report.fence >= entry.order.fence;
    }
    entry.delivery != Delivery::InDoubt && shows_effect(entry, upstream)
}

/// Weights that an action loads or unloads.
fn subject(action: &Action) -> Option<&Weights> {
    match action {
        Action::Load { weights, .. } | Action::Unload { weights } => Some(weights),
        Action::SetRole { .. } => None,
    }
}

fn report_id(upstream: &Upstream) -> ReportId {
    ReportId {
        incarnation: upstream.report.incarnation,
        number: upstream.report.number,
    }
}

fn is_current(seen: Option<&ReportId>, upstream: &Upstream) -> bool {
    let now = report_id(upstream);
    seen.is_none_or(|s| s.incarnation != now.incarnation || s.number <= now.number)
}

/// Whether a report shows the effect of an order.
fn shows_effect(entry: &Entry, upstream: &Upstream) -> bool {
    match &entry.order.action {
        Action::Load { weights, .. } => {
            let found = upstream.find(weights);
            found.is_some_and(|r| r.state == State::Ready)
        }
        Action::Unload { weights } => upstream.find(weights).is_none(),
        Action::SetRole { role } => upstream.report.role == *role,
    }
}
