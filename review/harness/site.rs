//! The configuration of a small deployment.

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub max_attempts: u32,
    pub resumable: bool,
}

/// The engine of a small site file, with a memory of 86,766 tokens and 12 slots.
const ENGINE: &str = "{\"slots\":12,\"kvCapacity\":86766,\"kvTokenBytes\":192512,\
    \"linkMbps\":18000000.0,\"moves\":true,\"backups\":true,\"stride\":1,\"most\":12,\
    \"kvHoldS\":0.5,\"stageSwitchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
    \"models\":[{\"name\":\"m\"}]}";

/// The configuration as the operator writes it; services whose name begins with `llm` have engines.
pub fn config(version: u64, routes: &[Route]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            let engine = match name.starts_with("llm") {
                true => format!(",\"engine\":{ENGINE}"),
                false => String::new(),
            };
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":164,\
                 \"protocol\":\"h1\",\"tls\":false{engine}}}"
            )
        })
        .collect();
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn route(route: &Route) -> String {
    let Route { prefix, kind, service, timeout_ms, target_ms, max_attempts, resumable } = route;
    let name = prefix.trim_matches('/');
    let is_stream = *kind == "streaming";
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"type\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\
         \"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{max_attempts},\
         \"public\":false,\"sticky\":{is_stream},\"resumable\":{resumable},\"targetGapMs\":300}}"
    )
}
