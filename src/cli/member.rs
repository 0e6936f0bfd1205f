//! `members`: lists the nodes.

use clap::{ArgMatches, Command};
use eyre::Result;

use super::{Exit, Output, output, remote};
use crate::rpc::v1;

pub(super) fn command() -> Command {
    remote::options(Command::new("members").about("List the nodes as one of them sees them"))
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&v1::ListMembersRequest {}).await })?;
    out.print(&answer, |answer| text(&answer.members))?;
    Ok(Exit::Done)
}

/// Formats the nodes as a table.
pub(super) fn text(members: &[v1::Member]) -> String {
    let rows: Vec<_> = members
        .iter()
        .map(|member| {
            [
                member.name.clone(),
                label(member.state()).to_owned(),
                member.zone.clone(),
                member.address.clone(),
                member.config_version.to_string(),
            ]
        })
        .collect();
    output::table(["NODE", "STATE", "ZONE", "ADDRESS", "CONFIG"], &rows)
}

pub(super) const fn label(state: v1::MemberState) -> &'static str {
    match state {
        v1::MemberState::Unspecified => "unknown",
        v1::MemberState::Alive => "alive",
        v1::MemberState::Suspect => "suspect",
        v1::MemberState::Dead => "dead",
        v1::MemberState::Leaving => "leaving",
    }
}
