//! The IDs that callers give their jobs, over the whole permitted range.

use {
    limpetquay::prelude::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// The number of digits of an ID.
const ID_DIGITS: usize = 16;

/// The alphabets of IDs: digits only, lowercase, uppercase and mixed case.
const ALPHABETS: [&[u8]; 4] = [
    b"0123456789",
    b"0123456789abcdef",
    b"0123456789ABCDEF",
    b"0123456789abcdefABCDEF",
];

/// One in this number of IDs differs from an earlier one only in the case of its letters.
const VARIANT_RATIO: u32 = 8;

/// Generates the IDs of a scenario.
pub struct JobIds {
    rng: StdRng,
    generated: Vec<Arc<str>>,
}

impl JobIds {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            generated: Vec::new(),
        }
    }

    /// Returns an ID that was not returned before.
    pub fn generate(&mut self) -> Arc<str> {
        loop {
            let is_variant =
                !self.generated.is_empty() && self.rng.random_range(0..VARIANT_RATIO) == 0;
            let id: Arc<str> = if is_variant {
                self.variant().into()
            } else {
                self.random_id().into()
            };
            if !self.generated.contains(&id) {
                self.generated.push(id.clone());
                return id;
            }
        }
    }

    fn random_id(&mut self) -> String {
        let alphabet = ALPHABETS[self.rng.random_range(0..ALPHABETS.len())];
        let digits = (0..ID_DIGITS).map(|_| alphabet[self.rng.random_range(0..alphabet.len())]);
        digits.map(char::from).collect()
    }

    /// Returns an earlier ID with the case of some letters changed.
    fn variant(&mut self) -> String {
        let earlier = self.generated[self.rng.random_range(0..self.generated.len())].clone();
        let digits = earlier.chars().map(|c| match self.rng.random_range(0..2) {
            0 => c.to_ascii_lowercase(),
            _ => c.to_ascii_uppercase(),
        });
        digits.collect()
    }
}
