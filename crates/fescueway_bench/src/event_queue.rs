//! Event queue in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

/// Queue of events ordered by time, then by order of insertion.
#[derive(Debug)]
pub struct EventQueue<Event> {
    /// Each event with its time in microseconds and its insertion number.
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events pushed so far.
    pushed: u64,
}

impl<Event: Ord> Default for EventQueue<Event> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            pushed: 0,
        }
    }
}

impl<Event: Ord> EventQueue<Event> {
    /// Adds an event at `time_us`.
    pub fn push(&mut self, time_us: u64, event: Event) {
        self.pushed += 1;
        self.heap.push(Reverse((time_us, self.pushed, event)));
    }

    /// Removes the earliest event and returns it with its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse((time_us, _, event)) = self.heap.pop()?;
        Some((time_us, event))
    }
}
