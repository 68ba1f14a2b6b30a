//! Selects the command that the arguments name and runs it.

use {
    super::{
        CliError, Command,
        admin::{AdminCommand, admin_actions},
        bench_command::BenchCommand,
        check_command::CheckCommand,
        decisions_command::DecisionsCommand,
        key_hash_command::KeyHashCommand,
        load_command::LoadCommand,
        local_command::LocalCommand,
        platform_command::PlatformCommand,
        role::RoleCommand,
        roles::{EntryRole, GuardRole, StandInLogRole, StandInUpstreamRole},
        trace_command::TraceCommand,
    },
    crate::{platform::PlatformRole, process::output::print_text},
    getopts::Options,
    std::process::ExitCode,
};

/// Runs the program with its arguments, which exclude the program's name, and returns its exit
/// code.
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
    let mut commands: Vec<Box<dyn Command>> = vec![
        Box::new(RoleCommand::<EntryRole>::new()),
        Box::new(RoleCommand::<GuardRole>::new()),
        Box::new(PlatformCommand(PlatformRole::Entry)),
        Box::new(PlatformCommand(PlatformRole::Guard)),
        Box::new(LocalCommand),
        Box::new(CheckCommand),
        Box::new(KeyHashCommand),
        Box::new(LoadCommand),
        Box::new(DecisionsCommand),
        Box::new(TraceCommand),
        Box::new(BenchCommand),
        Box::new(RoleCommand::<StandInLogRole>::new()),
        Box::new(RoleCommand::<StandInUpstreamRole>::new()),
    ];
    for action in admin_actions() {
        commands.push(Box::new(AdminCommand(action)));
    }
    commands
}

fn run_command(args: &[String]) -> Result<(), CliError> {
    match args.first().map(String::as_str) {
        None | Some("-h" | "--help" | "help") => {
            print_text(&general_help())?;
            return Ok(());
        }
        Some("-V" | "--version") => {
            print_text(&format!("limpetquay {}\n", env!("CARGO_PKG_VERSION")))?;
            return Ok(());
        }
        Some(_) => {}
    }
    let commands = commands();
    let matching = commands.iter().filter_map(|c| {
        let words: Vec<&str> = c.name().split(' ').collect();
        let is_match = args.len() >= words.len() && words.iter().zip(args).all(|(w, a)| w == a);
        is_match.then_some((c, words.len()))
    });
    let Some((command, word_count)) = matching.max_by_key(|(_, word_count)| *word_count) else {
        let message = format!(
            "unknown command {:?}; limpetquay --help lists them",
            args[0]
        );
        return Err(CliError::Usage(message));
    };
    run_with_options(&**command, &args[word_count..])
}

fn run_with_options(
    command: &dyn Command,
    args: &[String],
) -> Result<(), CliError> {
    let opts = command_options(command);
    let matches = opts
        .parse(args)
        .map_err(|e| CliError::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        print_text(&command_help(command, &opts))?;
        return Ok(());
    }
    if matches.opt_present("version") {
        print_text(&format!("limpetquay {}\n", env!("CARGO_PKG_VERSION")))?;
        return Ok(());
    }
    command.run(&matches)
}

fn command_options(command: &dyn Command) -> Options {
    let mut opts = Options::new();
    command.add_options(&mut opts);
    opts.optflag("h", "help", "print this help and exit");
    opts.optflag("V", "version", "print the version and exit");
    opts
}

fn command_help(
    command: &dyn Command,
    opts: &Options,
) -> String {
    let arguments = format!("{} [options] {}", command.name(), command.arguments());
    let brief = format!(
        "{}\n\nUsage: limpetquay {}",
        command.summary(),
        arguments.trim_end()
    );
    opts.usage(&brief)
}

/// Returns the help texts: the general one, then that of each command.
pub fn help_pages() -> Vec<String> {
    let commands = commands();
    let pages = commands
        .iter()
        .map(|c| command_help(&**c, &command_options(&**c)));
    std::iter::once(general_help()).chain(pages).collect()
}

fn general_help() -> String {
    let mut text = String::from(
        "A scheduler for multi-accelerator jobs under client account guarantees.\n\n\
         Usage: limpetquay COMMAND [options]\n\nCommands:\n",
    );
    for command in commands() {
        text += &format!("    {:<18} {}\n", command.name(), command.summary());
    }
    text += "\nlimpetquay COMMAND --help lists a command's options.\n\
             Exit codes: 0 success, 1 failure, 2 invalid usage, settings or document.\n";
    text
}
