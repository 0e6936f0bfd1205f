//! The text that `/metrics` returns.

use std::time::Duration;

use auburnspoke::metric::Metrics;
use auburnspoke::outcome::Reason;
use auburnspoke::request::Class;
use googletest::prelude::*;

#[gtest]
fn text_each_reason() {
    // A counter that appears only with its first increment can't be distinguished from a missing
    // one, and an alert on it would never fire.
    let text = Metrics::new().text();
    for name in ["refused", "retried"] {
        for class in Class::ALL {
            for reason in Reason::ALL {
                let line = format!(
                    "auburnspoke_{name}_total{{class=\"{}\",reason=\"{}\"}} 0",
                    class.label(),
                    reason.label()
                );
                expect_that!(text, contains_substring(line));
            }
        }
    }
}

#[gtest]
fn text_counted() {
    let metrics = Metrics::new();
    metrics.count_refusal(Class::Online, Reason::Overloaded);
    metrics.count_retry(Class::Batch, Reason::LinkFailed);
    metrics.record_first_token(Duration::from_millis(20));
    metrics.record_between_tokens(Duration::from_millis(5));
    let text = metrics.text();
    for line in [
        "auburnspoke_refused_total{class=\"online\",reason=\"overloaded\"} 1",
        "auburnspoke_retried_total{class=\"batch\",reason=\"link_failed\"} 1",
        "auburnspoke_first_token_seconds_count 1",
        "auburnspoke_between_tokens_seconds_count 1",
    ] {
        expect_that!(text, contains_substring(line));
    }
    expect_that!(text, ends_with("# EOF\n"));
}

#[gtest]
fn text_documented() {
    let page = std::fs::read_to_string("docs/OPERATING.md").unwrap();
    let text = Metrics::new().text();
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    for name in names.filter_map(|rest| rest.split(' ').next()) {
        expect_that!(page, contains_substring(format!("`{name}")));
    }
}
