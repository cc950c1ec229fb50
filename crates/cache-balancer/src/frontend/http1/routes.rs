//! Routes requests to the driver of their pool, by request class.

use crate::input::DriverInput;
use balancer_core::{ClassId, Name, Settings, TenantId};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// The settings of a request class that the frontend needs, and the driver that handles the class.
pub struct ClassRoute {
    name: Name,
    pub(super) id: ClassId,
    /// Upper bound of a client's time limit in this class.
    pub(super) deadline: Duration,
    /// The input queue of the driver of the class's pool.
    pub(super) driver_inputs: UnboundedSender<DriverInput>,
}

impl ClassRoute {
    /// Returns a route for each class of a pool, with the input queue of the pool's driver.
    pub fn for_pool<'a>(
        settings: &'a Settings,
        driver_inputs: &'a UnboundedSender<DriverInput>,
    ) -> impl Iterator<Item = Self> + 'a {
        settings.classes.iter().enumerate().map(|(index, class)| Self {
            name: class.name.clone(),
            id: ClassId(index),
            deadline: class.deadline,
            driver_inputs: driver_inputs.clone(),
        })
    }
}

/// The request classes and tenants of a configuration. A reload replaces them as a whole.
pub struct Routes {
    /// The request classes of all pools.
    pub classes: Vec<ClassRoute>,
    /// The tenants, indexed by tenant id.
    pub tenants: Vec<Name>,
    /// The longest `Retry-After` of a request that is rejected before its class is known.
    pub max_retry_after: Duration,
}

impl Routes {
    /// Returns the class with this name.
    pub(super) fn class(&self, name: &str) -> Option<&ClassRoute> {
        self.classes.iter().find(|class| class.name.as_str() == name)
    }

    /// Returns the id of the tenant with this name.
    pub(super) fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|tenant| tenant.as_str() == name).map(TenantId)
    }
}
