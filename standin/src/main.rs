//! The `standin` program: stand-ins for the platform and the endpoints, benchmarks, and the fault
//! soak.

use std::process::ExitCode;

use clap::Command;

mod engine;
mod members;
mod overhead;
mod plain;
mod platform;

fn main() -> ExitCode {
    env_logger::Builder::from_default_env().init();
    let matches = Command::new("standin")
        .about("Stand-ins for the platform and the endpoints, and the policy benchmark")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(platform::command())
        .subcommand(engine::command())
        .subcommand(plain::command())
        .subcommand(standin::policy::cli::command())
        .subcommand(members::command())
        .subcommand(overhead::command())
        .subcommand(standin::soak::command())
        .get_matches();
    let result = match matches.subcommand() {
        Some(("platform", arguments)) => platform::run(arguments),
        Some(("engine", arguments)) => engine::run(arguments),
        Some(("plain", arguments)) => plain::run(arguments),
        Some(("policy", arguments)) => standin::policy::cli::run(arguments),
        Some(("members", arguments)) => members::run(arguments),
        Some(("overhead", arguments)) => overhead::run(arguments),
        Some(("soak", arguments)) => standin::soak::run(arguments),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}
