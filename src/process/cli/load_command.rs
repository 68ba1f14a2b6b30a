//! `limpetquay load`.

use {
    super::{CliError, Command, role::run_async},
    crate::process::output::print_text,
    crate::{
        prelude::*,
        process::load::{LoadPlan, LoadPlanError, run_load},
        version::parse_duration,
    },
    getopts::{Matches, Options},
    std::{env, str::FromStr},
};

/// The environment variable that holds the client account's bearer key.
const KEY_VARIABLE: &str = "LIMPETQUAY_KEY";

/// The default number of requests a second.
const DEFAULT_RATE_PER_S: u32 = 50;

/// The default time for which requests are sent.
const DEFAULT_DURATION: Duration = Duration::from_secs(5);

/// The default limit of requests without an answer.
const DEFAULT_MAX_IN_FLIGHT: u32 = 256;

/// Sends a bounded load to entries on this machine.
pub(super) struct LoadCommand;

impl Command for LoadCommand {
    fn name(&self) -> &'static str {
        "load"
    }

    fn arguments(&self) -> &'static str {
        "KIND..."
    }

    fn summary(&self) -> &'static str {
        "send a bounded load to entries on this machine"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        opts.optmulti(
            "e",
            "entry",
            "an entry's address; may be repeated",
            "ADDRESS",
        );
        opts.optopt("r", "rate", "requests a second, 50 by default", "NUMBER");
        opts.optopt("t", "time", "how long to send, 5s by default", "DURATION");
        opts.optopt(
            "f",
            "in-flight",
            "limit of requests without an answer, 256 by default",
            "NUMBER",
        );
        opts.optopt(
            "b",
            "body",
            "the body of each request, run_ms=5 by default",
            "TEXT",
        );
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let plan = read_plan(matches)?;
        plan.check()?;
        run_async(async move |clock| {
            let report = run_load(plan, clock).await?;
            print_text(&report.table().to_text())?;
            Ok(())
        })
    }
}

fn read_plan(matches: &Matches) -> Result<LoadPlan, CliError> {
    let key = env::var(KEY_VARIABLE);
    let key = key
        .map_err(|_| CliError::Usage(format!("{KEY_VARIABLE} must be set to the account's key")))?;
    let entries = matches.opt_strs("entry");
    let entries = entries
        .iter()
        .map(|e| parse_option("entry", e))
        .collect::<Result<_, _>>()?;
    let duration = matches.opt_str("time");
    let duration = duration.map_or(Some(DEFAULT_DURATION), |t| parse_duration(&t));
    let body = matches
        .opt_str("body")
        .unwrap_or_else(|| "run_ms=5".to_owned());
    Ok(LoadPlan {
        entries,
        kinds: matches.free.iter().map(|k| k.as_str().into()).collect(),
        key,
        body: body.into_bytes().into(),
        rate_per_s: read_number(matches, "rate", DEFAULT_RATE_PER_S)?,
        duration: duration
            .ok_or_else(|| CliError::Usage("--time requires a duration such as 10s".into()))?,
        max_in_flight: read_number(matches, "in-flight", DEFAULT_MAX_IN_FLIGHT)?,
    })
}

fn read_number(
    matches: &Matches,
    option: &str,
    default: u32,
) -> Result<u32, CliError> {
    matches
        .opt_str(option)
        .map_or(Ok(default), |text| parse_option(option, &text))
}

fn parse_option<T>(
    option: &str,
    text: &str,
) -> Result<T, CliError>
where
    T: FromStr,
{
    let parsed = text.parse();
    parsed.map_err(|_| CliError::Usage(format!("--{option}: {text:?} is not valid")))
}

impl From<LoadPlanError> for CliError {
    fn from(e: LoadPlanError) -> Self {
        Self::Usage(e.to_string())
    }
}
