//! Holds an optional observer function.

use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    sync::{Arc, Mutex, PoisonError},
};

/// Holds an optional observer, a function of type `F`.
pub struct ObserverSlot<F: ?Sized>(Mutex<Option<Arc<F>>>);

impl<F: ?Sized> Default for ObserverSlot<F> {
    fn default() -> Self {
        Self(Mutex::new(None))
    }
}

impl<F: ?Sized> ObserverSlot<F> {
    /// Sets the observer, replacing the previous one.
    pub fn set(&self, observer: Arc<F>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(observer);
    }

    /// The observer, if one is set.
    pub fn get(&self) -> Option<Arc<F>> {
        let slot = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        slot.clone()
    }
}

impl<F: ?Sized> Debug for ObserverSlot<F> {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("ObserverSlot").finish_non_exhaustive()
    }
}
