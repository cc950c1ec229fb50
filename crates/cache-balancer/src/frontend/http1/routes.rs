//! Where requests go, by their class.

use crate::input::DriverInput;
use balancer_core::{ClassId, Name, Settings, TenantId};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// A request class, as far as a frontend has to know it.
pub struct ClassRoute {
    name: Name,
    pub(super) id: ClassId,
    /// No client of this class waits longer.
    pub(super) deadline: Duration,
    /// To the driver of its pool.
    pub(super) driver: UnboundedSender<DriverInput>,
}

impl ClassRoute {
    /// All classes of a pool, with the queue of its driver.
    pub fn for_pool<'a>(
        settings: &'a Settings,
        driver: &'a UnboundedSender<DriverInput>,
    ) -> impl Iterator<Item = Self> + 'a {
        settings.classes.iter().enumerate().map(|(index, class)| Self {
            name: class.name.clone(),
            id: ClassId(index),
            deadline: class.deadline,
            driver: driver.clone(),
        })
    }
}

/// The classes and tenants of a configuration. A reload replaces them as a whole.
pub struct Routes {
    /// The classes of all pools.
    pub classes: Vec<ClassRoute>,
    /// The tenants; their places are their ids.
    pub tenants: Vec<Name>,
}

impl Routes {
    /// The class of this name.
    pub(super) fn class(&self, name: &str) -> Option<&ClassRoute> {
        self.classes.iter().find(|class| class.name.as_str() == name)
    }

    /// The tenant of this name.
    pub(super) fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|tenant| tenant.as_str() == name).map(TenantId)
    }
}
