//! Reads a TOML document key by key and collects every fault in it.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Invalid, Problem};

/// A problem with its position as a byte offset.
struct Fault {
    at: usize,
    place: String,
    message: String,
}

/// The faults found so far.
#[derive(Default)]
pub(crate) struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn add<M>(&mut self, at: usize, place: &str, message: M)
    where
        M: Into<String>,
    {
        self.0.push(Fault {
            at,
            place: place.to_owned(),
            message: message.into(),
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Converts the faults to problems in the order of the lines of `text`.
    pub(crate) fn into_invalid(mut self, text: &str) -> Invalid {
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

/// Parses a whole document. `read` reads the keys from the root section and adds every fault; a
/// document with a fault has no value.
///
/// # Errors
/// [`Invalid`] lists every problem, not only the first one.
pub(crate) fn parse<T, R>(text: &str, read: R) -> Result<T, Invalid>
where
    R: FnOnce(Section<'_>, &mut Faults) -> Option<T>,
{
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut faults = Faults::default();
    for error in &errors {
        let at = error.span().map_or(0, |span| span.start);
        faults.add(at, "", format!("this is not TOML: {}", error.message()));
    }
    if !faults.is_empty() {
        // The lines after a syntax error would be misread.
        return Err(faults.into_invalid(text));
    }
    match read(Section::root(&table), &mut faults) {
        Some(value) if faults.is_empty() => Ok(value),
        _ => Err(faults.into_invalid(text)),
    }
}

/// One table of the document; the root has an empty name.
pub(crate) struct Section<'d> {
    name: &'static str,
    table: Option<&'d DeTable<'d>>,
    at: usize,
    known: BTreeSet<&'static str>,
}

/// A value and its position.
pub(crate) struct Entry<'d> {
    pub(crate) value: &'d DeValue<'d>,
    pub(crate) span: Range<usize>,
    pub(crate) place: String,
}

impl<'d> Section<'d> {
    pub(crate) fn root(table: &'d Spanned<DeTable<'d>>) -> Self {
        Self {
            name: "",
            table: Some(table.get_ref()),
            at: 0,
            known: BTreeSet::new(),
        }
    }

    /// Returns the table `[name]`; an absent one reads as empty.
    pub(crate) fn section(&mut self, name: &'static str, faults: &mut Faults) -> Section<'d> {
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
                        describe(other)
                    ),
                ),
            }
        }
        section
    }

    /// Returns the value of `key`, and records the key as known.
    pub(crate) fn entry(&mut self, key: &'static str) -> Option<Entry<'d>> {
        self.known.insert(key);
        let value = self.table?.get(key)?;
        Some(Entry {
            value: value.get_ref(),
            span: value.span(),
            place: self.place(key),
        })
    }

    /// Like [`Section::entry`], but an absent key is a fault. `example` is a valid value for the
    /// message.
    pub(crate) fn require(
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

    /// Reports every unknown key.
    ///
    /// A misspelt key would otherwise leave its default in force, and the operator would notice
    /// only when the node does not behave as configured.
    pub(crate) fn finish(self, faults: &mut Faults) {
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
    /// Reads a string.
    pub(crate) fn text(&self, faults: &mut Faults) -> Option<&str> {
        let text = self.value.as_str();
        if text.is_none() {
            self.report(
                faults,
                format!("this is {}; write a string in quotes", describe(self.value)),
            );
        }
        text
    }

    /// Reads a whole number within the inclusive `bounds`.
    pub(crate) fn number(&self, bounds: (usize, usize), faults: &mut Faults) -> Option<usize> {
        let (min, max) = bounds;
        let number = self
            .value
            .as_integer()
            .and_then(|number| usize::from_str_radix(number.as_str(), number.radix()).ok());
        match number {
            Some(number) if (min..=max).contains(&number) => Some(number),
            _ => {
                self.report(
                    faults,
                    format!("write a whole number from {min} to {max}, without quotes"),
                );
                None
            }
        }
    }

    /// Reads a boolean.
    pub(crate) fn boolean(&self, faults: &mut Faults) -> Option<bool> {
        let boolean = self.value.as_bool();
        if boolean.is_none() {
            self.report(faults, "write true or false");
        }
        boolean
    }

    /// Reads a whole or decimal number within the inclusive `bounds`.
    pub(crate) fn decimal(&self, bounds: (f64, f64), faults: &mut Faults) -> Option<f64> {
        let (min, max) = bounds;
        let text = match self.value {
            DeValue::Integer(whole) => whole.as_str(),
            DeValue::Float(float) => float.as_str(),
            _ => "",
        };
        match text.parse() {
            Ok(number) if (min..=max).contains(&number) => Some(number),
            _ => {
                self.report(
                    faults,
                    format!("write a number from {min} to {max}, without quotes"),
                );
                None
            }
        }
    }

    /// Reads an IP address and a port.
    pub(crate) fn address(&self, faults: &mut Faults) -> Option<SocketAddr> {
        let text = self.text(faults)?;
        let message = match text.parse::<SocketAddr>() {
            Ok(address) => return Some(address),
            Err(_) if text.parse::<IpAddr>().is_ok() => {
                format!("`{text}` has no port; write it as \"{text}:7001\"")
            }
            Err(_) => format!(
                "`{text}` is not an address; write an IP address and a port, as in \"10.0.1.11:7001\""
            ),
        };
        self.report(faults, message);
        None
    }

    /// Adds a fault at this entry.
    pub(crate) fn report<M>(&self, faults: &mut Faults, message: M)
    where
        M: Into<String>,
    {
        faults.add(self.span.start, &self.place, message);
    }
}

/// Returns the type of a value with its indefinite article.
pub(crate) fn describe(value: &DeValue<'_>) -> String {
    let kind = value.type_str();
    let article = if kind.starts_with(['a', 'i']) {
        "an"
    } else {
        "a"
    };
    format!("{article} {kind}")
}
