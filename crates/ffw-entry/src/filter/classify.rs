//! Determines the service of a request: from the path for plain services, from a header or the
//! model for model calls.

use {
    crate::exchange::{Exchange, Route},
    ffw_protocol::{
        declaration::{PoolKind, Service},
        error::{Error, Kind, Result},
    },
    http_types::Method,
    std::sync::Arc,
};

/// Sets the route, and for a call to a plain service also the service.
///
/// # Errors
/// [`Kind::NotFound`] for an unknown path, [`Kind::Malformed`] for a method other than POST on a
/// model path, [`Kind::UnknownService`] if the service is not declared or not plain,
/// [`Kind::Forbidden`] if the workspace may not use it.
pub fn apply_path(exchange: &mut Exchange) -> Result<()> {
    let path = exchange.target.clone();
    if let Some(rest) = path.strip_prefix("/services/") {
        return plain_route(exchange, rest);
    }
    if let Some(request_id) = path.strip_prefix("/v1/requests/") {
        exchange.route = Route::Records { request_id: request_id.into() };
        return Ok(());
    }
    exchange.route = match &*path {
        "/v1/completions" => Route::Completion,
        "/v1/chat/completions" => Route::Chat,
        _ => return Err(Error::new(Kind::NotFound, format!("no such path: {path}"))),
    };
    if exchange.method != Method::Post {
        return Err(Error::new(Kind::Malformed, format!("{path} accepts only POST")));
    }
    Ok(())
}

fn plain_route(exchange: &mut Exchange, rest: &str) -> Result<()> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let name = name.split('?').next().unwrap_or(name);
    let service = allowed_service(exchange, name)?.clone();
    let snapshot = exchange.snapshot()?;
    let pool = snapshot.deployment.pool(&service.pool);
    if pool.is_none_or(|pool| pool.kind != PoolKind::Plain) {
        let message =
            format!("service `{name}` is not a plain service; use /v1/completions for model calls");
        return Err(Error::new(Kind::UnknownService, message));
    }
    exchange.service = Some(service);
    exchange.route = Route::Plain { target: format!("/{path}").into() };
    Ok(())
}

fn allowed_service<'a>(exchange: &'a Exchange, name: &str) -> Result<&'a Service> {
    let deployment = &exchange.snapshot()?.deployment;
    let service = deployment.service(name).ok_or_else(|| {
        Error::new(Kind::UnknownService, format!("no service `{name}` is declared"))
    })?;
    let workspace = exchange.workspace()?;
    if !workspace.services.contains(&service.name) {
        let message = format!("workspace `{}` may not use service `{name}`", workspace.name);
        return Err(Error::new(Kind::Forbidden, message));
    }
    Ok(service)
}

/// Sets the service of a model call: the one named in the `fireflyworks-service` header, or else
/// the first service of the workspace that serves the model. Does nothing for other requests.
///
/// # Errors
/// [`Kind::UnknownModel`] if no service of the workspace serves the model, [`Kind::UnknownService`]
/// or [`Kind::Forbidden`] for the named service, [`Kind::TooLarge`] if the call asks for more
/// output tokens than the service allows.
pub fn apply_model(exchange: &mut Exchange) -> Result<()> {
    let Some(call) = exchange.call.clone() else { return Ok(()) };
    let named: Option<Arc<str>> = exchange.header("fireflyworks-service").map(Into::into);
    let service = match named {
        Some(name) => allowed_service(exchange, &name)?,
        None => service_of_model(exchange, &call.model)?,
    };
    if call.max_tokens.is_some_and(|max_tokens| max_tokens > service.max_output) {
        let message = format!(
            "service `{}` generates at most {} output tokens",
            service.name, service.max_output
        );
        return Err(Error::new(Kind::TooLarge, message));
    }
    exchange.service = Some(service.clone());
    Ok(())
}

fn service_of_model<'a>(exchange: &'a Exchange, model: &str) -> Result<&'a Service> {
    let workspace = exchange.workspace()?;
    let snapshot = exchange.snapshot()?;
    snapshot.service_of_model(&workspace.services, model).ok_or_else(|| {
        let message =
            format!("no service of workspace `{}` serves model `{model}`", workspace.name);
        Error::new(Kind::UnknownModel, message)
    })
}
