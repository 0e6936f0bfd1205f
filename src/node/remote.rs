//! Calls from other threads to the control thread.

use std::future::Future;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of calls to the control thread.
const QUEUE_CAPACITY: usize = 256;

type Task<S> = Box<dyn FnOnce(Rc<S>) + Send>;

/// Runs functions on the thread that owns an `S`. Only operators' methods use it; callers'
/// requests never wait for the control thread.
pub struct Remote<S> {
    tasks: mpsc::Sender<Task<S>>,
}

impl<S> Clone for Remote<S> {
    fn clone(&self) -> Self {
        Self {
            tasks: self.tasks.clone(),
        }
    }
}

/// The owning thread's end of a [`Remote`].
pub struct Inbox<S> {
    tasks: mpsc::Receiver<Task<S>>,
}

/// Creates a remote and the inbox for its owner.
pub fn channel<S>() -> (Remote<S>, Inbox<S>) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (Remote { tasks: sender }, Inbox { tasks: receiver })
}

impl<S> Remote<S>
where
    S: 'static,
{
    /// Runs `call` on the owner's thread; returns none if the owner has ended or its queue is
    /// full.
    pub async fn call<F, A, R>(&self, call: F) -> Option<R>
    where
        F: FnOnce(Rc<S>) -> A + Send + 'static,
        A: Future<Output = R> + 'static,
        R: Send + 'static,
    {
        let (reply, answer) = oneshot::channel();
        let task = move |owner| {
            let result = call(owner);
            actix_rt::spawn(async move {
                let _ = reply.send(result.await);
            });
        };
        self.tasks.try_send(Box::new(task)).ok()?;
        answer.await.ok()
    }
}

impl<S> Inbox<S> {
    /// Runs calls until every remote is dropped.
    pub async fn serve(mut self, owner: Rc<S>) {
        while let Some(task) = self.tasks.recv().await {
            task(Rc::clone(&owner));
        }
    }
}
