//! Client of the platform's object API, in Kubernetes conventions: resource versions, conditional
//! update, watch with relist, and the platform's instance list.

pub mod fault;
pub mod store;
pub mod watch;
