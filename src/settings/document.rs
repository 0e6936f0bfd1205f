//! A TOML document that is read key by key and remembers what is wrong in it.

use std::collections::BTreeSet;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Invalid, Problem};

/// A problem with its place in bytes.
struct Fault {
    at: usize,
    place: String,
    message: String,
}

/// The faults found so far.
#[derive(Default)]
pub(super) struct Faults(Vec<Fault>);

impl Faults {
    pub(super) fn add<M>(&mut self, at: usize, place: &str, message: M)
    where
        M: Into<String>,
    {
        self.0.push(Fault {
            at,
            place: place.to_owned(),
            message: message.into(),
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The faults by line of `text`.
    pub(super) fn into_invalid(mut self, text: &str) -> Invalid {
        self.0.sort_by_key(|fault| fault.at);
        let problems = self.0.into_iter().map(|fault| {
            let before = text.get(..fault.at).unwrap_or(text);
            let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
            Problem {
                line: before.matches('\n').count() + 1,
                column: before[line_start..].chars().count() + 1,
                place: fault.place,
                message: fault.message,
            }
        });
        Invalid(problems.collect())
    }
}

/// One table of the document; the empty name is the document itself.
pub(super) struct Section<'d> {
    name: &'static str,
    table: Option<&'d DeTable<'d>>,
    at: usize,
    known: BTreeSet<&'static str>,
}

/// A value and where it stands.
pub(super) struct Entry<'d> {
    pub(super) value: &'d DeValue<'d>,
    pub(super) span: Range<usize>,
    pub(super) place: String,
}

impl<'d> Section<'d> {
    pub(super) fn root(table: &'d Spanned<DeTable<'d>>) -> Self {
        Self {
            name: "",
            table: Some(table.get_ref()),
            at: 0,
            known: BTreeSet::new(),
        }
    }

    /// The table `[name]`; one that is absent reads as empty.
    pub(super) fn section(&mut self, name: &'static str, faults: &mut Faults) -> Section<'d> {
        let mut section = Section {
            name,
            table: None,
            at: 0,
            known: BTreeSet::new(),
        };
        if let Some(entry) = self.entry(name) {
            section.at = entry.span.start;
            match entry.value {
                DeValue::Table(table) => section.table = Some(table),
                other => faults.add(
                    entry.span.start,
                    name,
                    format!(
                        "this is {}; write a table that begins with [{name}]",
                        article(other)
                    ),
                ),
            }
        }
        section
    }

    /// The value of `key`, which is known from now on.
    pub(super) fn entry(&mut self, key: &'static str) -> Option<Entry<'d>> {
        self.known.insert(key);
        let value = self.table?.get(key)?;
        Some(Entry {
            value: value.get_ref(),
            span: value.span(),
            place: self.place(key),
        })
    }

    /// As [`Section::entry`], but its absence is a fault. `example` is what a
    /// user could write.
    pub(super) fn require(
        &mut self,
        key: &'static str,
        example: &str,
        faults: &mut Faults,
    ) -> Option<Entry<'d>> {
        let entry = self.entry(key);
        if entry.is_none() {
            let place = self.place(key);
            let heading = if self.name.is_empty() || self.table.is_some() {
                String::new()
            } else {
                format!(" under [{}]", self.name)
            };
            faults.add(
                self.at,
                &place,
                format!("is missing; add {key} = {example}{heading}"),
            );
        }
        entry
    }

    /// Faults every key that nobody asked for.
    ///
    /// A misspelt key would otherwise leave its default in force, and the
    /// operator would notice only when the node behaves otherwise than written.
    pub(super) fn finish(self, faults: &mut Faults) {
        let Some(table) = self.table else { return };
        for key in table.keys() {
            let name: &str = key.get_ref();
            if self.known.contains(name) {
                continue;
            }
            let advice = match self.closest(name) {
                Some(known) => format!("unknown key; did you mean {known}?"),
                None => format!("unknown key; known here: {}", self.names()),
            };
            faults.add(key.span().start, &self.place(name), advice);
        }
    }

    fn closest(&self, name: &str) -> Option<&'static str> {
        let near = |known: &&str| strsim::damerau_levenshtein(known, name) <= 2;
        self.known.iter().copied().find(near)
    }

    fn names(&self) -> String {
        self.known.iter().copied().collect::<Vec<_>>().join(", ")
    }

    fn place(&self, key: &str) -> String {
        if self.name.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.name)
        }
    }
}

impl Entry<'_> {
    /// The text of a string.
    pub(super) fn text(&self, faults: &mut Faults) -> Option<&str> {
        let text = self.value.as_str();
        if text.is_none() {
            self.fault(
                faults,
                format!("this is {}; write a string in quotes", article(self.value)),
            );
        }
        text
    }

    /// A whole number in `bounds`, both ends included.
    pub(super) fn number(&self, bounds: (usize, usize), faults: &mut Faults) -> Option<usize> {
        let (least, most) = bounds;
        let number = self
            .value
            .as_integer()
            .and_then(|number| usize::from_str_radix(number.as_str(), number.radix()).ok());
        match number {
            Some(number) if (least..=most).contains(&number) => Some(number),
            _ => {
                self.fault(
                    faults,
                    format!("write a whole number from {least} to {most}, without quotes"),
                );
                None
            }
        }
    }

    pub(super) fn fault<M>(&self, faults: &mut Faults, message: M)
    where
        M: Into<String>,
    {
        faults.add(self.span.start, &self.place, message);
    }
}

/// What kind of value it is, with its article.
pub(super) fn article(value: &DeValue<'_>) -> String {
    let kind = value.type_str();
    let article = if kind.starts_with(['a', 'i']) {
        "an"
    } else {
        "a"
    };
    format!("{article} {kind}")
}
