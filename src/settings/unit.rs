//! Durations in text: a whole number and its unit.

use std::time::Duration;

/// Parses a duration such as `250ms`, `30s`, `5m`, `12h` or `1d`.
///
/// # Errors
/// A message with the expected form.
pub fn duration(text: &str) -> Result<Duration, String> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let millis = match unit.trim_start() {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return Err(expected_form(text)),
    };
    let number: u64 = number.parse().map_err(|_| expected_form(text))?;
    number
        .checked_mul(millis)
        .map(Duration::from_millis)
        .ok_or_else(|| format!("`{text}` is too long; write a shorter duration"))
}

fn expected_form(text: &str) -> String {
    format!("`{text}` is not a duration; write a whole number with ms, s, m, h or d, as in \"30s\"")
}
