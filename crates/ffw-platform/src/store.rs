//! Objects of the platform's object API: get, list, create, conditional update and delete.

use {
    crate::fault::{Fault, Result},
    ffw_http::client::{self, Call},
    ffw_protocol::instance::Instance,
    ffw_runtime::meter::Wire,
    http_types::Method,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time limit of one call to the object API.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Kinds of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The platform's own list of instances; read only.
    Instances,
    /// The configuration version in force of each deployment.
    Configurations,
    /// History of configuration versions.
    Changes,
    /// Claims of calls that run at most once.
    Claims,
    /// Ledger segments.
    Segments,
    /// Leases of controllers.
    Leases,
    /// Intended and confirmed orders to engines.
    Orders,
}

impl Kind {
    /// Name of the kind in paths.
    pub fn plural(self) -> &'static str {
        match self {
            Kind::Instances => "instances",
            Kind::Configurations => "configurations",
            Kind::Changes => "changes",
            Kind::Claims => "claims",
            Kind::Segments => "segments",
            Kind::Leases => "leases",
            Kind::Orders => "orders",
        }
    }

    /// Path of the kind's collection.
    pub fn path(self) -> String {
        format!("/apis/fireflyworks.example/v1/{}", self.plural())
    }
}

/// Name and version of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// Unique name within the kind.
    pub name: Arc<str>,
    /// Version of the object, empty before it is created. An update with an older version is
    /// refused.
    #[serde(default)]
    pub resource_version: Arc<str>,
}

/// An object of the API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object<T> {
    /// Name and version.
    pub metadata: Metadata,
    /// Content.
    pub spec: T,
}

/// A list of objects at one version of the collection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List<T> {
    /// Version of the collection, from which a watch can start.
    pub metadata: Metadata,
    /// Objects in order of name.
    pub items: Vec<Object<T>>,
}

/// The object API at one address.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Address of the API.
    pub address: SocketAddr,
}

impl Store {
    /// Reads one object.
    ///
    /// # Errors
    /// [`Fault::NotFound`], or the call failed.
    pub async fn get<T: DeserializeOwned>(&self, kind: Kind, name: &str) -> Result<Object<T>> {
        self.fetch(Call::new(self.address, Method::Get, format!("{}/{name}", kind.path()))).await
    }

    /// Lists the objects whose names start with `prefix`.
    ///
    /// # Errors
    /// The call failed.
    pub async fn list<T: DeserializeOwned>(&self, kind: Kind, prefix: &str) -> Result<List<T>> {
        self.list_within(CALL_TIMEOUT, kind, prefix).await
    }

    /// As [`Store::list`], with another time limit for the head of the response, and then for its
    /// body.
    ///
    /// # Errors
    /// The call failed.
    pub async fn list_within<T: DeserializeOwned>(
        &self,
        limit: Duration,
        kind: Kind,
        prefix: &str,
    ) -> Result<List<T>> {
        let path = format!("{}?prefix={prefix}", kind.path());
        fetch(Call::new(self.address, Method::Get, path).limit(limit)).await
    }

    /// Creates an object.
    ///
    /// # Errors
    /// [`Fault::Conflict`] if the name exists already; [`Fault::Lost`] if the outcome is unknown.
    pub async fn create<T: Serialize + DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        spec: T,
    ) -> Result<Object<T>> {
        let metadata = Metadata { name: name.into(), resource_version: "".into() };
        let object = Object { metadata, spec };
        self.fetch(Call::new(self.address, Method::Post, kind.path()).json(&object)).await
    }

    /// Replaces an object if it is still at the version that the object carries.
    ///
    /// # Errors
    /// [`Fault::Conflict`] if it is at another version; [`Fault::Lost`] if the outcome is unknown.
    pub async fn update<T: Serialize + DeserializeOwned>(
        &self,
        kind: Kind,
        object: &Object<T>,
    ) -> Result<Object<T>> {
        let path = format!("{}/{}", kind.path(), object.metadata.name);
        self.fetch(Call::new(self.address, Method::Put, path).json(object)).await
    }

    /// Deletes an object.
    ///
    /// # Errors
    /// [`Fault::NotFound`], or the call failed.
    pub async fn delete(&self, kind: Kind, name: &str) -> Result<()> {
        let path = format!("{}/{name}", kind.path());
        let call = Call::new(self.address, Method::Delete, path);
        self.fetch::<serde_json::Value>(call).await.map(drop)
    }

    /// Reads the platform's instance list, in order of name.
    ///
    /// # Errors
    /// The call failed.
    pub async fn instances(&self) -> Result<Vec<Instance>> {
        let list: List<Instance> = self.list(Kind::Instances, "").await?;
        Ok(list.items.into_iter().map(|object| object.spec).collect())
    }

    async fn fetch<T: DeserializeOwned>(&self, call: Call) -> Result<T> {
        fetch(call.limit(CALL_TIMEOUT)).await
    }
}

async fn fetch<T: DeserializeOwned>(call: Call) -> Result<T> {
    client::fetch(&call.wire(Wire::Platform)).await.map_err(Fault::from_call)
}
