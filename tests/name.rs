//! Valid and invalid names.

use auburnspoke::name;
use googletest::prelude::*;

#[gtest]
fn is_valid_ordinary() {
    expect_that!(name::is_valid("payment-run.v2"), eq(true));
}

#[gtest]
fn is_valid_empty() {
    expect_that!(name::is_valid(""), eq(false));
}

#[gtest]
fn is_valid_separator() {
    expect_that!(name::is_valid("a/b"), eq(false));
}

#[gtest]
fn is_valid_too_long() {
    expect_that!(name::is_valid(&"x".repeat(name::MAX_LEN + 1)), eq(false));
}
