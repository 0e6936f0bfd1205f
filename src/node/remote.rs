//! Calls from other threads to the control thread.

use std::future::Future;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

/// Calls that may wait for the control thread.
const WAITING: usize = 256;

type Job<S> = Box<dyn FnOnce(Rc<S>) + Send>;

/// Runs functions on the thread that owns an `S`. Only operators' methods use
/// it; no question waits for the control thread.
pub struct Remote<S> {
    jobs: mpsc::Sender<Job<S>>,
}

impl<S> Clone for Remote<S> {
    fn clone(&self) -> Self {
        Self {
            jobs: self.jobs.clone(),
        }
    }
}

/// The owning thread's end of a [`Remote`].
pub struct Inbox<S> {
    jobs: mpsc::Receiver<Job<S>>,
}

/// A remote and the inbox that its owner serves.
pub fn channel<S>() -> (Remote<S>, Inbox<S>) {
    let (sender, receiver) = mpsc::channel(WAITING);
    (Remote { jobs: sender }, Inbox { jobs: receiver })
}

impl<S> Remote<S>
where
    S: 'static,
{
    /// Runs `call` on the owner's thread; none when the owner is gone or has
    /// too many calls to make.
    pub async fn call<F, A, R>(&self, call: F) -> Option<R>
    where
        F: FnOnce(Rc<S>) -> A + Send + 'static,
        A: Future<Output = R> + 'static,
        R: Send + 'static,
    {
        let (reply, answer) = oneshot::channel();
        let job = move |owner| {
            let answering = call(owner);
            actix_rt::spawn(async move {
                let _ = reply.send(answering.await);
            });
        };
        self.jobs.try_send(Box::new(job)).ok()?;
        answer.await.ok()
    }
}

impl<S> Inbox<S> {
    /// Runs calls until every remote is gone.
    pub async fn serve(mut self, owner: Rc<S>) {
        while let Some(job) = self.jobs.recv().await {
            job(Rc::clone(&owner));
        }
    }
}
