//! The program's exit codes. docs/CLI.md lists them for scripts.

use std::process::ExitCode;

use eyre::Report;

use super::remote::Invalid;
use crate::rpc::client;
use crate::settings;

/// The program's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed for a reason that no other code covers.
    Failed,
    /// The command line is invalid.
    Usage,
    /// A file or an argument is invalid; nothing was sent.
    Input,
    /// The request was refused, and nothing has run or changed.
    NotRun,
    /// The response is missing or incomplete, so that the request may have run.
    MayHaveRun,
    /// No node could be reached; nothing was sent.
    Unreachable,
    /// The job ended, but not every item has a result.
    Incomplete,
}

impl Exit {
    /// Returns the process's exit status.
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

    /// Returns the code for an error, by the type of its cause.
    pub fn of(report: &Report) -> Self {
        if let Some(error) = report.downcast_ref::<client::Error>() {
            return match error {
                client::Error::Refused(refusal) if refusal.not_run => Self::NotRun,
                client::Error::Refused(_) | client::Error::Lost(_) => Self::MayHaveRun,
                client::Error::Unreachable { .. } => Self::Unreachable,
            };
        }
        let is_invalid = report.downcast_ref::<Invalid>().is_some()
            || report.downcast_ref::<settings::Invalid>().is_some();
        if is_invalid {
            Self::Input
        } else {
            Self::Failed
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
