//! `limpetquay bench`.

use {
    super::{CliError, Command, command::only_argument},
    crate::process::output::print_text,
    crate::process::{
        bench::{Bench, BenchCx, BenchError, benches, update_page},
        logging,
    },
    getopts::{Matches, Options},
    std::path::PathBuf,
};

/// The default seed.
const DEFAULT_SEED: u64 = 1;

/// Runs a benchmark and prints its tables.
pub(super) struct BenchCommand;

impl Command for BenchCommand {
    fn name(&self) -> &'static str {
        "bench"
    }

    fn arguments(&self) -> &'static str {
        "NAME"
    }

    fn summary(&self) -> &'static str {
        "measure under bounded load and print tables"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        opts.optopt("s", "seed", "the seed of every random choice", "NUMBER");
        opts.optopt(
            "o",
            "out",
            "write CSV files and plots to a folder",
            "FOLDER",
        );
        opts.optopt("p", "page", "update the tables of a Markdown page", "FILE");
        opts.optflag("q", "quick", "measure briefly, as a smoke test");
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let benches = benches();
        let names: Vec<String> = benches
            .iter()
            .map(|b| format!("  {:<12} {}", b.name(), b.summary()))
            .collect();
        let name = only_argument(matches, &format!("the measurement\n{}", names.join("\n")))?;
        let bench = benches.iter().find(|b| b.name() == name);
        let bench = bench.ok_or_else(|| {
            CliError::Usage(format!(
                "unknown measurement {name:?}\n{}",
                names.join("\n")
            ))
        })?;
        let seed = matches.opt_get_default("seed", DEFAULT_SEED);
        let cx = BenchCx {
            seed: seed.map_err(|e| CliError::Usage(format!("--seed: {e}")))?,
            is_quick: matches.opt_present("quick"),
            output_dir: matches.opt_str("out").map(PathBuf::from),
            markdown_page: matches.opt_str("page").map(PathBuf::from),
        };
        logging::start("error");
        Ok(run_bench(&**bench, &cx)?)
    }
}

/// Runs a benchmark, prints its tables, writes them to the output folder if one is named, and
/// updates the page if one is named.
fn run_bench(
    bench: &dyn Bench,
    cx: &BenchCx,
) -> Result<(), BenchError> {
    for table in bench.run(cx)? {
        print_text(&format!("{}\n", table.to_text()))?;
        if let Some(out) = &cx.output_dir {
            table.write_csv(out)?;
        }
        if let Some(page) = &cx.markdown_page {
            update_page(page, &table)?;
        }
    }
    Ok(())
}

impl From<BenchError> for CliError {
    fn from(e: BenchError) -> Self {
        Self::Failed(e.to_string())
    }
}
