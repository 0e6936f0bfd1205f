//! The auburnspoke program.

use std::path::Path;
use std::process::ExitCode;

use auburnspoke::{node, settings::Settings};

fn main() -> ExitCode {
    env_logger::Builder::from_default_env().init();
    let Some(path) = std::env::args().nth(3) else {
        eprintln!("use: auburnspoke serve --settings FILE");
        return ExitCode::from(2);
    };
    let result = Settings::read(Path::new(&path)).and_then(|settings| node::run(&settings));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("auburnspoke: {error:#}");
            ExitCode::FAILURE
        }
    }
}
