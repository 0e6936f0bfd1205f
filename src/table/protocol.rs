//! Protocol between a client and the platform's stand-in: one CBOR [`Call`] in a
//! POST, one CBOR [`Answer`] back.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Fault, Page, Roster, Row, Store, Table, Transaction, Vm, Weight};

/// Path of every call.
pub const CALL_PATH: &str = "/call";
/// Path that accepts a [`super::fault::Command`] as JSON.
pub const FAULT_PATH: &str = "/fault";
/// Path that returns [`super::memory::Counts`] as JSON.
pub const COUNTS_PATH: &str = "/counts";
/// Maximum size of a request or answer body in bytes; it limits the size of an
/// object.
pub const MAX_BODY: usize = 64 * 1024 * 1024;

/// One operation on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// [`super::Table::transact`].
    Transact(Transaction),
    /// [`super::Table::get`].
    Get {
        /// Key of the row.
        key: String,
    },
    /// [`super::Table::scan`].
    Scan {
        /// Prefix of the keys.
        prefix: String,
        /// Key to continue after.
        after: String,
        /// Maximum number of rows to return.
        limit: usize,
    },
    /// [`super::Store::put`].
    PutObject {
        /// Name of the object.
        name: String,
        /// Content of the object.
        value: Bytes,
    },
    /// [`super::Store::get`].
    GetObject {
        /// Name of the object.
        name: String,
    },
    /// [`super::Store::delete`].
    DeleteObject {
        /// Name of the object.
        name: String,
    },
    /// [`super::Roster::list`].
    List,
    /// [`super::Weight::admit`].
    Admit {
        /// Model to load.
        model: String,
    },
    /// Adds a VM to the list, as the platform does when it starts one.
    Register(Vm),
}

/// Result of a call that is not refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// The operation is done.
    Done,
    /// Version that a transaction gave to its rows.
    Version(u64),
    /// A row, if it exists.
    Row(Option<Row>),
    /// A page of rows.
    Page(Page),
    /// An object, if it exists.
    Object(Option<Bytes>),
    /// The list of VMs.
    List(Vec<Vm>),
}

/// Answer to a call.
pub type Answer = Result<Value, Fault>;

/// Carries calls to the platform. Each transport is a [`Table`], a [`Store`], a
/// [`Roster`] and a [`Weight`].
pub trait Transport {
    /// Performs one operation.
    ///
    /// # Errors
    /// As documented for the operation's own trait.
    async fn call(&self, call: Call) -> Answer;
}

/// Converts the expected kind of value into a result. Any other kind means that
/// the answer cannot be interpreted, so the effect is unknown.
macro_rules! expect {
    ($answer:expr, $pattern:pat => $value:expr) => {
        match $answer? {
            $pattern => Ok($value),
            _ => Err(Fault::Unknown),
        }
    };
}

impl<E> Table for E
where
    E: Transport,
{
    async fn transact(&self, transaction: Transaction) -> Result<u64, Fault> {
        let answer = self.call(Call::Transact(transaction)).await;
        expect!(answer, Value::Version(version) => version)
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        let key = key.to_owned();
        expect!(self.call(Call::Get { key }).await, Value::Row(row) => row)
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Fault> {
        let call = Call::Scan {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        expect!(self.call(call).await, Value::Page(page) => page)
    }
}

impl<E> Store for E
where
    E: Transport,
{
    async fn put(&self, name: &str, value: Bytes) -> Result<(), Fault> {
        let name = name.to_owned();
        expect!(self.call(Call::PutObject { name, value }).await, Value::Done => ())
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Fault> {
        let name = name.to_owned();
        expect!(self.call(Call::GetObject { name }).await, Value::Object(object) => object)
    }

    async fn delete(&self, name: &str) -> Result<(), Fault> {
        let name = name.to_owned();
        expect!(self.call(Call::DeleteObject { name }).await, Value::Done => ())
    }
}

impl<E> Roster for E
where
    E: Transport,
{
    async fn list(&self) -> Result<Vec<Vm>, Fault> {
        expect!(self.call(Call::List).await, Value::List(list) => list)
    }
}

impl<E> Weight for E
where
    E: Transport,
{
    async fn admit(&self, model: &str) -> Result<(), Fault> {
        let model = model.to_owned();
        expect!(self.call(Call::Admit { model }).await, Value::Done => ())
    }
}
