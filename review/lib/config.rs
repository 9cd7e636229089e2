//! The operator's configuration, as it lies in the store under `config/main`.

/// A configuration of these routes, for the services `reader` (model workers) and `names` (plain).
pub fn configuration(version: u32, routes: &[String], names: &[&str]) -> String {
    let mut services = vec![
        "{\"name\":\"reader\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{\"slots\":64,\"kvCapacity\":37952,\"kvTokenBytes\":163840,\
         \"linkMbps\":1500000.0,\"moves\":true,\"backups\":true,\"stride\":12,\"most\":12,\
         \"kvHoldS\":0.5,\"stageSwitchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"models\":[{\"name\":\"m\"}]}}"
            .to_owned(),
    ];
    services.extend(names.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":100,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    }));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A route of streams to `reader`.
pub fn stream_route(name: &str, timeout_ms: u32, attempts: u32, is_resumable: bool) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\
         \"type\":\"streaming\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":900,\"priority\":1,\
         \"service\":\"reader\",\"maxAttempts\":{attempts},\"sticky\":true,\
         \"resumable\":{is_resumable},\"targetGapMs\":300}}"
    )
}

/// A route of plain requests.
pub fn plain_route(name: &str, kind: &str, service: &str, timeout_ms: u32) -> String {
    let attempts = if kind == "idempotent" { 2 } else { 1 };
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\
         \"type\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":150,\"priority\":2,\
         \"service\":\"{service}\",\"maxAttempts\":{attempts}}}"
    )
}
