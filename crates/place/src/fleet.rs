//! Upstreams of a hall, with the reports that the planner decides on.

use unit::Name;
use unit::engine::{Report, Resident, State, Weights};

/// Upstream with its latest report.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// Latest report.
    pub report: Report,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Whether it rejects orders by their fence.
    pub fencing: bool,
    /// Whether it sent no report for this tick; it gets no orders then.
    pub unreachable: bool,
}

/// Upstreams of one hall.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// By name.
    pub upstreams: Vec<Upstream>,
}

impl Upstream {
    /// Finds the entry of weights that take memory here.
    pub fn find(&self, weights: &Weights) -> Option<&Resident> {
        self.report.resident.iter().find(|r| r.weights == *weights)
    }

    /// Whether any version of a model is ready here.
    pub fn holds_ready(&self, model: &str) -> bool {
        self.report
            .resident
            .iter()
            .any(|r| is_base(&r.weights, model) && r.state == State::Ready)
    }
}

impl Fleet {
    /// Finds an upstream by name.
    pub fn find(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.iter().find(|u| &*u.name == name)
    }
}

/// Whether weights are the base weights of a model, in any version, rather than an adapter.
pub fn is_base(weights: &Weights, model: &str) -> bool {
    weights.adapter.is_none() && &*weights.model == model
}
