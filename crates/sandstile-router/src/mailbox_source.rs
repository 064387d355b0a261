//! A dispatcher source that is fed by a mailbox: what another thread, or another actor of the event loop, has
//! learnt.
use crate::mailbox::Mailbox;
use sandstile_dispatcher::{DispatcherInput, Source};

/// Messages taken per poll: the dispatcher serves its clients in between.
const MOST: usize = 2;

pub struct Inlet<T> {
    mail: Mailbox<T>,
    fact: fn(T) -> DispatcherInput,
}

impl<T> Inlet<T> {
    pub fn new(mail: Mailbox<T>, fact: fn(T) -> DispatcherInput) -> Self {
        Inlet { mail, fact }
    }
}

impl<T: Send> Source for Inlet<T> {
    fn pending(&self) -> bool {
        !self.mail.is_empty()
    }

    fn take_inputs(&mut self, _: f64) -> Vec<DispatcherInput> {
        std::iter::from_fn(|| self.mail.try_recv()).take(MOST).map(self.fact).collect()
    }
}
