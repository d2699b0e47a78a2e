//! Names chosen by operators, cheap to clone.

use std::{
    borrow::Borrow,
    fmt::{Display, Formatter, Result},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name.
            #[must_use]
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

shared_name!(
    /// The name of a service, unique in a configuration.
    ServiceName
);
shared_name!(
    /// The name of a client account, unique at a site.
    AccountName
);
shared_name!(
    /// The name of a site, which an overlay describes.
    SiteName
);
shared_name!(
    /// The name of a failure domain, unique in the fleet.
    DomainName
);
