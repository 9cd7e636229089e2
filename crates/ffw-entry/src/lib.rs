//! The entry: accepts HTTP requests from callers, runs each through the filter chain, serves it
//! from the backend servers, and returns exactly one response.

pub mod entry;
pub mod exchange;
pub mod filter;
pub mod generate;
pub mod health;
pub mod openai;
pub mod plain;
pub mod record;
