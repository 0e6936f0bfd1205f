//! `standin engine`: the stand-in model engine as a process.

use std::net::SocketAddr;

use auburnspoke::embedded::engine::{self, Fault, Parameters, Setting};
use auburnspoke::http;
use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::{Result, WrapErr as _};
use tokio::sync::watch;

/// Returns the definition of the `engine` subcommand.
pub fn command() -> Command {
    Command::new("engine")
        .about("Serves a model engine that batches continuously")
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0"),
        )
        .arg(Arg::new("name").long("name").default_value("engine"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(clap::value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("faster")
                .long("faster")
                .value_parser(clap::value_parser!(f64))
                .default_value("1")
                .help("Divide every cost by this"),
        )
        .arg(
            Arg::new("parameters")
                .long("parameters")
                .default_value("{}")
                .help("JSON of the cost model's parameters that differ from the defaults"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .default_value("{}")
                .help("JSON of the faults to start with"),
        )
        .arg(
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue),
        )
}

/// Runs the engine until the process ends.
///
/// # Errors
/// Fails if an argument is invalid or the port is in use.
pub fn run(arguments: &ArgMatches) -> Result<()> {
    let parameters: Parameters = serde_json::from_str(text(arguments, "parameters"))
        .wrap_err("--parameters is not valid; see docs/design/engine.md")?;
    let fault: Fault = serde_json::from_str(text(arguments, "fault"))
        .wrap_err("--fault is not valid; see docs/design/engine.md")?;
    let faster = arguments.get_one::<f64>("faster").copied().unwrap_or(1.0);
    let setting = Setting {
        name: text(arguments, "name").into(),
        parameters: parameters.faster(faster),
        seed: arguments.get_one::<u64>("seed").copied().unwrap_or(1),
        checks_fencing: arguments.get_flag("checks-fencing"),
        fault,
        exit_on_crash: true,
    };
    let listener = listen(text(arguments, "listen"))?;
    let (_sender, stop) = watch::channel(false);
    actix_rt::System::new().block_on(engine::serve(listener, stop, setting))?;
    Ok(())
}

/// Binds the address and prints it, so that the parent process can read which port was chosen.
///
/// # Errors
/// Fails if the address is invalid or in use.
pub fn listen(address: &str) -> Result<std::net::TcpListener> {
    let address: SocketAddr = address
        .parse()
        .wrap_err("--listen is not an address; write ip:port, such as 127.0.0.1:0")?;
    let listener =
        http::listen(address).wrap_err_with(|| format!("could not listen on {address}"))?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

fn text<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}
