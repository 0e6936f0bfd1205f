//! The micro-kernel: a registry of named services, through which the control thread and the traffic
//! threads look each other up at start.
//!
//! It is not used on the path of a request: a service looks up its dependencies once and keeps the
//! handles.

use std::any::Any;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The services of a process, by name.
#[derive(Default)]
pub struct Kernel {
    services: BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>,
}

/// No service of the requested name and type is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing(pub &'static str);

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no service named {} of that type is registered", self.0)
    }
}

impl std::error::Error for Missing {}

impl Kernel {
    /// Registers `service` under `name`, and replaces an earlier one.
    pub fn register<S>(&mut self, name: &'static str, service: Arc<S>)
    where
        S: Send + Sync + 'static,
    {
        self.services.insert(name, service);
    }

    /// Returns the service registered under `name`.
    ///
    /// # Errors
    /// [`Missing`] when there is none or it has a different type.
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

    /// Returns the registered names in order, for the status page.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.services.keys().copied()
    }
}
