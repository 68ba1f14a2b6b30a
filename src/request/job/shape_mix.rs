//! The mix of gang shapes that a service declares.

use crate::{
    prelude::*,
    version::{Guarantee, Shape},
};

/// One shape of the mix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MixShape {
    /// The shape.
    pub shape: Shape,
    /// Its fraction of the mix; the fractions of all shapes add up to 1.
    pub share: f64,
}

/// The shapes that a document declares, as guarantees and as gangs of job kinds, each with its
/// fraction of the declarations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShapeMix {
    /// The shapes, each once.
    pub shapes: Vec<MixShape>,
}

impl ShapeMix {
    /// Returns the mix of a document.
    pub fn of(document: &Document) -> Self {
        let guarantees = Guarantee::all_of(document);
        let guarantees = guarantees.iter().map(|g| g.shape);
        let gangs = document.job_kinds.values().map(|k| k.gang);
        Self::from_shapes(guarantees.chain(gangs))
    }

    /// Returns the mix of some shapes, in which a shape counts as often as it occurs. Shapes without
    /// accelerators are left out.
    pub fn from_shapes<I>(shapes: I) -> Self
    where
        I: Iterator<Item = Shape>,
    {
        let mut all: Vec<Shape> = shapes.filter(|s| !s.is_plain()).collect();
        all.sort();
        let total = all.len() as f64;
        let shapes = all.chunk_by(|a, b| a == b).map(|same| MixShape {
            shape: same[0],
            share: same.len() as f64 / total,
        });
        Self {
            shapes: shapes.collect(),
        }
    }
}
