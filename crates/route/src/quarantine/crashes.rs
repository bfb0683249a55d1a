//! Tells from the reports of all hosts which of them are about the same crash.
//!
//! Hosts know an incarnation only from the store, so a replica may be back and crash again under the incarnation that
//! they still know. What tells two crashes apart is time: a crash closes all connections to the process, and one that it
//! closed was opened after the crash before. Each host reports the ages of both, which need no common clock.

use super::incidents::{CONFIRMED_RETENTION, Instance};
use super::{Crash, Report};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use unit::{Span, Time};

/// Allowance for the delays of two hosts' reports: ages are added to the time of arrival, so each report appears later
/// by its delay. A replica takes longer to restart.
const DELAY_ALLOWANCE: Span = Span::from_ms(200);

/// Time for which a crash is kept: as long as hosts report it, and as long again for reports that were held up.
const RETENTION: Span = Span(2 * CONFIRMED_RETENTION.0);

/// Maximum number of crashes kept, about 2 MB; a whole hall may lose power at once.
const MAX_CRASHES: usize = 8_192;

/// Maximum number of incidents kept of one crash.
const MAX_INCIDENTS: usize = 64;

/// Identity of an incident, the same in all reports of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncidentId(pub u64);

/// Time in which a replica crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// When the newest of the connections that it closed was opened.
    pub opened_at: Time,
    /// When the first of them was seen closed.
    pub broke_at: Time,
}

impl Window {
    /// Whether both may be about the same crash.
    fn overlaps(&self, other: &Window) -> bool {
        self.opened_at <= other.broke_at + DELAY_ALLOWANCE
            && other.opened_at <= self.broke_at + DELAY_ALLOWANCE
    }

    /// Distance of the times at which the connections broke.
    fn distance(&self, other: &Window) -> Span {
        Span(self.broke_at.0.abs_diff(other.broke_at.0))
    }

    /// Window of the same incident by another report: the one that was delayed less is right.
    fn earliest(&self, other: &Window) -> Window {
        Window {
            opened_at: self.opened_at.min(other.opened_at),
            broke_at: self.broke_at.min(other.broke_at),
        }
    }

    /// Window of the same crash by another incident.
    fn intersection(&self, other: &Window) -> Window {
        Window {
            opened_at: self.opened_at.max(other.opened_at),
            broke_at: self.broke_at.min(other.broke_at),
        }
    }
}

/// Crash that has been reported.
#[derive(Debug)]
struct Known {
    crash: Crash,
    /// Whether it is known only by the end of the instance.
    is_replaced: bool,
    /// Its incidents on different hosts, each with its window.
    incidents: Vec<(IncidentId, Window)>,
}

impl Known {
    fn window(&self) -> Window {
        let windows = self.incidents.iter().map(|(_, window)| *window);
        windows
            .reduce(|all, window| all.intersection(&window))
            .expect("a crash has an incident")
    }

    fn add(&mut self, id: IncidentId, window: Window) {
        let known = self.incidents.iter_mut().find(|(known, _)| *known == id);
        if let Some((_, known)) = known {
            *known = known.earliest(&window);
        } else if self.incidents.len() < MAX_INCIDENTS {
            self.incidents.push((id, window));
        }
    }
}

/// Crashes reported recently, by replica instance.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Oldest first.
    known: HashMap<Instance, VecDeque<Known>>,
    /// Instance of each crash and when it was reported first, oldest first.
    order: VecDeque<(Time, Instance)>,
    last: u64,
}

/// Bit of the identities assigned here, which placeholders lack.
const ASSIGNED: u64 = 1 << 63;

impl Crashes {
    /// Identity of the crash that an incident is about. With `since`, the crash is known to have happened after that
    /// time, whatever the delays of reports.
    pub(super) fn identify(&mut self, report: &Report, since: Option<Time>, now: Time) -> Crash {
        self.expire(now);
        let (instance, id, window) = (&report.instance, report.id, report.window);
        let known = self.known.entry(instance.clone()).or_default();
        if let Some(same) = same_crash(known, report, since) {
            same.add(id, window);
            return same.crash;
        }
        self.last += 1;
        let crash = Crash(ASSIGNED | self.last);
        known.push_back(Known {
            crash,
            is_replaced: report.is_replaced,
            incidents: vec![(id, window)],
        });
        self.order.push_back((now, instance.clone()));
        crash
    }

    /// Removes old crashes, and the oldest if there are too many.
    fn expire(&mut self, now: Time) {
        while let Some((reported_at, instance)) = self.order.front()
            && (now.since(*reported_at) >= RETENTION || self.order.len() >= MAX_CRASHES)
        {
            if let Some(known) = self.known.get_mut(instance) {
                known.pop_front();
                if known.is_empty() {
                    self.known.remove(instance);
                }
            }
            self.order.pop_front();
        }
    }
}

/// Known crash that an incident is about: the one it was reported with, the end of the instance, or the closest that it
/// may be about.
fn same_crash<'a>(
    known: &'a mut VecDeque<Known>,
    report: &Report,
    since: Option<Time>,
) -> Option<&'a mut Known> {
    let window = report.window;
    let reported = known
        .iter()
        .position(|known| known.incidents.iter().any(|(other, _)| *other == report.id));
    let end = || {
        let is_end = |known: &Known| known.is_replaced && report.is_replaced;
        known.iter().position(is_end)
    };
    let closest = || {
        let matching = known.iter().enumerate().filter(|(_, known)| {
            let other = known.window();
            window.overlaps(&other) && since.is_none_or(|since| other.broke_at > since)
        });
        matching
            .min_by_key(|(_, known)| window.distance(&known.window()))
            .map(|(index, _)| index)
    };
    known.get_mut(reported.or_else(end).or_else(closest)?)
}
