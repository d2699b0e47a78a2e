//! Holds who hears of something.

use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    sync::{Arc, Mutex, PoisonError},
};

/// Holds who hears of something: a function of type `F`, once there is one.
pub struct ObserverSlot<F: ?Sized>(Mutex<Option<Arc<F>>>);

impl<F: ?Sized> Default for ObserverSlot<F> {
    fn default() -> Self {
        Self(Mutex::new(None))
    }
}

impl<F: ?Sized> ObserverSlot<F> {
    /// From now on `observer` hears.
    pub fn set(&self, observer: Arc<F>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(observer);
    }

    /// Who hears.
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
