//! Shapes of gangs and guarantees: numbers of members and accelerators, and the adjacency of the
//! members.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// How close to each other the members of a gang or guarantee have to be, from the narrowest to the
/// widest group of workers that may contain them.
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
    /// Members may be in several regions.
    #[display("any")]
    Any,
}

/// The shape of a gang or guarantee: `members` members with `accelerators` accelerators each. The
/// accelerators of one member are on one worker.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{members}x{accelerators} {adjacency}")]
pub struct Shape {
    /// The number of members.
    pub members: u32,
    /// The number of accelerators of each member, all on one worker. Gangs of plain tasks, which
    /// use no accelerator, have 0; a guarantee has at least 1.
    pub accelerators: u32,
    /// How close to each other the members have to be.
    pub adjacency: Adjacency,
}

/// The error for a text that is not a shape or adjacency.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "expected MEMBERSxACCELERATORS ADJACENCY, \
     with ADJACENCY one of worker, rack, data-centre, region, any"
)]
pub struct ShapeError;

impl Shape {
    /// One accelerator on any worker.
    pub const SINGLE: Self = Self {
        members: 1,
        accelerators: 1,
        adjacency: Adjacency::Any,
    };

    /// Returns whether its members are plain tasks, which use no accelerator.
    pub fn is_plain(&self) -> bool {
        self.accelerators == 0
    }

    /// Returns the number of accelerators of all members together.
    pub fn total_accelerators(&self) -> u32 {
        self.members * self.accelerators
    }
}

impl Adjacency {
    /// All adjacencies, the narrowest first.
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
        let is_in_range = (1..=1024).contains(&shape.members) && shape.accelerators <= 64;
        if is_in_range {
            Ok(shape)
        } else {
            Err(ShapeError)
        }
    }
}
