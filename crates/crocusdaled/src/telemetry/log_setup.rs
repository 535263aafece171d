use crocusdale_core::configuration::LogFormat;
use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;

/// Maximum number of log lines that wait to be written. Further lines are dropped and counted, so
/// that logging never blocks.
const MAX_QUEUED_LINES: usize = 2_048;

/// Starts asynchronous logging, as JSON to standard output or as plain text to standard error.
/// Lines that are still in the queue are written when the guard is dropped.
pub fn start_log(format: LogFormat, vm: &str) -> (Logger, AsyncGuard) {
    let (drain, guard) = match format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).chan_size(MAX_QUEUED_LINES).build_with_guard()
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            slog_async::Async::new(drain).chan_size(MAX_QUEUED_LINES).build_with_guard()
        }
    };
    (Logger::root(drain.fuse(), o!("vm" => vm.to_owned())), guard)
}
