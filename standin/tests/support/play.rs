//! Plays a part against real nodes and replicas, and checks what callers saw.

use std::rc::Rc;
use std::sync::{Mutex, PoisonError};

use googletest::prelude::*;
use standin::soak::Plan;
use standin::soak::check::LOG_DELAY;
use standin::soak::fleet::{Harness, log_folder, start};
use tokio::time::sleep;

/// Runs at the same time would slow each other down.
static RUNNING: Mutex<()> = Mutex::new(());

/// Starts nodes and replicas, and lets `part` play. No answer may have a wrong body.
pub fn run<F>(plan: Plan, part: F)
where
    F: AsyncFnOnce(&Rc<Harness>),
{
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = log_folder(plan).unwrap();
    let violations = actix_rt::System::new().block_on(async {
        let harness = start(plan, &folder).await.unwrap();
        part(&harness).await;
        // Nodes log with a delay.
        sleep(LOG_DELAY).await;
        harness.violations.take()
    });
    if violations.is_empty() {
        std::fs::remove_dir_all(&folder).unwrap();
    } else {
        eprintln!("the logs are in {}", folder.display());
    }
    expect_that!(violations, is_empty());
}
