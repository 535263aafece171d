use crocusdale_core::configuration::LogFormat;
use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;

/// Lines that wait to be written; more are dropped and counted, so that logging never blocks.
const LINES_AHEAD: usize = 2_048;

/// Starts logging, JSON to standard output and lines for people to standard error; lines still in
/// the queue are written when the guard drops.
pub fn start_log(format: LogFormat, vm: &str) -> (Logger, AsyncGuard) {
    let (drain, guard) = match format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).chan_size(LINES_AHEAD).build_with_guard()
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            slog_async::Async::new(drain).chan_size(LINES_AHEAD).build_with_guard()
        }
    };
    (Logger::root(drain.fuse(), o!("vm" => vm.to_owned())), guard)
}
