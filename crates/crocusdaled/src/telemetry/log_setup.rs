use crocusdale_core::configuration::LogFormat;
use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;

/// Starts logging to standard error; lines still in the queue are written when the guard drops.
pub fn start_log(format: LogFormat, vm: &str) -> (Logger, AsyncGuard) {
    let stderr = std::io::stderr();
    let (drain, guard) = match format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(stderr);
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).build_with_guard()
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(stderr).fuse();
            slog_async::Async::new(drain).build_with_guard()
        }
    };
    (Logger::root(drain.fuse(), o!("vm" => vm.to_owned())), guard)
}
