//! A stream, as its caller has it, whose every event is checked.

use anyhow::Context;
use anyhow::Result;

use crate::received::Received;
use crate::stream_soak::EVENTS;
use crate::stream_soak::RESUMABLE;

/// An event, and the run that made it, which was to go on after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Event {
    number: usize,
    version: String,
    run: usize,
    after: usize,
}

impl Event {
    fn read(text: &str) -> Result<Self> {
        let (id, data) = text.split_once('\n').context("one line")?;
        let mut words = data.split(' ').skip(1);
        let mut next = || words.next().context("a word");
        Ok(Self {
            number: id.strip_prefix("id: ").context("a number")?.parse()?,
            version: next()?.to_owned(),
            run: next()?.parse()?,
            after: next()?.parse()?,
        })
    }
}

/// What a caller has of a stream.
#[derive(Clone, Debug, Default)]
pub(super) struct Stream {
    pub(super) path: String,
    pub(super) events: Vec<Event>,
    /// The attempt that brought the first event.
    pub(super) origin: String,
    attempts: Vec<String>,
    pub(super) complete: bool,
    pub(super) taken_up: bool,
    /// The first way in which it broke the rules.
    pub(super) fault: Option<String>,
}

impl Stream {
    pub(super) fn new(path: String) -> Self {
        Self {
            path,
            ..Self::default()
        }
    }

    /// Adds the events of an answer.
    pub(super) fn add(&mut self, attempt: &str, received: &Received) -> Result<()> {
        self.attempts.push(format!("{attempt}:{}", received.status));
        if received.status != 200 {
            return Ok(());
        }
        let (whole, rest) = match received.body.rsplit_once("\n\n") {
            Some((whole, rest)) => (whole, rest),
            None => ("", received.body.as_str()),
        };
        for text in whole.split("\n\n").filter(|text| !text.is_empty()) {
            let event = Event::read(text)?;
            if let Some(fault) = self.fault_of(&event) {
                self.fault.get_or_insert(fault.to_owned());
            }
            if self.events.is_empty() {
                attempt.clone_into(&mut self.origin);
            }
            self.events.push(event);
        }
        self.complete = received.complete;
        if received.complete && (self.events.len() < EVENTS || !rest.is_empty()) {
            self.fault.get_or_insert("complete too early".to_owned());
        }
        Ok(())
    }

    /// Returns how an event breaks the order, if it does.
    fn fault_of(&self, event: &Event) -> Option<&'static str> {
        let number = self.events.len() + 1;
        if event.number != number {
            return Some(match event.number < number {
                true => "an event twice",
                false => "an event missing",
            });
        }
        let last = self.events.last()?;
        if last.version != event.version {
            return Some("two versions");
        }
        if last.run == event.run {
            return None;
        }
        let resumes = event.after + 1 == number;
        let is_new = self.events.iter().all(|other| other.run != event.run);
        let may_resume = self.path.starts_with(RESUMABLE);
        (!resumes || !is_new || !may_resume).then_some("two runs")
    }

    /// Returns what it is, for whoever looks for the cause of a fault.
    pub(super) fn describe(&self) -> String {
        let events = self.events.iter().map(|event| {
            let Event {
                number,
                version,
                run,
                after,
            } = event;
            format!("{number}/{version}/{run}/{after}")
        });
        let events: Vec<_> = events.collect();
        format!(
            "{:?}: {} of {:?}: {events:?}",
            self.fault, self.path, self.attempts
        )
    }
}
