//! The auburnspoke program.

fn main() {}
