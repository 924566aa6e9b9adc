//! Property tests with a fixed seed, so that each run checks the same cases.

/// Size of generated values.
pub(crate) const SIZE: usize = 60;
/// Seed of the generated cases.
pub(crate) const SEED: u64 = 20_261_204;

/// Declares property tests like `quickcheck!`, but with a fixed seed.
#[macro_export]
macro_rules! seeded {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $ty:ty),*) -> bool $body:block)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            fn property($($arg: $ty),*) -> bool $body
            let cases = quickcheck::Gen::from_size_and_seed(common::SIZE, common::SEED);
            let property: fn($($ty),*) -> bool = property;
            quickcheck::QuickCheck::new().rng(cases).quickcheck(property);
        }
    )*};
}
