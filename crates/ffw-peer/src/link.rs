//! Connections to peers: one per address, opened on demand and shared by all calls.

use {
    crate::{
        handshake::{self, Secret, Side},
        server,
        service::PeerClient,
    },
    async_compat::Compat,
    ffw_protocol::error::{Error, Kind, Result},
    ffw_runtime::{
        executor,
        meter::{Metered, Wire},
        timer,
    },
    log::info,
    smol::net::TcpStream,
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
        time::{Duration, Instant},
    },
    tarpc::{
        client::{self, RpcError},
        context::{self, Context},
        tokio_serde::formats::Bincode,
        tokio_util::codec::Framed,
    },
};

/// Time to connect to a peer, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without any answer, though calls were made, after which a connection is not used for
/// further calls: its answers may be lost while it stays open.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug)]
struct Link {
    address: SocketAddr,
    client: PeerClient,
    /// When the first call was made since the last answer; `None` if there was none.
    unanswered_since: Arc<Mutex<Option<Instant>>>,
}

impl Link {
    fn record_call(&self) {
        self.unanswered().get_or_insert_with(Instant::now);
    }

    fn record_answer(&self) {
        *self.unanswered() = None;
    }

    fn is_silent(&self) -> bool {
        self.unanswered().is_some_and(|since| since.elapsed() >= SILENCE_LIMIT)
    }

    fn unanswered(&self) -> MutexGuard<'_, Option<Instant>> {
        self.unanswered_since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Open connections to peers, in order of address. Clones share the connections.
#[derive(Clone, Debug)]
pub struct PeerConnections {
    secret: Secret,
    links: Arc<Mutex<Vec<Link>>>,
}

impl PeerConnections {
    /// A pool without connections.
    pub fn new(secret: Secret) -> PeerConnections {
        PeerConnections { secret, links: Arc::default() }
    }

    /// Makes one call. The answer must arrive within `limit`; a connection that must be opened
    /// first has its own time limit.
    ///
    /// # Errors
    /// [`Kind::PeerUnavailable`]. If the call itself failed, the connection is dropped and the next
    /// call opens a new one; if it timed out, the connection stays unless it has brought no answer
    /// for [`SILENCE_LIMIT`].
    pub async fn call<T, F, Fut>(&self, address: SocketAddr, limit: Duration, call: F) -> Result<T>
    where
        F: FnOnce(PeerClient, Context) -> Fut,
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        let link = self.link(address).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        link.record_call();
        let result = timer::timeout(limit, call(link.client.clone(), context)).await;
        match result {
            Some(Ok(value)) => {
                link.record_answer();
                Ok(value)
            }
            Some(Err(err)) => {
                self.drop_link(address);
                Err(unavailable(address, &err.to_string()))
            }
            None => {
                // Other calls may be waiting on it, and keep it open for themselves.
                if link.is_silent() {
                    info!("event=peer_silent peer={address}");
                    self.drop_one(&Arc::downgrade(&link.unanswered_since));
                }
                Err(unavailable(address, "no answer in time"))
            }
        }
    }

    /// Makes one call on a connection of its own, which is closed afterwards, so that a large
    /// answer delays no other call. `limit` covers the whole call.
    ///
    /// # Errors
    /// [`Kind::PeerUnavailable`].
    pub async fn call_apart<T, F, Fut>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<T>
    where
        F: FnOnce(PeerClient, Context) -> Fut,
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        let calling = async {
            let (client, dispatch) = self.connect(address).await.map_err(|err| err.to_string())?;
            // Dropping the task closes the connection.
            let _dispatch = executor::spawn(dispatch);
            call(client, context).await.map_err(|err| err.to_string())
        };
        match timer::timeout(limit, calling).await {
            Some(result) => result.map_err(|err| unavailable(address, &err)),
            None => Err(unavailable(address, "no answer in time")),
        }
    }

    async fn link(&self, address: SocketAddr) -> Result<Link> {
        if let Some(link) = self.open_link(address) {
            return Ok(link);
        }
        let connecting = timer::timeout(CONNECT_TIMEOUT, self.connect(address)).await;
        let (client, dispatch) = match connecting {
            Some(Ok(connected)) => connected,
            Some(Err(err)) => return Err(unavailable(address, &err.to_string())),
            None => return Err(unavailable(address, "connecting timed out")),
        };
        let mut links = self.lock();
        match links.binary_search_by_key(&address, |link| link.address) {
            Ok(index) => Ok(links[index].clone()),
            Err(index) => {
                let link = Link { address, client, unanswered_since: Arc::default() };
                links.insert(index, link.clone());
                let (pool, ended) = (self.clone(), Arc::downgrade(&link.unanswered_since));
                executor::detach(async move {
                    dispatch.await;
                    pool.drop_one(&ended);
                });
                Ok(link)
            }
        }
    }

    /// Opens a connection. The calls of the client are sent and answered by the returned task.
    async fn connect(
        &self,
        address: SocketAddr,
    ) -> std::io::Result<(PeerClient, impl Future<Output = ()> + Send + 'static)> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        handshake::authenticate(&mut stream, &self.secret, Side::Client).await?;
        let framed = Framed::new(Compat::new(Metered::new(stream, Wire::Peer)), server::codec());
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let created = PeerClient::new(client::Config::default(), transport);
        let dispatch = Compat::new(created.dispatch);
        Ok((created.client, async move { drop(dispatch.await) }))
    }

    fn open_link(&self, address: SocketAddr) -> Option<Link> {
        let links = self.lock();
        let index = links.binary_search_by_key(&address, |link| link.address).ok()?;
        Some(links[index].clone())
    }

    /// Removes one connection; another one to its peer that has taken its place stays.
    fn drop_one(&self, unanswered_since: &Weak<Mutex<Option<Instant>>>) {
        self.lock().retain(|link| Arc::as_ptr(&link.unanswered_since) != unanswered_since.as_ptr());
    }

    /// Removes the connection to an address, if there is one.
    pub fn drop_link(&self, address: SocketAddr) {
        self.lock().retain(|link| link.address != address);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Peers that have answered a call that daemons of earlier builds do not know.
#[derive(Debug, Default)]
pub struct Answering(Mutex<Vec<SocketAddr>>);

impl Answering {
    /// Whether a peer has answered its latest call.
    pub fn has_answered(&self, address: SocketAddr) -> bool {
        self.lock().binary_search(&address).is_ok()
    }

    /// Makes such a call: on a connection of its own until the peer has answered one, as a peer of
    /// an earlier build closes the connection, on which other calls may be waiting.
    ///
    /// # Errors
    /// As [`PeerConnections::call`].
    pub async fn call<T, F, Fut>(
        &self,
        peers: &PeerConnections,
        address: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<T>
    where
        F: FnOnce(PeerClient, Context) -> Fut,
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        let result = match self.has_answered(address) {
            true => peers.call(address, limit, call).await,
            false => peers.call_apart(address, limit, call).await,
        };
        let mut answering = self.lock();
        match (answering.binary_search(&address), result.is_ok()) {
            (Err(index), true) => answering.insert(index, address),
            (Ok(index), false) => drop(answering.remove(index)),
            _ => {}
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unavailable(address: SocketAddr, message: &str) -> Error {
    Error::new(Kind::PeerUnavailable, format!("peer {address}: {message}"))
}
