//! `standin platform`: the stand-in platform as a process.

use std::net::SocketAddr;

use auburnspoke::embedded;
use auburnspoke::http;
use auburnspoke::table::fault::Command as Fault;
use auburnspoke::table::memory::Platform;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{OptionExt as _, Result, WrapErr as _};
use tokio::sync::watch;

/// Returns the definition of the `platform` subcommand.
pub fn command() -> Command {
    Command::new("platform")
        .about("Table, object store, list of VMs and weight store, with faults on command")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ip:port")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("Where to listen; port 0 lets the system choose"),
        )
        .arg(number("seed", "1", "Seed of everything random"))
        .arg(number(
            "writes",
            "600",
            "Rows and objects written a second; 0 is no bound",
        ))
        .arg(number("reads", "2000", "Reads a second; 0 is no bound"))
        .arg(number(
            "lag-ms",
            "2000",
            "How far the list of VMs lags, in milliseconds",
        ))
        .arg(number(
            "loads",
            "120",
            "Loads that the weight store admits a minute; 0 is no bound",
        ))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("number")
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}

/// Runs the platform until the process is killed.
pub fn run(arguments: &ArgMatches) -> Result<()> {
    let read = |name: &str| -> Result<u32> {
        arguments
            .get_one(name)
            .copied()
            .ok_or_eyre("an argument is missing")
    };
    let address: SocketAddr = *arguments
        .get_one("listen")
        .ok_or_eyre("--listen is missing; write ip:port, such as 127.0.0.1:0")?;
    let platform = Platform::new(u64::from(read("seed")?));
    platform.command(&Fault::Limit {
        writes: read("writes")?,
        reads: read("reads")?,
    });
    platform.command(&Fault::Lag {
        ms: u64::from(read("lag-ms")?),
    });
    platform.command(&Fault::Weight {
        per_minute: read("loads")?,
        burst: 4,
    });
    let listener =
        http::listen(address).wrap_err_with(|| format!("could not listen on {address}"))?;
    println!("listening {}", listener.local_addr()?);
    let (_sender, stop) = watch::channel(false);
    actix_rt::System::new()
        .block_on(embedded::platform::serve(platform, listener, stop))
        .wrap_err("the stand-in platform stopped")
}
