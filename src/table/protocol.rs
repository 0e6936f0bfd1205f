//! What a client and the platform's stand-in say to each other: one CBOR
//! [`Call`] in a POST, one CBOR [`Answer`] back.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Fault, Page, Roster, Row, Store, Table, Transaction, Vm, Weight};

/// Path of every call.
pub const CALL_PATH: &str = "/call";
/// Path that takes a [`super::fault::Command`] as JSON.
pub const FAULT_PATH: &str = "/fault";
/// Path that answers [`super::memory::Counts`] as JSON.
pub const COUNTS_PATH: &str = "/counts";
/// Largest body each way, in bytes; it bounds an object.
pub const MAX_BODY: usize = 64 * 1024 * 1024;

/// One operation on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// [`super::Table::transact`].
    Transact(Transaction),
    /// [`super::Table::get`].
    Get {
        /// The row's key.
        key: String,
    },
    /// [`super::Table::scan`].
    Scan {
        /// What each key starts with.
        prefix: String,
        /// The key to go on after.
        after: String,
        /// Most rows to return.
        limit: usize,
    },
    /// [`super::Store::put`].
    PutObject {
        /// The object's name.
        name: String,
        /// The object.
        value: Bytes,
    },
    /// [`super::Store::get`].
    GetObject {
        /// The object's name.
        name: String,
    },
    /// [`super::Store::delete`].
    DeleteObject {
        /// The object's name.
        name: String,
    },
    /// [`super::Roster::list`].
    List,
    /// [`super::Weight::admit`].
    Admit {
        /// The model to load.
        model: String,
    },
    /// Puts a VM into the list, as the platform does when it starts one.
    Register(Vm),
}

/// What a call returns when it is not refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// It is done.
    Done,
    /// The version that a transaction gave to its rows.
    Version(u64),
    /// A row, if it is there.
    Row(Option<Row>),
    /// A page of rows.
    Page(Page),
    /// An object, if it is there.
    Object(Option<Bytes>),
    /// The list of VMs.
    List(Vec<Vm>),
}

/// The answer to a call.
pub type Answer = Result<Value, Fault>;

/// Whatever carries a call to the platform. Each carrier is a [`Table`], a
/// [`Store`], a [`Roster`] and a [`Weight`].
pub trait Transport {
    /// Does one operation.
    ///
    /// # Errors
    /// As the operation's own trait says.
    async fn call(&self, call: Call) -> Answer;
}

/// Turns the expected kind of value into a result. Any other kind means that
/// the answer can't be understood, and so that the effect is unknown.
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
