//! A run's answer as server-sent events.

use std::fmt::Write;
use std::future::pending;
use std::io;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use futures::stream::unfold;
use salvo::conn::ConnCtrl;
use serde_json::json;
use tokio::sync::watch;

use crate::standin::engine::chat::Reader;
use crate::standin::engine::faults::Faults;
use crate::standin::engine::run::Progress;
use crate::standin::engine::run::Run;
use crate::standin::engine::run::RunState;
use crate::standin::switch::FaultSet;

/// Tokens that are sent at once where so many are ready.
const MAX_TOKENS: u64 = 32;

/// Reads a run from a token on.
struct Cursor {
    reader: Reader,
    conn: ConnCtrl,
    faults: watch::Receiver<FaultSet<Faults>>,
    progress: watch::Receiver<Progress>,
    head: String,
    start: u64,
    at: u64,
    ended: bool,
}

/// Returns the events of a run from a token on.
pub(crate) fn events(
    reader: Reader,
    conn: ConnCtrl,
    from: u64,
) -> BoxStream<'static, io::Result<Bytes>> {
    let cursor = Cursor {
        faults: reader.engine.switch.watch(),
        progress: reader.run.watch(),
        head: head(&reader.run),
        reader,
        conn,
        start: from,
        at: from,
        ended: false,
    };
    unfold(cursor, |mut cursor| async move {
        let events = cursor.next().await?;
        Some((Ok(Bytes::from(events)), cursor))
    })
    .boxed()
}

/// Returns what all chunks of a run begin with.
fn head(run: &Run) -> String {
    let id = json!(run.spec.id);
    let model = json!(run.spec.model);
    let created = run.spec.started / 1000;
    format!(
        r#"data: {{"id":{id},"object":"chat.completion.chunk","created":{created},"model":{model},"choices":[{{"index":0,"delta":"#
    )
}

impl Cursor {
    async fn next(&mut self) -> Option<String> {
        if self.ended {
            return None;
        }
        self.wait().await;
        let progress = self.reader.run.progress();
        if progress.state == RunState::Crashed || self.at >= self.limit() {
            self.cut().await;
        }
        if progress.generated > self.at {
            return Some(self.tokens(progress.generated));
        }
        self.ended = true;
        Some(self.end())
    }

    /// Waits for a token or the end, and while streams are frozen.
    async fn wait(&mut self) {
        let at = self.at;
        let news =
            |progress: &Progress| progress.generated > at || progress.state != RunState::Running;
        // Both senders live as long as the engine that the reader holds, so neither wait can fail.
        let _ = self.progress.wait_for(news).await;
        let _ = self
            .faults
            .wait_for(|faults| !faults.own.freeze_streams)
            .await;
    }

    /// Returns the token before which the connection is cut.
    fn limit(&self) -> u64 {
        let reset = self.faults.borrow().own.reset_after_tokens;
        reset.map_or(u64::MAX, |tokens| self.start + tokens)
    }

    fn tokens(&mut self, ready: u64) -> String {
        let until = ready.min(self.limit()).min(self.at + MAX_TOKENS);
        let mut events = String::new();
        for index in self.at..until {
            let token = self.reader.run.spec.answer.token(index);
            // Writing to a string cannot fail.
            let _ = write!(
                events,
                "{}{{\"content\":\"{token}\"}},\"finish_reason\":null}}]}}\n\n",
                self.head
            );
        }
        self.at = until;
        events
    }

    async fn cut(&self) {
        self.conn.abort();
        pending::<()>().await;
    }

    fn end(&self) -> String {
        let run = &self.reader.run;
        format!(
            "{}{{}},\"finish_reason\":\"{}\"}}],\"usage\":{}}}\n\ndata: [DONE]\n\n",
            self.head,
            run.finish_reason(),
            run.usage()
        )
    }
}
