//! The fields of a log line in its JSON form.

use auburnspoke::logger::fields;
use googletest::prelude::*;
use serde_json::{Value, json};

#[gtest]
fn fields_event() {
    let line = "E303 link_closed peer=10.0.0.1:7002 tries=3 why=\"reset by \\\"peer\\\"\"";
    let expected = json!({
        "event": "E303", "name": "link_closed", "peer": "10.0.0.1:7002",
        "tries": 3, "why": "reset by \"peer\"",
    });
    expect_that!(Value::Object(fields(line)), eq(&expected));
}

#[gtest]
fn fields_bare_event() {
    let expected = json!({"event": "E103", "name": "node_stopped"});
    expect_that!(Value::Object(fields("E103 node_stopped")), eq(&expected));
}

#[gtest]
fn fields_plain_message() {
    let expected = json!({"message": "no event here"});
    expect_that!(Value::Object(fields("no event here")), eq(&expected));
}

#[gtest]
fn fields_forged_event() {
    // External text that contains `event=` must not overwrite the line's event.
    let parsed = fields("E301 request_refused event=E103 x");
    expect_that!(parsed["event"], eq(&json!("E301")));
    expect_that!(parsed["message"], eq(&json!("event=E103 x")));
}
