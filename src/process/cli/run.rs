//! Finds and runs the command that the arguments name.

use {
    super::{
        CliError, Command,
        bench_command::BenchCommand,
        check_command::CheckCommand,
        decisions_command::DecisionsCommand,
        key_hash_command::KeyHashCommand,
        load_command::LoadCommand,
        local_command::LocalCommand,
        role_commands::{EntryCommand, GuardCommand, StandInLogCommand, StandInUpstreamCommand},
    },
    getopts::Options,
    std::process::ExitCode,
};

/// Runs the program with its arguments, without the program's name.
pub fn run(args: Vec<String>) -> ExitCode {
    match run_command(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("limpetquay: {}", e.to_string().trim_end());
            e.exit_code()
        }
    }
}

fn commands() -> Vec<Box<dyn Command>> {
    vec![
        Box::new(EntryCommand),
        Box::new(GuardCommand),
        Box::new(LocalCommand),
        Box::new(CheckCommand),
        Box::new(KeyHashCommand),
        Box::new(LoadCommand),
        Box::new(DecisionsCommand),
        Box::new(BenchCommand),
        Box::new(StandInLogCommand),
        Box::new(StandInUpstreamCommand),
    ]
}

fn run_command(args: &[String]) -> Result<(), CliError> {
    match args.first().map(String::as_str) {
        None | Some("-h" | "--help" | "help") => {
            print!("{}", usage());
            return Ok(());
        }
        Some("-V" | "--version") => {
            println!("limpetquay {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Some(_) => {}
    }
    let commands = commands();
    let named = commands.iter().filter_map(|c| {
        let words: Vec<&str> = c.name().split(' ').collect();
        let matching = args.len() >= words.len() && words.iter().zip(args).all(|(w, a)| w == a);
        matching.then_some((c, words.len()))
    });
    let Some((command, words)) = named.max_by_key(|(_, words)| *words) else {
        let message = format!(
            "unknown command {:?}; limpetquay --help lists them",
            args[0]
        );
        return Err(CliError::Usage(message));
    };
    run_with_options(&**command, &args[words..])
}

fn run_with_options(
    command: &dyn Command,
    args: &[String],
) -> Result<(), CliError> {
    let mut opts = Options::new();
    command.add_options(&mut opts);
    opts.optflag("h", "help", "print this help and exit");
    opts.optflag("V", "version", "print the version and exit");
    let matches = opts
        .parse(args)
        .map_err(|e| CliError::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!(
            "{}\n\nUsage: limpetquay {} [options] {}",
            command.summary(),
            command.name(),
            command.arguments(),
        );
        print!("{}", opts.usage(&brief));
        return Ok(());
    }
    if matches.opt_present("version") {
        println!("limpetquay {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    command.run(&matches)
}

fn usage() -> String {
    let mut text = String::from(
        "A scheduler for multi-accelerator jobs and requests under client account guarantees.\n\n\
         Usage: limpetquay COMMAND [options]\n\nCommands:\n",
    );
    for command in commands() {
        text += &format!("    {:<18} {}\n", command.name(), command.summary());
    }
    text += "\nlimpetquay COMMAND --help tells a command's options.\n\
             Exit codes: 0 fine, 1 failed, 2 bad usage, settings or document.\n";
    text
}
