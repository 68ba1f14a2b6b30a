//! Name types, each a shared immutable string.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Declares a name type over a shared immutable string.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }
    };
}

name_type! {
    /// The name of a client account.
    AccountName
}
name_type! {
    /// The name of a data centre.
    DataCentre
}
name_type! {
    /// The name of an entry instance.
    EntryName
}
name_type! {
    /// The name of a request kind or a job kind.
    KindName
}
name_type! {
    /// The name of an operator.
    OperatorName
}
name_type! {
    /// The name of a queue that callers submit jobs to.
    QueueName
}
name_type! {
    /// The name of a rack within a data centre.
    RackName
}
name_type! {
    /// The name of a region.
    Region
}
name_type! {
    /// The name of an upstream, that is, of one worker instance.
    UpstreamName
}
