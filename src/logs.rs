//! Logs: one line of key=value pairs for each event, on standard error.

use std::fmt;
use std::fmt::Write;

use tracing::Event;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::FormatEvent;
use tracing_subscriber::fmt::FormatFields;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::time::SystemTime;
use tracing_subscriber::registry::LookupSpan;

use crate::settings::LogLevel;

/// Begins to write logs; a second call changes nothing.
pub fn init_logs(level: LogLevel) {
    let filter = match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    };
    // Other crates' lines are not ours to vouch for: some print what they send.
    let targets = tracing_subscriber::EnvFilter::new(format!("off,jasmineridge={filter}"));
    let _ = tracing_subscriber::fmt()
        .with_env_filter(targets)
        .with_writer(std::io::stderr)
        .event_format(KeyValue)
        .try_init();
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

/// Gathers fields as ` key=value`; a value with a space or a quote in it is quoted, so that each line stays one line.
struct Pairs {
    text: String,
}

impl Pairs {
    fn push(&mut self, name: &str, value: &str) {
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
