//! What a connection holds of the memory budget, and the account that is charged with it.

use {
    super::Connection,
    ffw_runtime::budget::{Holder, Kind},
    rustix::net::sockopt,
};

impl Connection {
    /// Charges what the connection holds to an account, and bounds the sizes of the socket's
    /// buffers, which the system counts to the machine's memory.
    pub fn charge_to(mut self, holder: Holder, socket_bytes: usize) -> Connection {
        // If the system refuses a size, its own default applies.
        sockopt::set_socket_recv_buffer_size(self.stream.get_ref(), socket_bytes).ok();
        sockopt::set_socket_send_buffer_size(self.stream.get_ref(), socket_bytes).ok();
        self.holder = Some(holder);
        self
    }

    /// Charges a response that is to be read to an account. Returns `false` if there is no memory
    /// for its first bytes.
    pub fn charge_response_to(&mut self, holder: Holder) -> bool {
        self.holder = Some(holder);
        self.charge(Kind::Buffer, self.buffer.next_capacity())
    }

    /// Bounds the size of the socket's receive buffer, whose bytes count to the machine's memory.
    pub fn bound_unread(&self, socket_bytes: usize) {
        // If the system refuses a size, its own default applies.
        sockopt::set_socket_recv_buffer_size(self.stream.get_ref(), socket_bytes).ok();
    }

    /// Releases the memory of the receive buffer if it holds nothing, and ends the charges of the
    /// connection; returns the account.
    pub fn take_holder(&mut self) -> Option<Holder> {
        self.release_buffer();
        self.holder.take()
    }

    /// Charges what is held of a kind; returns `false` if there is no memory for more.
    pub fn charge(&mut self, kind: Kind, bytes: usize) -> bool {
        self.holder.as_mut().is_none_or(|holder| holder.set(kind, bytes))
    }

    /// Marks that a request is served from now on; returns `false` if the connection is about to
    /// be closed to reclaim its memory.
    pub fn begin_request(&self) -> bool {
        self.holder.as_ref().is_none_or(Holder::begin_request)
    }

    /// Marks that no request is served any more, and releases the request's charges.
    pub fn end_request(&mut self) {
        if let Some(holder) = &mut self.holder {
            holder.end_request();
        }
    }

    /// Releases the memory of the receive buffer if it holds nothing.
    pub fn release_buffer(&mut self) {
        self.buffer.release();
        self.charge(Kind::Buffer, self.buffer.capacity());
    }
}
