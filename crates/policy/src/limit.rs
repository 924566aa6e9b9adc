//! Adaptive limits on concurrency.

/// Limit that shrinks on signs of overload and grows back while it is used.
#[derive(Debug, Clone)]
pub struct Adaptive {
    floor: f64,
    ceiling: f64,
    value: f64,
}

const BACKOFF: f64 = 0.8;

impl Adaptive {
    /// Limit between `floor` and `ceiling` that starts at the ceiling.
    pub fn new(floor: u32, ceiling: u32) -> Adaptive {
        let ceiling = f64::from(ceiling.max(floor));
        Adaptive { floor: f64::from(floor), ceiling, value: ceiling }
    }

    /// The limit now.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Records a sign of overload.
    pub fn shrink(&mut self) {
        self.value = (self.value * BACKOFF).max(self.floor);
    }

    /// Records a request that succeeded while `in_flight` were running.
    pub fn grow(&mut self, in_flight: usize) {
        if in_flight as f64 >= self.value - 1.0 {
            self.value = (self.value + 1.0 / self.value.max(1.0)).min(self.ceiling);
        }
    }

    /// Drops to the floor, as for an upstream that has just started.
    pub fn restart(&mut self) {
        self.value = self.floor;
    }
}
