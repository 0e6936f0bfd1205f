//! `standin plain`: the stand-in plain service as a process.

use auburnspoke::embedded::plain;
use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use tokio::sync::watch;

use crate::engine;

/// Returns the definition of the `plain` subcommand.
pub fn command() -> Command {
    Command::new("plain")
        .about("Serves a plain HTTP service that echoes and counts")
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0"),
        )
}

/// Runs the service until the process ends.
///
/// # Errors
/// Fails if the address is invalid or in use.
pub fn run(arguments: &ArgMatches) -> Result<()> {
    let address = arguments.get_one::<String>("listen");
    let listener = engine::listen(address.map_or("127.0.0.1:0", String::as_str))?;
    let (_sender, stop) = watch::channel(false);
    actix_rt::System::new().block_on(plain::serve(listener, stop))?;
    Ok(())
}
