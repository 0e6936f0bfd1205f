//! The auburnspoke program.

use std::process::ExitCode;

fn main() -> ExitCode {
    auburnspoke::cli::main(std::env::args_os()).into()
}
