//! Guaranteed accelerator shapes.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// How near to each other the members of a gang or shape have to be.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Adjacency {
    /// All members share one worker.
    #[display("worker")]
    Worker,
    /// All members share one rack.
    #[display("rack")]
    Rack,
    /// All members share one data centre.
    #[display("data-centre")]
    DataCentre,
    /// All members share one region.
    #[display("region")]
    Region,
    /// Members may stand in several regions.
    #[display("any")]
    Any,
}

/// A guaranteed shape: `members` groups of `accelerators` each, every group on one worker.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{members}x{accelerators} {adjacency}")]
pub struct Shape {
    /// The number of groups.
    pub members: u32,
    /// The number of accelerators of each group, all on one worker. 0 stands for tasks that hold
    /// no accelerator, which gangs may have and guarantees may not.
    pub accelerators: u32,
    /// How near the groups have to be.
    pub adjacency: Adjacency,
}

/// Tells that a text is not a shape.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "a shape reads MEMBERSxACCELERATORS ADJACENCY, \
     with ADJACENCY one of worker, rack, data-centre, region, any"
)]
pub struct ShapeError;

impl Shape {
    /// One accelerator anywhere.
    pub const SINGLE: Self = Self {
        members: 1,
        accelerators: 1,
        adjacency: Adjacency::Any,
    };

    /// Tells whether its members hold no accelerator.
    pub fn is_plain(&self) -> bool {
        self.accelerators == 0
    }

    /// Returns the number of accelerators of the whole shape.
    pub fn total(&self) -> u32 {
        self.members * self.accelerators
    }
}

impl Adjacency {
    /// All adjacencies, the nearest first.
    pub const ALL: [Self; 5] = [
        Self::Worker,
        Self::Rack,
        Self::DataCentre,
        Self::Region,
        Self::Any,
    ];
}

impl FromStr for Adjacency {
    type Err = ShapeError;

    fn from_str(text: &str) -> Result<Self, ShapeError> {
        match text {
            "worker" => Ok(Self::Worker),
            "rack" => Ok(Self::Rack),
            "data-centre" => Ok(Self::DataCentre),
            "region" => Ok(Self::Region),
            "any" => Ok(Self::Any),
            _ => Err(ShapeError),
        }
    }
}

impl FromStr for Shape {
    type Err = ShapeError;

    fn from_str(text: &str) -> Result<Self, ShapeError> {
        let (size, adjacency) = text.trim().split_once(' ').unwrap_or((text.trim(), "any"));
        let (members, accelerators) = size.split_once('x').ok_or(ShapeError)?;
        let shape = Self {
            members: members.parse().map_err(|_| ShapeError)?,
            accelerators: accelerators.parse().map_err(|_| ShapeError)?,
            adjacency: adjacency.trim().parse()?,
        };
        let sane = (1..=1024).contains(&shape.members) && shape.accelerators <= 64;
        if sane { Ok(shape) } else { Err(ShapeError) }
    }
}
