//! Checks that the commands, links, exit codes, settings and tests named in the pages exist.

use std::collections::BTreeSet;
use std::path::Path;

use auburnspoke::cli::{self, Exit};
use auburnspoke::settings::Settings;
use googletest::prelude::*;

const PAGES: [&str; 9] = [
    "README.md",
    "CONTRIBUTING.md",
    "CHANGELOG.md",
    "docs/CLI.md",
    "docs/OPERATING.md",
    "docs/EVENTS.md",
    "docs/ARCHITECTURE.md",
    "docs/GLOSSARY.md",
    "docs/PROOFS.md",
];

fn read(page: &str) -> String {
    std::fs::read_to_string(page).unwrap()
}

/// Splits a shell line into words. Supports only what the pages use: double quotes, and an end at a
/// comment, a redirection or a pipe.
fn words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for letter in line.chars() {
        match letter {
            '"' => quoted = !quoted,
            '#' | '>' | '|' if !quoted => break,
            ' ' if !quoted => words.push(String::new()),
            other => words.last_mut().unwrap().push(other),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

#[gtest]
fn commands_parse() {
    let mut count = 0;
    for page in PAGES {
        for line in read(page).lines() {
            let line = line.trim_start().trim_start_matches("$ ");
            if !line.starts_with("auburnspoke ") || line.contains('<') {
                continue;
            }
            let parsed = cli::command().try_get_matches_from(words(line));
            expect_that!(
                parsed.err().map(|e| e.to_string()),
                none(),
                "{page}: {line}"
            );
            count += 1;
        }
    }
    expect_that!(count, ge(15));
}

#[gtest]
fn links_exist() {
    for page in PAGES {
        let folder = Path::new(page).parent().unwrap();
        for link in read(page).split("](").skip(1) {
            let target = link.split([')', '#']).next().unwrap();
            if !target.is_empty() && !target.starts_with("http") {
                expect_that!(folder.join(target).exists(), eq(true), "{page}: {target}");
            }
        }
    }
}

/// Returns the cells of the first table after `heading`, row by row and without backquotes.
fn rows(page: &str, heading: &str) -> Vec<Vec<String>> {
    let text = read(page);
    let (_, after) = text.split_once(heading).unwrap();
    let table = after.lines().skip_while(|line| !line.starts_with('|'));
    table
        .take_while(|line| line.starts_with('|'))
        .skip(2)
        .map(|line| {
            let cells = line.trim_matches('|').split('|');
            cells.map(|cell| cell.trim().replace('`', "")).collect()
        })
        .collect()
}

#[gtest]
fn commands_listed() {
    let mut defined = BTreeSet::new();
    for command in cli::command().get_subcommands() {
        let subcommands: Vec<_> = command.get_subcommands().collect();
        if subcommands.is_empty() {
            defined.insert(command.get_name().to_owned());
        }
        for subcommand in subcommands {
            defined.insert(format!("{} {}", command.get_name(), subcommand.get_name()));
        }
    }
    let listed: BTreeSet<_> = rows("docs/CLI.md", "# Command line")
        .into_iter()
        .map(|row| row[0].clone())
        .collect();
    expect_that!(listed, eq(&defined));
}

#[gtest]
fn exit_codes_listed() {
    let all = [
        Exit::Done,
        Exit::Failed,
        Exit::Usage,
        Exit::Input,
        Exit::NotRun,
        Exit::MayHaveRun,
        Exit::Unreachable,
        Exit::Incomplete,
    ];
    let codes: Vec<_> = all.iter().map(|exit| exit.code().to_string()).collect();
    let listed: Vec<_> = rows("docs/CLI.md", "## Exit codes")
        .into_iter()
        .map(|row| row[0].clone())
        .collect();
    expect_that!(listed, eq(&codes));
}

#[gtest]
fn setting_defaults_listed() {
    let mut text = Vec::new();
    let mut plain = Vec::new();
    for row in rows("docs/CLI.md", "## Settings") {
        let required = match &*row[0] {
            "listen.callers" => "\"10.0.0.1:1\"",
            "listen.link" => "\"10.0.0.1:2\"",
            "listen.control" => "\"10.0.0.1:3\"",
            "platform.address" => "\"10.0.0.9:1\"",
            _ => "\"a\"",
        };
        if row[1] == "required" {
            plain.push(format!("{} = {required}\n", row[0]));
        } else {
            text.push(format!("{} = {}\n", row[0], row[1]));
        }
    }
    expect_that!(text.len(), eq(11));
    let plain = plain.concat();
    let listed = Settings::parse(&format!("{plain}{}", text.concat()));
    expect_that!(listed, ok(eq(&Settings::parse(&plain).unwrap())));
}

#[gtest]
fn proofs_name_tests() {
    // A proof must not refer to a test that has been removed or renamed.
    let mut count = 0;
    for line in read("docs/PROOFS.md").lines() {
        let mut file = String::new();
        for quoted in line.split('`').skip(1).step_by(2) {
            let words: Vec<_> = quoted.split(' ').collect();
            let path = format!("tests/{}.rs", words[0]);
            let tests = if Path::new(&path).exists() {
                file = read(&path);
                &words[1..]
            } else {
                &words[..1]
            };
            for test in tests {
                if !file.is_empty() {
                    let found = file.contains(&format!("fn {test}("));
                    expect_that!(found, eq(true), "{path} {test}");
                    count += 1;
                }
            }
        }
    }
    expect_that!(count, ge(50));
}
