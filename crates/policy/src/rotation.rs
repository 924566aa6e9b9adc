//! Selection from a list that is too long for one message.

/// Selects items for messages so that all of them are sent in turn.
#[derive(Debug, Default)]
pub struct Rotation {
    next: usize,
}

impl Rotation {
    /// Returns up to `limit` items of `newest_first`. One half are the newest, to spread them fast;
    /// the other half follow the items that were selected before.
    pub fn select<T: Copy>(&mut self, newest_first: &[T], limit: usize) -> Vec<T> {
        if newest_first.len() <= limit {
            return newest_first.to_vec();
        }
        let (newest, others) = newest_first.split_at(limit / 2);
        let count = limit - newest.len();
        let start = self.next % others.len();
        self.next = start + count;
        let in_turn = others.iter().cycle().skip(start).take(count);
        newest.iter().chain(in_turn).copied().collect()
    }
}
