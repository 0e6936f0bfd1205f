//! How the program exits. docs/CLI.md lists the codes for scripts.

use std::process::ExitCode;

use eyre::Report;

use super::remote::Input;
use crate::rpc::client;
use crate::settings;

/// The program's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what it was asked.
    Done,
    /// Something else than the following failed.
    Failed,
    /// The command line is wrong.
    Usage,
    /// A file, or what was typed, is wrong; nothing was sent.
    Input,
    /// The system refused, and nothing has run or changed.
    NotRun,
    /// The answer is missing or broke off: it may have run.
    MayHaveRun,
    /// No node could be reached; nothing was sent.
    Unreachable,
    /// The job ended, but not every item has a result.
    Incomplete,
}

impl Exit {
    /// The number that the shell sees.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Input => 3,
            Self::NotRun => 4,
            Self::MayHaveRun => 5,
            Self::Unreachable => 6,
            Self::Incomplete => 7,
        }
    }

    /// The code for a failure, from the first cause that is known.
    pub fn of(report: &Report) -> Self {
        if let Some(error) = report.downcast_ref::<client::Error>() {
            return match error {
                client::Error::Refused(refusal) if refusal.not_run => Self::NotRun,
                client::Error::Refused(_) | client::Error::Lost(_) => Self::MayHaveRun,
                client::Error::Unreachable { .. } => Self::Unreachable,
            };
        }
        let input = report.downcast_ref::<Input>().is_some()
            || report.downcast_ref::<settings::Invalid>().is_some();
        if input { Self::Input } else { Self::Failed }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
