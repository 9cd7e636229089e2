//! The entry: HTTP for callers, the filter chain of a request, and the one answer that each caller
//! gets.

pub mod entry;
pub mod exchange;
pub mod filter;
pub mod generate;
pub mod health;
pub mod openai;
pub mod plain;
pub mod record;
