//! Agreement of the catalogue of events in docs/EVENTS.md with the code.

use std::collections::BTreeSet;
use std::path::Path;

use auburnspoke::event;
use googletest::prelude::*;

/// Returns the number and name of each row of the catalogue.
fn rows() -> Vec<(String, String)> {
    let text = std::fs::read_to_string("docs/EVENTS.md").unwrap();
    text.lines()
        .filter(|line| line.starts_with("| E"))
        .map(|line| {
            let cells: Vec<_> = line.split('|').map(str::trim).collect();
            (cells[1].to_owned(), cells[2].to_owned())
        })
        .collect()
}

#[gtest]
fn catalogue_matches_code() {
    let code: Vec<_> = event::ALL
        .iter()
        .map(|event| (format!("E{:03}", event.number), event.name.to_owned()))
        .collect();
    expect_that!(rows(), eq(&code));
}

#[gtest]
fn catalogue_unique() {
    let numbers: BTreeSet<_> = event::ALL.iter().map(|event| event.number).collect();
    let names: BTreeSet<_> = event::ALL.iter().map(|event| event.name).collect();
    expect_that!(numbers.len(), eq(event::ALL.len()));
    expect_that!(names.len(), eq(event::ALL.len()));
}

#[gtest]
fn catalogue_logged_or_reserved() {
    // The catalogue must mark exactly those events as reserved that no code logs: otherwise
    // operators wait for a line that never appears, or get one that is documented as unused.
    let mut source = String::new();
    read(Path::new("src"), &mut source);
    let text = std::fs::read_to_string("docs/EVENTS.md").unwrap();
    for event in event::ALL {
        let logged = source.contains(&format!("event::{}", event.name.to_uppercase()));
        let row = format!("| E{:03} |", event.number);
        let reserved = text
            .lines()
            .any(|line| line.starts_with(&row) && line.contains("| Reserved. |"));
        expect_that!(reserved, eq(!logged), "{event}");
    }
}

/// Appends every source file under `folder`.
fn read(folder: &Path, text: &mut String) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}
