//! A loopback proxy that injects faults into the connections that pass through it.

use {
    crate::wire,
    ffw_runtime::{executor, timer},
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    smol::net::TcpStream,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Interval at which the current fault is checked while it holds bytes back or may close
/// connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Each chunk that is read is forwarded 150 ms late.
    Delay,
    /// Nothing is forwarded, in either direction.
    Silence,
    /// Nothing is forwarded to the client that connected; its own bytes still are.
    OneWay,
    /// All open connections are closed, and new ones are closed on arrival.
    Reset,
}

const FAULTS: [Fault; 5] = [Fault::None, Fault::Delay, Fault::Silence, Fault::OneWay, Fault::Reset];

/// A proxy in front of one target address. Clones share the fault.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    fault: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let (listener, address) = wire::bind().await?;
        let proxy = Proxy { address, fault: Arc::default() };
        let proxy_clone = proxy.clone();
        executor::detach(async move {
            while let Ok((stream, _)) = listener.accept().await {
                executor::detach(proxy_clone.clone().relay(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Sets the fault for all open and new connections.
    pub fn set_fault(&self, fault: Fault) {
        let index = FAULTS.iter().position(|entry| *entry == fault).unwrap_or(0);
        self.fault.store(index as u64, Ordering::SeqCst);
    }

    fn fault(&self) -> Fault {
        FAULTS[self.fault.load(Ordering::SeqCst) as usize]
    }

    async fn relay(self, client: TcpStream, target: SocketAddr) {
        if self.fault() == Fault::Reset {
            return;
        }
        let Ok(upstream) = TcpStream::connect(target).await else { return };
        let to_upstream = self.copy(client.clone(), upstream.clone(), false);
        let to_client = self.copy(upstream.clone(), client.clone(), true);
        smol::future::or(smol::future::or(to_upstream, to_client), self.reset_requested()).await;
        // Both streams are closed after the end of one direction or a reset, so that both peers see
        // the end of the connection.
        for stream in [client, upstream] {
            drop(stream.shutdown(std::net::Shutdown::Both));
        }
    }

    async fn reset_requested(&self) {
        while self.fault() != Fault::Reset {
            timer::sleep(POLL_INTERVAL).await;
        }
    }

    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_to_client: bool) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
            if self.fault() == Fault::Delay {
                timer::sleep(Duration::from_millis(150)).await;
            }
            while self.fault() == Fault::Silence || is_to_client && self.fault() == Fault::OneWay {
                timer::sleep(POLL_INTERVAL).await;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}
