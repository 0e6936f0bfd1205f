//! Differences between two documents, one line each.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use super::Document;
use crate::name::Name;

/// Returns one line per change: `+` added, `-` removed, `~` replaced, with the
/// fields that differ. No lines mean that the documents are equal.
pub fn lines(old: &Document, new: &Document) -> Vec<String> {
    let mut lines = Vec::new();
    compare("service", &old.services, &new.services, &mut lines);
    compare("endpoint", &old.endpoints, &new.endpoints, &mut lines);
    compare(
        "organisation",
        &old.organisations,
        &new.organisations,
        &mut lines,
    );
    lines
}

fn compare<T>(kind: &str, old: &BTreeMap<Name, T>, new: &BTreeMap<Name, T>, lines: &mut Vec<String>)
where
    T: Serialize + PartialEq,
{
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        lines.push(format!("- {kind} {name}"));
    }
    for (name, value) in new {
        match old.get(name) {
            None => lines.push(format!("+ {kind} {name}")),
            Some(before) if before != value => {
                lines.push(format!("~ {kind} {name}: {}", fields(before, value)));
            }
            Some(_) => {}
        }
    }
}

/// Returns the fields that differ, as `field old -> new`.
fn fields<T>(old: &T, new: &T) -> String
where
    T: Serialize,
{
    // Documents are plain data, so serialisation cannot fail.
    let old = serde_json::to_value(old).unwrap_or(Value::Null);
    let new = serde_json::to_value(new).unwrap_or(Value::Null);
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        return "replaced".into();
    };
    let changed = new.iter().filter_map(|(field, value)| {
        let before = old.get(field).unwrap_or(&Value::Null);
        (before != value).then(|| format!("{field} {before} -> {value}"))
    });
    changed.collect::<Vec<_>>().join(", ")
}
