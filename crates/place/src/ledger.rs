//! Ledger of a hall: every order that may still take effect.
//!
//! Committed memory of an upstream is what its newest report shows, joined
//! with every unresolved load in the ledger. An order is resolved only by
//! proof:
//!
//! - at an upstream that checks fences, by a report whose fence is at or past
//!   the order's (it took effect or never will);
//! - at one that checks none, by a report that shows the effect, as long as
//!   only one order about those weights was ever on its way; an order in doubt
//!   may land at any time;
//! - at both by a new incarnation: an order goes over a connection that dies
//!   with the process it was meant for.

use crate::fleet::{Fleet, Upstream};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use unit::engine::{Action, Fence, Order, OrderStatus, State, Weights};
use unit::{Bytes, Name};

/// Reasons kept for `coveford why`.
const MAX_MOVES: usize = 200;

/// Ledger as it stands in the key-value service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Term of the planner that wrote it.
    pub term: u64,
    /// Planner that wrote it, with a number of this write: the nonce of a lost answer.
    pub writer: Name,
    /// Number of the last order.
    pub last: u64,
    /// Orders that may still take effect.
    pub open: Vec<Entry>,
    /// Newest report that resolved an order, by upstream; an older one is not acted on.
    pub seen: BTreeMap<Name, ReportId>,
    /// Newest moves with their reasons, oldest first.
    pub moves: Vec<Move>,
}

/// Identity of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Number of the report.
    pub number: u64,
}

/// Order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it goes.
    pub upstream: Name,
    /// The order.
    pub order: Order,
    /// What is known of its sending.
    #[serde(rename = "sent")]
    pub delivery: Delivery,
}

/// What is known of an order's sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// It may be on its way, now or later.
    #[serde(rename = "Perhaps")]
    Unconfirmed,
    /// The upstream took it.
    #[serde(rename = "Taken")]
    Accepted,
    /// It may be on its way, and another order about the same weights was given since.
    #[serde(rename = "Doubt")]
    InDoubt,
}

/// Move with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Fence of its order; also its identity for `coveford why`.
    pub fence: Fence,
    /// Where.
    pub upstream: Name,
    /// What.
    pub action: Action,
    /// Why, as a full sentence.
    pub reason: String,
    /// Operators' wall clock in milliseconds since 1970, for people.
    pub at_ms: u64,
}

/// Order that is wanted, not yet in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewOrder {
    /// Where.
    pub upstream: Name,
    /// What.
    pub action: Action,
    /// Why, as a full sentence.
    pub reason: String,
}

/// Why an order may not be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The upstream is not known.
    Unknown,
    /// Another order about the same weights is unresolved.
    Unresolved,
    /// Its report is older than one that resolved an order before.
    StaleReport,
    /// Its memory would be overcommitted.
    InsufficientMemory {
        /// Free.
        free: Bytes,
        /// Needed.
        needed: Bytes,
    },
}

impl Ledger {
    /// Takes the ledger over for a new planner: a higher term.
    pub fn take_over(&mut self) {
        self.term += 1;
    }

    /// Drops orders that a report resolves.
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
            seen.push((upstream.name.clone(), identity(upstream)));
            false
        });
        self.seen.extend(seen);
    }

    /// Whether an upstream's report is not older than one that resolved an order before.
    pub fn is_current(&self, upstream: &Upstream) -> bool {
        is_current(self.seen.get(&upstream.name), upstream)
    }

    /// Whether a fresh order to that upstream is unresolved.
    pub fn is_open(&self, upstream: &str) -> bool {
        let fresh = |o: &&Entry| &*o.upstream == upstream && o.delivery != Delivery::InDoubt;
        self.open.iter().any(|o| fresh(&o))
    }

    /// Memory that an upstream has committed.
    pub fn committed(&self, upstream: &Upstream) -> Bytes {
        let resident: Bytes = upstream.report.resident.iter().map(|r| r.bytes).sum();
        let mut coming: Vec<&Weights> = Vec::new();
        let mut bytes = Bytes(0);
        for (weights, size) in self.loads(&upstream.name) {
            let counted = upstream.find(weights).is_some() || coming.contains(&weights);
            if !counted {
                coming.push(weights);
                bytes += size;
            }
        }
        resident + bytes
    }

    /// Memory that an upstream has free.
    pub fn free(&self, upstream: &Upstream) -> Bytes {
        upstream
            .report
            .memory
            .saturating_sub(self.committed(upstream))
    }

    fn loads<'a>(&'a self, upstream: &'a str) -> impl Iterator<Item = (&'a Weights, Bytes)> {
        let here = self.open.iter().filter(move |o| &*o.upstream == upstream);
        here.filter_map(|entry| match &entry.order.action {
            Action::Load { weights, bytes } => Some((weights, *bytes)),
            _ => None,
        })
    }

    /// Whether weights are on their way to an upstream.
    pub fn has_pending_load(&self, upstream: &str, weights: &Weights) -> bool {
        self.loads(upstream).any(|(w, _)| w == weights)
    }

    /// Whether weights at an upstream may go away by an unresolved order.
    pub fn has_pending_unload(&self, upstream: &str, weights: &Weights) -> bool {
        self.open.iter().any(|entry| {
            let unload =
                matches!(&entry.order.action, Action::Unload { weights: w } if w == weights);
            unload && &*entry.upstream == upstream
        })
    }

    /// Writes an order into the ledger, if it is safe.
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
        let surplus = self.moves.len().saturating_sub(MAX_MOVES);
        self.moves.drain(..surplus);
        Ok(order)
    }

    /// Whether an unresolved order stands in the way of another about the same weights.
    ///
    /// At an upstream that checks fences every order is resolved sooner or
    /// later by being sent again, and a load may overtake an unload. At one that checks none, an order of an
    /// earlier term may never be; it is left in doubt, which counts for ever.
    fn blocks(&self, upstream: &Upstream, action: &Action) -> bool {
        self.open.iter().any(|entry| {
            let same =
                entry.upstream == upstream.name && subject(&entry.order.action) == subject(action);
            let old = entry.order.fence.term < self.term;
            let overtaken = upstream.fencing
                && matches!(entry.order.action, Action::Unload { .. })
                && matches!(action, Action::Load { .. });
            let passable = match entry.delivery {
                _ if overtaken => true,
                Delivery::Accepted => false,
                Delivery::Unconfirmed => old && !upstream.fencing,
                Delivery::InDoubt => true,
            };
            same && !passable
        })
    }

    /// Leaves in doubt what may still be on its way about the same weights.
    fn mark_in_doubt(&mut self, upstream: &str, action: &Action) {
        for entry in &mut self.open {
            if &*entry.upstream == upstream && subject(&entry.order.action) == subject(action) {
                entry.delivery = Delivery::InDoubt;
            }
        }
    }

    /// Takes in that an order to an upstream that checks no fences got no answer.
    ///
    /// It is not sent again: two copies could not be told apart.
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

    /// Takes in the answer to an order; tells whether that changed anything.
    pub fn record_answer(&mut self, upstream: &str, fence: Fence, obeyed: OrderStatus) -> bool {
        let at = self
            .open
            .iter()
            .position(|o| &*o.upstream == upstream && o.order.fence == fence);
        let Some(at) = at else {
            return false;
        };
        match obeyed {
            OrderStatus::Accepted => {
                let changed = self.open[at].delivery != Delivery::Accepted;
                self.open[at].delivery = Delivery::Accepted;
                changed
            }
            // A copy that came before may have been done: only a report can tell.
            OrderStatus::Stale => false,
            // It was not and will not be done.
            OrderStatus::WrongIncarnation | OrderStatus::Infeasible => {
                self.open.remove(at);
                true
            }
        }
    }
}

/// Whether a report proves that an order will have no effect beyond what the report shows.
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

/// What an order is about; none for a role.
fn subject(action: &Action) -> Option<&Weights> {
    match action {
        Action::Load { weights, .. } | Action::Unload { weights } => Some(weights),
        Action::SetRole { .. } => None,
    }
}

fn identity(upstream: &Upstream) -> ReportId {
    ReportId {
        incarnation: upstream.report.incarnation,
        number: upstream.report.number,
    }
}

fn is_current(seen: Option<&ReportId>, upstream: &Upstream) -> bool {
    let now = identity(upstream);
    seen.is_none_or(|s| s.incarnation != now.incarnation || s.number <= now.number)
}

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
