//! Logs: one line of key=value pairs for each event, on standard error, or on standard output without blocking.

use std::fmt;
use std::fmt::Write;
use std::sync::OnceLock;

use tracing::Event;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::FormatEvent;
use tracing_subscriber::fmt::FormatFields;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::time::SystemTime;
use tracing_subscriber::registry::LookupSpan;

use crate::settings::LogLevel;

/// How many lines may wait for a slow reader, which is some seconds' worth of a busy router. Further lines are dropped and
/// counted.
const WAITING: usize = 8192;

/// The longest value of a field, in bytes. Errors quote what was read from others, which may be as long as a record of the
/// store, and each waiting line would hold as much memory.
const MAX_VALUE: usize = 4096;

/// The counter of dropped lines.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Writes the waiting lines when it is dropped.
#[must_use = "dropped at once, it takes the logs with it"]
#[derive(Debug)]
pub struct LogGuard(#[expect(dead_code, reason = "it is kept for what its drop does")] WorkerGuard);

/// Starts to write logs to standard error. A second call has no effect.
pub fn init_logs(level: LogLevel) {
    let _ = tracing_subscriber::fmt()
        .with_env_filter(targets(level))
        .with_writer(std::io::stderr)
        .event_format(KeyValue)
        .try_init();
}

/// Starts to write logs to standard output from a separate thread. A second call has no effect.
///
/// Otherwise, a reader that stops reading would block the event loop, and every stream with it.
pub fn init_output_logs(level: LogLevel) -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING)
        .lossy(true)
        .finish(std::io::stdout());
    let _ = DROPPED.set(writer.error_counter());
    let _ = tracing_subscriber::fmt()
        .with_env_filter(targets(level))
        .with_writer(writer)
        .event_format(KeyValue)
        .try_init();
    LogGuard(guard)
}

/// Returns the number of lines that were dropped.
pub(crate) fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Enables this package's events of a level. Other crates are excluded, since some log the data that they send.
fn targets(level: LogLevel) -> EnvFilter {
    let filter = match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    };
    EnvFilter::new(format!("off,jasmineridge={filter}"))
}

/// Writes an event as `time=.. level=.. key=value ..`.
struct KeyValue;

impl<S, N> FormatEvent<S, N> for KeyValue
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_str("time=")?;
        SystemTime.format_time(&mut writer)?;
        let level = event.metadata().level().as_str().to_lowercase();
        write!(writer, " level={level}")?;
        let mut pairs = Pairs {
            text: String::new(),
        };
        event.record(&mut pairs);
        writeln!(writer, "{}", pairs.text)
    }
}

/// Formats fields as ` key=value`, and cuts long values. Values that contain a space or a quote are quoted, so that each
/// event stays one line.
struct Pairs {
    text: String,
}

impl Pairs {
    fn push(&mut self, name: &str, value: &str) {
        let value = &value[..value.floor_char_boundary(MAX_VALUE)];
        let bare = !value.is_empty()
            && value
                .chars()
                .all(|c| c.is_ascii_graphic() && c != '"' && c != '=');
        let _ = match bare {
            true => write!(self.text, " {name}={value}"),
            false => write!(self.text, " {name}={value:?}"),
        };
    }
}

impl Visit for Pairs {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.push(field.name(), &format!("{value:?}"));
    }
}
