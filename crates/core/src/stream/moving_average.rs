//! An exponentially weighted moving average.

/// The weight of one sample; about eight samples count.
const SAMPLE_WEIGHT: f64 = 0.125;

/// An exponentially weighted moving average; it has no value before the first sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MovingAverage {
    mean: Option<f64>,
}

impl MovingAverage {
    /// Adds a sample.
    pub fn add_sample(&mut self, sample: f64) {
        let mean = self.mean.unwrap_or(sample);
        self.mean = Some(mean + SAMPLE_WEIGHT * (sample - mean));
    }
}

impl MovingAverage {
    /// The average; `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        self.mean
    }
}
