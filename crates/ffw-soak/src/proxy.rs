//! A loopback proxy that injects faults into the connections that pass through it.

use {
    crate::wire,
    ffw_runtime::{executor, timer},
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    rustix::net::sockopt,
    smol::net::TcpStream,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError, Weak,
            atomic::{AtomicBool, AtomicU64, Ordering},
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
    /// What is sent on open and new connections is lost. They stay open and silent for good, also
    /// after the fault.
    Loss,
    /// The same, but what clients send still arrives.
    LossOfAnswers,
    /// The same, but the first half of the next chunk to a client still arrives, so that a response
    /// falls silent in its middle.
    LossWithinAnswers,
}

const FAULTS: [Fault; 8] = [
    Fault::None,
    Fault::Delay,
    Fault::Silence,
    Fault::OneWay,
    Fault::Reset,
    Fault::Loss,
    Fault::LossOfAnswers,
    Fault::LossWithinAnswers,
];

/// Whether a connection has lost bytes, after which nothing more can pass in that direction.
#[derive(Debug, Default)]
struct Losses {
    to_target: AtomicBool,
    to_client: AtomicBool,
    /// Whether bytes to the client will be lost from the middle of the next chunk on.
    within_next: AtomicBool,
}

impl Losses {
    fn record(&self, fault: Fault) {
        if fault == Fault::Loss {
            self.to_target.store(true, Ordering::SeqCst);
        }
        if matches!(fault, Fault::Loss | Fault::LossOfAnswers) {
            self.to_client.store(true, Ordering::SeqCst);
        }
        if fault == Fault::LossWithinAnswers {
            self.within_next.store(true, Ordering::SeqCst);
        }
    }

    /// The number of bytes that still arrive of a chunk of `count` bytes to the client.
    fn bytes_that_arrive(&self, count: usize) -> usize {
        if !self.within_next.swap(false, Ordering::SeqCst) {
            return count;
        }
        self.to_client.store(true, Ordering::SeqCst);
        count / 2
    }

    fn is_lost(&self, is_to_client: bool) -> bool {
        let lost = if is_to_client { &self.to_client } else { &self.to_target };
        lost.load(Ordering::SeqCst)
    }
}

/// A proxy in front of one target address. Clones share the fault.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    fault: Arc<AtomicU64>,
    /// Whether connections that fail are reset, and not closed as if they had come to their end.
    resets: Arc<AtomicBool>,
    /// The open connections, the oldest first.
    open: Arc<Mutex<Vec<Weak<Losses>>>>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let (listener, address) = wire::bind().await?;
        let proxy =
            Proxy { address, fault: Arc::default(), resets: Arc::default(), open: Arc::default() };
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
        self.lose_open(fault, 1);
    }

    /// Resets connections that fail from now on, those of [`Fault::Reset`] too, so that a response
    /// that ends with its connection is not taken for complete.
    pub fn reset_failed(&self) {
        self.resets.store(true, Ordering::SeqCst);
    }

    /// Lets one in `every` of the connections that are open lose what is sent on it from now on,
    /// for good. New connections are sound. Does nothing for a fault that loses nothing.
    pub fn lose_open(&self, fault: Fault, every: usize) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|losses| losses.strong_count() > 0);
        let chosen = open.iter().step_by(every.max(1)).filter_map(Weak::upgrade);
        chosen.for_each(|losses| losses.record(fault));
    }

    fn fault(&self) -> Fault {
        FAULTS[self.fault.load(Ordering::SeqCst) as usize]
    }

    async fn relay(self, client: TcpStream, target: SocketAddr) {
        if self.fault() == Fault::Reset {
            return;
        }
        let losses = Arc::new(Losses::default());
        self.open.lock().unwrap_or_else(PoisonError::into_inner).push(Arc::downgrade(&losses));
        losses.record(self.fault());
        let Ok(upstream) = TcpStream::connect(target).await else { return };
        let to_upstream = self.copy(client.clone(), upstream.clone(), &losses, false);
        let to_client = self.copy(upstream.clone(), client.clone(), &losses, true);
        let copying = smol::future::or(to_upstream, to_client);
        let has_failed = smol::future::or(copying, self.reset_requested()).await;
        if has_failed && self.resets.load(Ordering::SeqCst) {
            for stream in [&client, &upstream] {
                sockopt::set_socket_linger(stream, Some(Duration::ZERO)).ok();
            }
            return;
        }
        // Both streams are closed after the end of one direction or a reset, so that both peers see
        // the end of the connection.
        for stream in [client, upstream] {
            drop(stream.shutdown(std::net::Shutdown::Both));
        }
    }

    /// Waits until connections are to be reset; returns true.
    async fn reset_requested(&self) -> bool {
        while self.fault() != Fault::Reset {
            timer::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Copies bytes until the end of a connection; returns whether one of them has failed.
    async fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        losses: &Losses,
        is_to_client: bool,
    ) -> bool {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let mut count = match from.read(&mut buffer).await {
                Ok(count @ 1..) => count,
                end => {
                    // The end of a connection is lost too.
                    while is_to_client && losses.is_lost(is_to_client) {
                        timer::sleep(POLL_INTERVAL).await;
                    }
                    return end.is_err();
                }
            };
            if losses.is_lost(is_to_client) {
                continue;
            }
            if is_to_client {
                count = losses.bytes_that_arrive(count);
            }
            if self.fault() == Fault::Delay {
                timer::sleep(Duration::from_millis(150)).await;
            }
            while self.fault() == Fault::Silence || is_to_client && self.fault() == Fault::OneWay {
                timer::sleep(POLL_INTERVAL).await;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return true;
            }
        }
    }
}
