//! The interface of the benchmarks that `limpetquay bench` runs.

use {
    super::{
        Table, capacity::CapacityBench, gangs::GangsBench, log::LogBench,
        membership::MembershipBench, placement::PlacementBench, requests::RequestsBench,
    },
    crate::process::local::LocalError,
    derive_more::{Display, Error, From},
    std::{io, path::PathBuf},
};

/// The options of a benchmark run.
#[derive(Clone, Debug)]
pub struct BenchCx {
    /// The seed of every random choice.
    pub seed: u64,
    /// Whether to measure briefly, only to check that the benchmark works.
    pub is_quick: bool,
    /// The folder to write CSV files and plots to; `None` to write none.
    pub output_dir: Option<PathBuf>,
    /// The Markdown page whose tables are replaced by the results; `None` to update none.
    pub markdown_page: Option<PathBuf>,
}

/// Why a benchmark failed.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    /// An operation on a file or socket failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The local system under test failed.
    #[display("{_0}")]
    Local(LocalError),
    /// The benchmark could not complete, for the given reason.
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] String),
}

/// A benchmark, such as `limpetquay bench placement`.
pub trait Bench {
    /// Returns the benchmark's name on the command line.
    fn name(&self) -> &'static str;

    /// Returns a one-line description of what is measured.
    fn summary(&self) -> &'static str;

    /// Runs the benchmark and returns its result tables.
    ///
    /// # Errors
    /// [`BenchError`] if the benchmark could not complete.
    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError>;
}

/// Returns all benchmarks.
pub fn benches() -> Vec<Box<dyn Bench>> {
    vec![
        Box::new(CapacityBench),
        Box::new(LogBench),
        Box::new(GangsBench),
        Box::new(MembershipBench),
        Box::new(PlacementBench),
        Box::new(RequestsBench),
    ]
}
