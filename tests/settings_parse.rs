//! Valid and invalid settings files.

use std::time::Duration;

use auburnspoke::settings::{Format, Problem, Settings};
use googletest::prelude::*;

const VALID: &str = r#"
[node]
name = "n1"
zone = "z1"
[listen]
callers = "10.0.0.1:7001"
link = "10.0.0.1:7002"
control = "10.0.0.1:7003"
[platform]
address = "10.0.9.1:7100"
"#;

/// Returns the problems of the valid file with `from` replaced by `to`.
fn problems(from: &str, to: &str) -> Vec<Problem> {
    assert!(VALID.contains(from), "{from} is not in the valid file");
    Settings::parse(&VALID.replace(from, to)).unwrap_err().0
}

/// Returns the problems of the valid file with `more` appended.
fn problems_with(more: &str) -> Vec<Problem> {
    Settings::parse(&format!("{VALID}{more}")).unwrap_err().0
}

#[gtest]
fn parse_defaults() {
    let settings = Settings::parse(VALID).unwrap();
    expect_that!(settings.traffic_threads, eq(2));
    expect_that!(&*settings.node.region, eq("default"));
    expect_that!(settings.seeds.len(), eq(0));
    expect_that!(settings.leave.limit, eq(Duration::from_secs(120)));
    expect_that!(settings.limits.prompt_bytes, eq(262_144));
    expect_that!(settings.timeouts.request, eq(Duration::from_secs(120)));
    expect_that!(settings.log.format, eq(Format::Text));
}

#[gtest]
fn parse_every_key() {
    let text = format!(
        "traffic_threads = 4\nseeds = [\"10.0.0.2:7003\"]\n{VALID}\
         [timeouts]\nrequest = \"1m\"\nconnect = \"250ms\"\n\
         [leave]\nlimit = \"2m\"\n[limits]\nbody_bytes = 0x1000\nprompt_bytes = 4096\n\
         job_items = 7\n[log]\nformat = \"json\"\nlevel = \"debug\"\n"
    );
    let settings = Settings::parse(&text).unwrap();
    expect_that!(settings.timeouts.connect, eq(Duration::from_millis(250)));
    expect_that!(settings.leave.limit, eq(Duration::from_secs(120)));
    expect_that!(settings.limits.body_bytes, eq(4096));
    expect_that!(settings.limits.job_items, eq(7));
    expect_that!(settings.seeds.len(), eq(1));
    expect_that!(settings.log.format, eq(Format::Json));
}

#[gtest]
fn parse_empty_file() {
    let all = Settings::parse("").unwrap_err().0;
    let places: Vec<_> = all.iter().map(|problem| &*problem.place).collect();
    expect_that!(
        places,
        eq(&vec![
            "node.name",
            "node.zone",
            "listen.callers",
            "listen.link",
            "listen.control",
            "platform.address"
        ])
    );
}

#[gtest]
fn parse_not_toml() {
    let all = problems("name = \"n1\"", "name = n1\nzone \"z1\"");
    expect_that!(all[0].line, eq(3));
    expect_that!(all[0].message, contains_substring("not TOML"));
    expect_that!(all.len(), ge(2));
}

#[gtest]
fn parse_problem_position() {
    let all = problems("zone = \"z1\"", "zone = \"z 1\"");
    expect_that!(all.len(), eq(1));
    expect_that!((all[0].line, all[0].column), eq((4, 8)));
    expect_that!(all[0].place, eq("node.zone"));
}

#[gtest]
fn parse_misspelt_key() {
    let all = problems("zone = ", "zoen = ");
    expect_that!(all[1].message, contains_substring("did you mean zone?"));
}

#[gtest]
fn parse_unknown_table() {
    let all = problems_with("[raft]\nnodes = 3\n");
    expect_that!(all.len(), eq(1));
    expect_that!(all[0].message, contains_substring("known here: "));
}

#[gtest]
fn parse_same_port_twice() {
    let all = problems("10.0.0.1:7002", "10.0.0.1:7001");
    expect_that!(all[0].message, contains_substring("same as listen.callers"));
}

#[gtest]
fn parse_unspecified_address() {
    // Other nodes connect to the address that a node announces. With 0.0.0.0 each of them would
    // connect to itself.
    let all = problems("10.0.0.1:7001", "0.0.0.0:7001");
    expect_that!(
        all[0].message,
        contains_substring("the VM's own IP address")
    );
}

#[gtest]
fn parse_host_name() {
    let all = problems("10.0.9.1:7100", "platform.example:7100");
    expect_that!(all[0].message, contains_substring("write an IP address"));
}

#[gtest]
fn parse_platform_is_self() {
    let all = problems("10.0.9.1:7100", "10.0.0.1:7002");
    expect_that!(all[0].message, contains_substring("own addresses"));
}

#[gtest]
fn parse_platform_port_zero() {
    let all = problems("10.0.9.1:7100", "10.0.9.1:0");
    expect_that!(all[0].message, contains_substring("port 0"));
}

#[gtest]
fn parse_seed_is_self() {
    let text = format!("seeds = [\"10.0.0.1:7003\"]\n{VALID}");
    let all = Settings::parse(&text).unwrap_err().0;
    expect_that!(all[0].place, eq("seeds[0]"));
}

#[gtest]
fn parse_duration_without_unit() {
    let all = problems_with("[leave]\nlimit = 30\n");
    expect_that!(all[0].message, contains_substring("\"30s\""));
    let all = problems_with("[leave]\nlimit = \"30 parsecs\"\n");
    expect_that!(all[0].message, contains_substring("ms, s, m, h or d"));
    let all = problems_with("[leave]\nlimit = \"99999999999999999d\"\n");
    expect_that!(all[0].message, contains_substring("too long"));
}

#[gtest]
fn parse_connect_above_request() {
    // A request would time out before a second endpoint could be tried.
    let all = problems_with("[timeouts]\nrequest = \"1s\"\nconnect = \"2s\"\n");
    expect_that!(all[0].place, eq("timeouts.connect"));
    expect_that!(all[0].line, eq(13));
}

#[gtest]
fn parse_leave_below_request() {
    // A stop whose limit is shorter than the request timeout would cut off running requests.
    let all = problems_with("[timeouts]\nrequest = \"60s\"\n[leave]\nlimit = \"30s\"\n");
    expect_that!(all[0].place, eq("leave.limit"));
    expect_that!(all[0].message, contains_substring("cut"));
}

#[gtest]
fn parse_prompt_above_body() {
    let all = problems_with("[limits]\nbody_bytes = 10\nprompt_bytes = 11\n");
    expect_that!(all[0].place, eq("limits.prompt_bytes"));
}

#[gtest]
fn parse_number_out_of_bounds() {
    for invalid in ["0", "-1", "65", "\"2\"", "2.5"] {
        let text = format!("traffic_threads = {invalid}\n{VALID}");
        let all = Settings::parse(&text).unwrap_err().0;
        expect_that!(all.len(), eq(1));
        expect_that!(all[0].message, contains_substring("from 1 to 64"));
    }
}

#[gtest]
fn parse_invalid_log() {
    let all = problems_with("[log]\nformat = \"xml\"\nlevel = \"loud\"\n");
    expect_that!(all.len(), eq(2));
}
