//! Writes messages.

use {
    super::{Connection, Fault},
    crate::message::Response,
    ffw_runtime::{meter::Metered, timer},
    futures_lite::{AsyncWriteExt as _, future},
    std::{io, time::Duration},
};

impl Connection {
    /// Writes a request and reads the head of the response, which may arrive before the request is
    /// completely written. Returns the head, and whether the request was completely written.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn exchange(
        &mut self,
        bytes: &[u8],
        limit: usize,
    ) -> Result<(Response, bool), Fault> {
        let mut writer = Metered::new(self.stream.get_ref().clone(), self.stream.wire());
        let mut is_written = false;
        let writing = async {
            // A server that responds early may stop reading. A failed write is therefore no error
            // here: the response, or the failure to read one, decides.
            is_written = writer.write_all(bytes).await.is_ok();
            future::pending().await
        };
        let head = smol::future::or(self.read_response(limit), writing).await?;
        self.is_request_cut = !is_written;
        Ok((head, is_written))
    }

    /// Writes bytes to the socket within `limit`.
    ///
    /// # Errors
    /// The connection failed, or the other side did not read enough within `limit`.
    pub async fn write(&mut self, bytes: &[u8], limit: Duration) -> io::Result<()> {
        match timer::timeout(limit, self.stream.write_all(bytes)).await {
            Some(written) => written,
            None => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the other side does not read what is sent",
            )),
        }
    }
}
