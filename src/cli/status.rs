//! `status`: prints the nodes, the endpoints and the state of the configuration.

use clap::{ArgMatches, Command};
use eyre::Result;
use serde_json::json;

use super::{Exit, Output, config, endpoint, member, output, remote};
use crate::rpc::v1;

pub(super) fn command() -> Command {
    remote::options(
        Command::new("status")
            .about("Show nodes, endpoints and where the configuration is in force"),
    )
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let client = remote::client(matches);
    let (members, endpoints, versions) = remote::block_on(async {
        let members = client.call(&v1::ListMembersRequest {}).await?;
        let endpoints = client.call(&v1::ListEndpointsRequest {}).await?;
        let versions = client.call(&v1::ConfigStatusRequest {}).await?;
        Ok::<_, eyre::Report>((members, endpoints, versions))
    })?;
    if out.is_json() {
        let page = json!({"members": members, "endpoints": endpoints, "config": versions});
        output::write_line(&page.to_string())?;
        return Ok(Exit::Done);
    }
    output::write_line(&member::text(&members.members))?;
    output::write_line(&endpoint::text(&endpoints.endpoints))?;
    output::write_line(config::summary(&versions).trim_end())?;
    Ok(Exit::Done)
}
