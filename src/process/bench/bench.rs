//! The border of a measurement.

use {
    super::{
        Table, capacity::CapacityBench, gangs::GangsBench, log::LogBench,
        membership::MembershipBench, placement::PlacementBench, requests::RequestsBench,
    },
    crate::process::local::LocalError,
    derive_more::{Display, Error, From},
    std::{io, path::PathBuf},
};

/// What a measurement is told.
#[derive(Clone, Debug)]
pub struct BenchCx {
    /// The seed of every random choice.
    pub seed: u64,
    /// Whether to measure briefly, to see that the measurement works.
    pub quick: bool,
    /// Where CSV files and plots go; nothing is written without it.
    pub out: Option<PathBuf>,
    /// A Markdown page whose tables are brought up to date.
    pub page: Option<PathBuf>,
}

/// Why a measurement failed.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    /// A file or socket failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The measured system failed.
    #[display("{_0}")]
    Local(LocalError),
    /// The measurement did not come about.
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] String),
}

/// One measurement, such as `limpetquay bench placement`.
pub trait Bench {
    /// Returns the word that calls the measurement.
    fn name(&self) -> &'static str;

    /// Returns one line that says what is measured.
    fn summary(&self) -> &'static str;

    /// Measures and returns the tables.
    ///
    /// # Errors
    /// [`BenchError`] when the measurement did not come about.
    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError>;
}

/// Returns all measurements.
pub fn benches() -> Vec<Box<dyn Bench>> {
    vec![
        Box::new(CapacityBench),
        Box::new(GangsBench),
        Box::new(LogBench),
        Box::new(MembershipBench),
        Box::new(PlacementBench),
        Box::new(RequestsBench),
    ]
}
