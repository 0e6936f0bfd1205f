//! Operations of operators on the configuration, in the types of the schema.

use super::check::{self, Problem};
use super::commit::{self, Accepted, Announce, Error, Request};
use super::row::{self, Change, HISTORY_PREFIX};
use super::{Document, convert};
use crate::rpc::v1;
use crate::table::Table;

/// Attempts to apply an edit to a newer document after concurrent changes. Each
/// conflict means that another change was accepted, so the fleet makes progress;
/// the limit bounds how long one operator waits.
const MAX_MERGE_ATTEMPTS: u32 = 8;
/// Default number of history entries returned.
const HISTORY_LIMIT: u32 = 20;
/// Maximum number of history entries returned.
const MAX_HISTORY: u32 = 1_000;

/// Identifier and time of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Random identifier, used for this change alone.
    pub id: u64,
    /// Wall-clock time in milliseconds since 1970, for display only.
    pub at_ms: u64,
}

/// A change of one entry, which can be applied to any document.
#[derive(Clone, Debug, PartialEq)]
enum Edit {
    Service(v1::Service),
    Endpoint(v1::Endpoint),
    RemoveEndpoint(String),
}

/// Author of a change, its reason, and whether it is a dry run.
#[derive(Clone, Debug)]
struct Author {
    name: String,
    note: String,
    dry_run: bool,
}

/// Changes and reads the configuration in the table.
#[derive(Clone, Debug)]
pub struct Operator<T, A> {
    table: T,
    announce: A,
}

impl<T, A> Operator<T, A>
where
    T: Table,
    A: Announce,
{
    /// Creates an operator on `table` that announces changes through `announce`.
    pub const fn new(table: T, announce: A) -> Self {
        Self { table, announce }
    }

    /// Returns the document in the table; version 0 if there is none yet.
    ///
    /// # Errors
    /// [`Error::Refused`] if the table cannot be read.
    pub async fn get(&self) -> Result<Document, Error> {
        commit::read(&self.table).await
    }

    /// Replaces the whole document if its version is still the expected one.
    ///
    /// # Errors
    /// [`Error`]; only [`Error::Unknown`] leaves open whether it was accepted.
    pub async fn apply(
        &self,
        stamp: Stamp,
        request: v1::ApplyConfigRequest,
    ) -> Result<Accepted, Error> {
        let config = request.config.unwrap_or_default();
        let author = Author {
            name: request.author,
            note: request.note,
            dry_run: request.dry_run,
        };
        self.commit(stamp, request.expect_version, &config, &author)
            .await
    }

    /// Adds or replaces one service.
    ///
    /// # Errors
    /// As for [`Operator::apply`].
    pub async fn apply_service(
        &self,
        stamp: Stamp,
        request: v1::ApplyServiceRequest,
    ) -> Result<Accepted, Error> {
        let edit = Edit::Service(request.service.unwrap_or_default());
        let author = Author {
            name: request.author,
            note: request.note,
            dry_run: request.dry_run,
        };
        self.merge(stamp, &edit, &author).await
    }

    /// Adds or replaces one endpoint.
    ///
    /// # Errors
    /// As for [`Operator::apply`].
    pub async fn add_endpoint(
        &self,
        stamp: Stamp,
        request: v1::AddEndpointRequest,
    ) -> Result<Accepted, Error> {
        let edit = Edit::Endpoint(request.endpoint.unwrap_or_default());
        let author = Author {
            name: request.author,
            note: request.note,
            dry_run: request.dry_run,
        };
        self.merge(stamp, &edit, &author).await
    }

    /// Removes one endpoint.
    ///
    /// # Errors
    /// As for [`Operator::apply`]; [`Error::Invalid`] if there is no endpoint of
    /// that name.
    pub async fn remove_endpoint(
        &self,
        stamp: Stamp,
        request: v1::RemoveEndpointRequest,
    ) -> Result<Accepted, Error> {
        let edit = Edit::RemoveEndpoint(request.name);
        let author = Author {
            name: request.author,
            note: request.note,
            dry_run: false,
        };
        self.merge(stamp, &edit, &author).await
    }

    /// Returns past changes, newest first; a limit of 0 means twenty.
    ///
    /// # Errors
    /// [`Error::Refused`] if the table cannot be read.
    pub async fn history(&self, limit: u32) -> Result<v1::ConfigHistoryResponse, Error> {
        let limit = if limit == 0 { HISTORY_LIMIT } else { limit };
        let limit = limit.min(MAX_HISTORY) as usize;
        let page = self.table.scan(HISTORY_PREFIX, "", limit).await?;
        let changes = page
            .rows
            .iter()
            .filter_map(|found| row::decode::<Change>(&found.value));
        Ok(v1::ConfigHistoryResponse {
            changes: changes.map(convert::change).collect(),
        })
    }

    /// Applies `edit` to the newest document and repeats this after concurrent
    /// changes.
    async fn merge(&self, stamp: Stamp, edit: &Edit, author: &Author) -> Result<Accepted, Error> {
        let mut last = 0;
        for _ in 0..MAX_MERGE_ATTEMPTS {
            let document = commit::read(&self.table).await?;
            let mut config = convert::to_schema(&document);
            apply_edit(edit, &mut config).map_err(|problem| Error::Invalid(vec![problem]))?;
            match self.commit(stamp, document.version, &config, author).await {
                Err(Error::Conflict { current }) => last = current,
                verdict => return verdict,
            }
        }
        Err(Error::Conflict { current: last })
    }

    async fn commit(
        &self,
        stamp: Stamp,
        expect: u64,
        config: &v1::Config,
        author: &Author,
    ) -> Result<Accepted, Error> {
        let document = check::document(config).map_err(Error::Invalid)?;
        let request = Request {
            expect,
            document,
            author: author.name.clone(),
            note: author.note.clone(),
            id: stamp.id,
            at_ms: stamp.at_ms,
            dry_run: author.dry_run,
        };
        commit::apply(&self.table, &self.announce, request).await
    }
}

fn apply_edit(edit: &Edit, config: &mut v1::Config) -> Result<(), Problem> {
    match edit {
        Edit::Service(service) => {
            replace(&mut config.services, service, |other| &other.name);
        }
        Edit::Endpoint(endpoint) => {
            replace(&mut config.endpoints, endpoint, |other| &other.name);
        }
        Edit::RemoveEndpoint(name) => {
            let before = config.endpoints.len();
            config.endpoints.retain(|endpoint| endpoint.name != *name);
            if config.endpoints.len() == before {
                return Err(Problem {
                    place: "name".into(),
                    message: format!("there is no endpoint {name:?}; list them to see the names"),
                });
            }
        }
    }
    Ok(())
}

fn replace<E, N>(entries: &mut Vec<E>, entry: &E, name: N)
where
    E: Clone,
    N: Fn(&E) -> &str,
{
    match entries.iter_mut().find(|other| name(other) == name(entry)) {
        Some(other) => other.clone_from(entry),
        None => entries.push(entry.clone()),
    }
}
