//! Demand for a model as a level and a rise, from a moving average of arrivals.
//!
//! The load it answers: demand that moves to other models within a second. An average lags behind by its own time
//! constant; the level that it tends to is the average and its slope over that time. The slope of few arrivals is
//! mostly chance, so only what exceeds their usual scatter counts.

/// Time constant, in seconds, over which the slope is smoothed.
const SLOPE_SECS: f64 = 0.4;

/// Shortest interval, in seconds, that a slope is taken over.
const MIN_INTERVAL_SECS: f64 = 0.05;

/// Limit on what the rise adds, relative to the average.
const MAX_RISE: f64 = 2.0;

/// Average of the last measurement, and its slope.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rise {
    average: f64,
    /// Change of the average per second.
    slope: f64,
}

impl Rise {
    /// Adds a measurement, `elapsed` seconds after the previous one: the average demand, smoothed over `lag` seconds,
    /// and the arrivals per second behind it. Returns the demand that the average tends to.
    pub fn update(&mut self, average: f64, arrivals: f64, lag: f64, elapsed: f64) -> f64 {
        let elapsed = elapsed.max(MIN_INTERVAL_SECS);
        let slope = (average - self.average) / elapsed;
        self.slope += (slope - self.slope) * (elapsed / (elapsed + SLOPE_SECS));
        self.average = average;
        let rise = self.slope * lag - scatter(average, arrivals);
        average + rise.clamp(0.0, average * MAX_RISE)
    }
}

/// Usual deviation of a rise by chance: that of the arrivals counted while the slope is smoothed.
fn scatter(average: f64, arrivals: f64) -> f64 {
    let counted = arrivals * SLOPE_SECS;
    match counted > 0.0 {
        true => average / counted.sqrt(),
        false => 0.0,
    }
}
