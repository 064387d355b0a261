//! A dispatcher source that is fed by a mailbox: what another thread, or another actor of the event loop, has
//! learnt.
use crate::mailbox::Mailbox;
use sandstile_dispatcher::{DispatcherInput, Source};

/// Messages taken per poll: the dispatcher serves its clients in between.
const MAX_MESSAGES_PER_POLL: usize = 2;

pub struct MailboxSource<T> {
    mailbox: Mailbox<T>,
    to_input: fn(T) -> DispatcherInput,
}

impl<T> MailboxSource<T> {
    pub fn new(mailbox: Mailbox<T>, to_input: fn(T) -> DispatcherInput) -> Self {
        MailboxSource { mailbox, to_input }
    }
}

impl<T: Send> Source for MailboxSource<T> {
    fn pending(&self) -> bool {
        !self.mailbox.is_empty()
    }

    fn take_inputs(&mut self, _: f64) -> Vec<DispatcherInput> {
        std::iter::from_fn(|| self.mailbox.try_recv())
            .take(MAX_MESSAGES_PER_POLL)
            .map(self.to_input)
            .collect()
    }
}
