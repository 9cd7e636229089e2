//! Logs: one line of key=value pairs for each event, on standard error.

use {
    log::LevelFilter,
    simplelog::{ConfigBuilder, WriteLogger},
    std::io,
};

/// Starts logging; a second call changes nothing.
pub fn start(level: LevelFilter) {
    let mut builder = ConfigBuilder::new();
    builder
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("tarpc");
    WriteLogger::init(level, builder.build(), io::stderr()).ok();
}
