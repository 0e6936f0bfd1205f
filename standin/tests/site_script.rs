//! Tests what a simulated replica sends.

use std::time::Duration;

use googletest::prelude::*;
use standin::site::script::{Cut, Framing, Script, Style};
use standin::site::socket::Reset;
use tokio::sync::{mpsc, watch};

/// Guards against a replica that completes a stream although it crashed before the stream began.
#[gtest]
fn send_after_crash() {
    let style = Style {
        framing: Some(Framing::Chunks),
        cut: Some(Cut::Reset),
    };
    let events = vec!["id: 1\ndata: a\n\n".to_owned(); 2];
    let script = Script::draw(style, 0.0, events, false);
    let sent = actix_rt::System::new().block_on(async {
        let crashed = watch::Sender::new(false);
        crashed.send_replace(true);
        let (chunks, mut sent) = mpsc::channel(4);
        let step = Duration::from_millis(1);
        script
            .send(chunks, Reset::default(), step, crashed.subscribe())
            .await;
        let mut all = Vec::new();
        while let Some(chunk) = sent.recv().await {
            all.push(chunk);
        }
        all
    });
    expect_that!(sent, elements_are![err(anything())]);
}
