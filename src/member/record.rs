//! A member together with the identity of its process.
//!
//! docs/design/members.md explains why names, boot numbers and incarnations are
//! needed.

use std::fmt;
use std::hash::Hasher;

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::{Member, State};

/// A member and the identity of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The member.
    pub member: Member,
    /// Random number drawn at process start. It distinguishes two processes with
    /// the same name and breaks ties between them; it is not a timestamp.
    pub boot: u64,
}

/// Precedence of a state among records with the same incarnation.
const fn rank(state: State) -> u8 {
    match state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Leaving => 2,
        State::Dead => 3,
    }
}

impl Record {
    /// Returns true if this record is newer than `known`.
    ///
    /// Frames may be delayed, duplicated and reordered. A total order on records
    /// makes every node converge to the same one, whatever the order of arrival.
    pub fn supersedes(&self, known: &Self) -> bool {
        let order = |r: &Self| (r.member.incarnation, r.boot, rank(r.member.state));
        order(self) > order(known)
    }

    /// Returns a hash of the fields on which two nodes must agree.
    ///
    /// Suspicions are temporary and the configuration version is disseminated
    /// separately, so neither is included.
    pub fn digest(&self) -> u32 {
        let mut hash = Xxh3::new();
        hash.update(self.member.name.as_bytes());
        hash.write_u64(self.boot);
        hash.write_u64(self.member.incarnation);
        hash.write_u8(u8::from(self.member.state == State::Leaving));
        let folded = hash.finish();
        u32::try_from(folded >> 32).unwrap_or_default()
    }

    /// Returns a hash that identifies the name and process.
    ///
    /// The probability of a collision among 330 members is one in 10^14. Its
    /// effect would be that the status of a change briefly names the wrong
    /// member.
    pub fn fingerprint(&self) -> u64 {
        xxh3_64_with_seed(self.member.name.as_bytes(), self.boot)
    }

    /// Returns the maximum encoded size of the record in bytes.
    pub fn size(&self) -> usize {
        let member = &self.member;
        let text = [
            &member.name,
            &member.address,
            &member.link,
            &member.control,
            &member.zone,
        ];
        let names: usize = text.iter().map(|name| name.len() + 3).sum();
        names + 3 * 9 + 8 + 3
    }
}

/// Number of elements of an encoded record.
const FIELDS: usize = 10;

impl Serialize for Record {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.member.name)?;
        tuple.serialize_element(&self.member.address)?;
        tuple.serialize_element(&self.member.link)?;
        tuple.serialize_element(&self.member.control)?;
        tuple.serialize_element(&self.member.zone)?;
        tuple.serialize_element(&self.member.incarnation)?;
        tuple.serialize_element(&rank(self.member.state))?;
        tuple.serialize_element(&self.member.config_version)?;
        tuple.serialize_element(&self.boot)?;
        tuple.serialize_element(&self.member.power)?;
        tuple.end()
    }
}

struct Fields;

impl<'de> Visitor<'de> for Fields {
    type Value = Record;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a record of {FIELDS} elements")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Record, A::Error>
    where
        A: SeqAccess<'de>,
    {
        fn next<'de, T, A>(seq: &mut A, at: usize) -> Result<T, A::Error>
        where
            T: Deserialize<'de>,
            A: SeqAccess<'de>,
        {
            seq.next_element()?
                .ok_or_else(|| A::Error::invalid_length(at, &Fields))
        }
        let mut member = Member {
            name: next(&mut seq, 0)?,
            address: next(&mut seq, 1)?,
            link: next(&mut seq, 2)?,
            control: next(&mut seq, 3)?,
            zone: next(&mut seq, 4)?,
            incarnation: next(&mut seq, 5)?,
            state: match next(&mut seq, 6)? {
                0_u8 => State::Alive,
                1 => State::Suspect,
                2 => State::Leaving,
                3 => State::Dead,
                other => return Err(A::Error::custom(format_args!("state {other} is unknown"))),
            },
            config_version: next(&mut seq, 7)?,
            power: 0,
        };
        let boot = next(&mut seq, 8)?;
        member.power = next(&mut seq, 9)?;
        Ok(Record { member, boot })
    }
}

impl<'de> Deserialize<'de> for Record {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_tuple(FIELDS, Fields)
    }
}
