//! A source of the desk whose facts come by mail: what another thread or another actor of the carrier's has learnt.
use crate::mailbox::Mailbox;
use sandstile_dispatcher::{DispatcherInput, Source};

/// Mail taken at one look: the desk has its clients in between.
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
