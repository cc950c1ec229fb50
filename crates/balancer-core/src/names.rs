//! Distinct types for the names of servers, requests, zones, classes and tenants, so that they cannot be
//! confused.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Id of a server in the endpoint list. Cheap to clone.
    ServerId
);
name_type!(
    /// Id of a request. No two requests have the same id. Cheap to clone.
    RequestId
);
name_type!(
    /// Name of a zone, a kind of server, a class or a tenant. Names are compared but not interpreted. Cheap
    /// to clone.
    Name
);
