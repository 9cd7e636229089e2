//! Client of the platform's object API. The API follows the conventions of Kubernetes: resource
//! versions, conditional updates, and watches after a list. It also serves the platform's instance
//! list.

pub mod fault;
pub mod store;
pub mod watch;
