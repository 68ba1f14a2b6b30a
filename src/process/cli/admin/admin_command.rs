//! Runs operators' commands from the command line.

use {
    super::{AdminAction, AdminClient, admin_action::add_common_options},
    crate::process::output::print_text,
    crate::{
        prelude::*,
        process::{
            cli::{
                CliError, Command,
                command::{read_file, required_option},
            },
            clock::SystemClock,
        },
    },
    compio::runtime::Runtime,
    getopts::{Matches, Options},
    std::env,
};

/// The environment variable that holds the operator's key.
const KEY_VARIABLE: &str = "LIMPETQUAY_KEY";

/// A command that runs an operator's command against the entry that its options name.
pub struct AdminCommand(pub Box<dyn AdminAction>);

impl Command for AdminCommand {
    fn name(&self) -> &'static str {
        self.0.name()
    }

    fn arguments(&self) -> &'static str {
        self.0.arguments()
    }

    fn summary(&self) -> &'static str {
        self.0.summary()
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        add_common_options(opts);
        self.0.add_options(opts);
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let entry = required_option(matches, "e")?;
        let entry = entry.parse().map_err(|_| {
            CliError::Usage(format!("--entry: {entry:?} is not an IP address and port"))
        })?;
        let key = read_key(matches)?;
        let output = Runtime::new()?.block_on(async {
            let client = AdminClient::new(Rc::new(SystemClock::default()), entry, &key);
            self.0.run(&client, matches).await
        })?;
        print_text(&output)?;
        Ok(())
    }
}

/// Reads the operator's key from the file that `--key-file` names, or else from the environment.
fn read_key(matches: &Matches) -> Result<String, CliError> {
    let text = match matches.opt_str("key-file") {
        Some(path) => read_file(&path)?,
        None => env::var(KEY_VARIABLE).map_err(|_| {
            let message = format!("no key: set {KEY_VARIABLE} or name a file by --key-file");
            CliError::Usage(message)
        })?,
    };
    Ok(text.trim().to_owned())
}
