//! Objects that the operator and the servers write to the store.

use {
    super::Server,
    crate::worker::{Role, Worker},
    serde_json::{Value, json},
};

/// Kind of the objects that describe servers.
pub(super) const SERVER_KIND: &str = "servers";

/// Routes that no caller uses, with which a configuration is nearly as large as an object of the
/// store may be.
const UNUSED_ROUTES: usize = 5_500;

/// A configuration whose plain routes lead to a service. `is_large` states whether it is nearly as
/// large as an object of the store may be.
pub(super) fn configuration(version: u64, service: &str, is_large: bool) -> Value {
    let plain = |name: &str, kind: &str| {
        json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"), "type": kind,
            "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2, "maxAttempts": 2,
            "service": service})
    };
    let stream = |name: &str, resumable: bool| {
        json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"),
            "type": "streaming", "timeoutMs": 4000, "targetLatencyMs": 900,
            "targetGapMs": 300, "priority": 1, "maxAttempts": 2, "service": "llm",
            "resumable": resumable})
    };
    let engine = json!({"slots": 16, "kvCapacity": 70_000, "kvTokenBytes": 35_136,
        "linkMbps": 5_900_000.0, "stride": 50, "kvHoldS": 0.5, "models": [{"name": "m"}]});
    let mut routes = vec![
        plain("once", "non_idempotent"),
        plain("again", "idempotent"),
        stream("stream", false),
        stream("resumable", true),
    ];
    if is_large {
        routes.extend((0..UNUSED_ROUTES).map(|n| plain(&format!("unused-{n}"), "idempotent")));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "app-a"}, {"name": "app-b"}, {"name": "llm", "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

/// The object of a server in a state.
pub(super) fn server(server: &Server, state: &str) -> Value {
    let Worker { service, role, .. } = &server.worker;
    let mut object = json!({"service": service, "address": server.proxy.address, "zone": "a",
        "state": state, "slots": 16});
    match role {
        Role::Plain => {}
        Role::Prefill => object["stage"] = json!("prefill"),
        Role::Decode => object["stage"] = json!("decode"),
    }
    if let Some(version) = server.worker.version() {
        object["version"] = json!(version);
    }
    object
}

/// Levels of an odd content that is deeply nested.
const ODD_LEVELS: usize = 100;

/// Contents of objects that are of no use to anybody; `number` varies them.
pub(super) fn odd(number: u32) -> Vec<Value> {
    let server = |address: Value, state: &str| {
        json!({"service": "app-a", "address": address, "zone": "a", "state": state, "slots": 16,
            "number": number})
    };
    vec![
        (0..ODD_LEVELS).fold(json!(number), |inner, _| json!([inner])),
        server(json!("127.0.0.1:70000"), "ready"),
        server(json!(-3), "ready"),
        server(json!("127.0.0.1:1"), &"ready".repeat(number as usize % 1_000)),
        json!({"version": 1e300, "routes": [{"name": null}], "number": number}),
        json!([number, "text", null]),
    ]
}
