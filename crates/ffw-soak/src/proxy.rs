//! A loopback proxy that harms the connections through it.

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

/// Pause between two looks at the harm while bytes are held.
const LOOK: Duration = Duration::from_millis(20);

/// What is done to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// Each part comes 150 ms late.
    Delay,
    /// Nothing is passed on, in both directions.
    Silence,
    /// Nothing is passed on to whoever connected.
    OneWay,
    /// All connections are closed, and new ones at once.
    Reset,
}

const HARMS: [Harm; 5] = [Harm::None, Harm::Delay, Harm::Silence, Harm::OneWay, Harm::Reset];

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address to connect to.
    pub address: SocketAddr,
    harm: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let (listener, address) = wire::bind().await?;
        let proxy = Proxy { address, harm: Arc::default() };
        let serving = proxy.clone();
        executor::detach(async move {
            while let Ok((stream, _)) = listener.accept().await {
                executor::detach(serving.clone().join(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Changes what is done to connections.
    pub fn set(&self, harm: Harm) {
        let index = HARMS.iter().position(|one| *one == harm).unwrap_or(0);
        self.harm.store(index as u64, Ordering::SeqCst);
    }

    fn harm(&self) -> Harm {
        HARMS[self.harm.load(Ordering::SeqCst) as usize]
    }

    async fn join(self, near: TcpStream, target: SocketAddr) {
        if self.harm() == Harm::Reset {
            return;
        }
        let Ok(far) = TcpStream::connect(target).await else { return };
        let forth = self.copy(near.clone(), far.clone(), false);
        let back = self.copy(far.clone(), near.clone(), true);
        smol::future::or(smol::future::or(forth, back), self.reset()).await;
        // Whichever side has ended, the other one must see it.
        for stream in [near, far] {
            drop(stream.shutdown(std::net::Shutdown::Both));
        }
    }

    async fn reset(&self) {
        while self.harm() != Harm::Reset {
            timer::sleep(LOOK).await;
        }
    }

    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_back: bool) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
            if self.harm() == Harm::Delay {
                timer::sleep(Duration::from_millis(150)).await;
            }
            while self.harm() == Harm::Silence || is_back && self.harm() == Harm::OneWay {
                timer::sleep(LOOK).await;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}
