//! Macro for integer newtypes, whose text form is that of the integer.

macro_rules! integer_newtypes {
    ($($(#[$doc:meta])* $name:ident($int:ty), $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::Error;

            fn from_str(text: &str) -> Result<$name, $crate::id::Error> {
                let allowed = "a non-negative integer";
                let error = |_| $crate::id::Error { kind: $kind, input: text.to_owned(), allowed };
                text.parse().map($name).map_err(error)
            }
        }
    )*};
}

pub(crate) use integer_newtypes;
