//! Watches: streams of the changes to the objects of one kind, as JSON lines. A watch on which
//! neither a change nor a bookmark arrives in time is treated as lost.

use {
    crate::{
        fault::{Fault, Result},
        store::{Kind, Object, Store},
    },
    ffw_http::client::{self, Call},
    ffw_runtime::{meter::Wire, timer},
    futures_lite::{AsyncBufReadExt as _, AsyncReadExt as _, io::BufReader},
    http_types::{Body, Method},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// Time without an event after which a watch is treated as lost; the API sends a bookmark each
/// second. With the second in which the other daemons ask a relay, a change must still be in force
/// everywhere within 4 s.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// What happened to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Change {
    /// It was created.
    Added,
    /// It was replaced.
    Modified,
    /// It was deleted.
    Deleted,
    /// No change; sent periodically to show that the watch works.
    Bookmark,
}

/// One line of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event<T> {
    /// What happened.
    #[serde(rename = "type")]
    pub change: Change,
    /// The object afterwards, or before its deletion; absent in a bookmark.
    pub object: Option<Object<T>>,
}

/// Largest event, in bytes.
const LINE_BYTES_MAX: u64 = 8 << 20;

/// A running watch. Dropping it closes the connection.
#[derive(Debug)]
pub struct Watch {
    lines: BufReader<Body>,
}

/// Starts a watch after the given version of the collection; `limit` is the time in which the API
/// must answer.
///
/// # Errors
/// [`Fault::Gone`] if that version is too old, or the call failed.
pub async fn start(store: &Store, kind: Kind, version: &str, limit: Duration) -> Result<Watch> {
    let path = format!("{}?watch=1&resourceVersion={version}", kind.path());
    let call = Call::new(store.address, Method::Get, path).limit(limit).wire(Wire::Platform);
    let mut response = client::send(&call).await.map_err(Fault::from_call)?;
    let status: u16 = response.status().into();
    if status == 410 {
        return Err(Fault::Gone);
    }
    if status > 299 {
        return Err(Fault::Down(format!("watch refused with {status}")));
    }
    Ok(Watch { lines: BufReader::new(response.take_body()) })
}

impl Watch {
    /// Waits for the next event.
    ///
    /// # Errors
    /// [`Fault::Lost`] if the watch ended, no event arrived in time, or an event can't be parsed.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Event<T>> {
        let mut line = String::new();
        let mut lines = (&mut self.lines).take(LINE_BYTES_MAX);
        let reading = lines.read_line(&mut line);
        match timer::timeout(SILENCE_LIMIT, reading).await {
            None => return Err(Fault::Lost("no event arrived on the watch in time".into())),
            Some(Err(err)) => return Err(Fault::Lost(err.to_string())),
            Some(Ok(0)) => return Err(Fault::Lost("the watch ended".into())),
            Some(Ok(_)) if !line.ends_with('\n') => {
                return Err(Fault::Lost("an event was cut off or is too large".into()));
            }
            Some(Ok(_)) => {}
        }
        serde_json::from_str(&line).map_err(|err| Fault::Lost(err.to_string()))
    }
}
