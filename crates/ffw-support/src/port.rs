//! Ports for daemons under test, which bind them later, and again after each restart.
//!
//! Meanwhile a port is bound by nobody, so a lock on a file keeps tests in this and in other
//! processes from choosing it as well. The range is below the one from which the system gives ports
//! to sockets without one of their own.

use std::{
    env,
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    ops::Range,
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports that are chosen.
const PORTS: Range<u16> = 10_000..32_000;

/// A port of the loopback address. No other holder has it until this is dropped.
#[derive(Debug)]
pub struct Port {
    /// Address with the port.
    pub address: SocketAddr,
    _lock: File,
}

impl Port {
    /// Chooses a port that is free now.
    ///
    /// # Errors
    /// No port is free, or the folder of the locks can't be written.
    pub fn choose() -> io::Result<Port> {
        static CHOSEN: AtomicU32 = AtomicU32::new(0);
        let folder = env::temp_dir().join("fireflyworks-ports");
        fs::create_dir_all(&folder)?;
        // Each process begins elsewhere, so that few ports are tried in vain.
        let first = std::process::id().wrapping_mul(127);
        for _ in PORTS {
            let offset = first.wrapping_add(CHOSEN.fetch_add(1, Ordering::SeqCst));
            let number = PORTS.start + (offset % PORTS.len() as u32) as u16;
            let lock = File::create(folder.join(number.to_string()))?;
            let address = SocketAddr::from(([127, 0, 0, 1], number));
            if lock.try_lock().is_ok() && TcpListener::bind(address).is_ok() {
                return Ok(Port { address, _lock: lock });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}
