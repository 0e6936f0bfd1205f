//! The micro-kernel: named services that find each other when the process
//! starts, one control thread and several traffic threads.
//!
//! Nothing here is touched on the path of a request: a service looks its peers
//! up once and keeps the handles.

use std::any::Any;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The services of a process by name.
#[derive(Default)]
pub struct Kernel {
    services: BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>,
}

/// A service was not registered, or is of another type than was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing(pub &'static str);

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no service named {} of that type is registered", self.0)
    }
}

impl std::error::Error for Missing {}

impl Kernel {
    /// Makes `service` known under `name`, replacing what was there.
    pub fn register<S>(&mut self, name: &'static str, service: Arc<S>)
    where
        S: Send + Sync + 'static,
    {
        self.services.insert(name, service);
    }

    /// The service known under `name`.
    ///
    /// # Errors
    /// [`Missing`] when there is none or it has another type.
    pub fn find<S>(&self, name: &'static str) -> Result<Arc<S>, Missing>
    where
        S: Send + Sync + 'static,
    {
        self.services
            .get(name)
            .cloned()
            .and_then(|service| service.downcast().ok())
            .ok_or(Missing(name))
    }

    /// The names that are registered, in order, for the status page.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.services.keys().copied()
    }
}
