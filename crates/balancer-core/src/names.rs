//! Names of servers, requests, zones, classes and tenants, as types of their own, so that none is taken for another.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
    /// Identity of a server, as discovery lists it. Cheap to clone.
    ServerId
);
name_type!(
    /// Identity of a request, which is never used twice. Cheap to clone.
    RequestId
);
name_type!(
    /// Name of a zone, a kind of server, a class or a tenant; compared, never interpreted. Cheap to clone.
    Name
);
