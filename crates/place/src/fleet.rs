//! Upstreams of one hall as the planner sees them.

use unit::Name;
use unit::engine::{Report, Resident, State, Weights};

/// Upstream with its newest report.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// Its newest report.
    pub report: Report,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether it checks fences.
    pub fencing: bool,
    /// Whether its report could not be had this time; it gets no orders then.
    pub unreachable: bool,
}

/// Upstreams of one hall.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// By name.
    pub upstreams: Vec<Upstream>,
}

impl Upstream {
    /// Entry of weights that take memory here.
    pub fn find(&self, weights: &Weights) -> Option<&Resident> {
        self.report.resident.iter().find(|r| r.weights == *weights)
    }

    /// Whether it holds a version of a model ready.
    pub fn holds_ready(&self, model: &str) -> bool {
        self.report
            .resident
            .iter()
            .any(|r| is_base(&r.weights, model) && r.state == State::Ready)
    }
}

impl Fleet {
    /// Upstream of a name.
    pub fn find(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.iter().find(|u| &*u.name == name)
    }
}

/// Whether weights are those of a model itself, of any version.
pub fn is_base(weights: &Weights, model: &str) -> bool {
    weights.adapter.is_none() && &*weights.model == model
}
