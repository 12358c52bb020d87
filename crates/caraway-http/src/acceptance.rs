//! [`check_acceptance`]: whether a server accepts connections.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, time::timeout};

use crate::ConnectTimeouts;

/// Time in which a proxy closes a connection that it could not pass on to its server.
const CLOSE_TIME: Duration = Duration::from_millis(20);

/// Whether a server accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It accepts them and leaves them open.
    Accepting,
    /// It refuses them, or closes them at once: no process serves the address.
    Refusing,
    /// It can't be told, for example because the network loses packets.
    Unknown,
}

/// Opens a connection to `addr` and closes it, without sending anything.
pub async fn check_acceptance(addr: SocketAddr, timeouts: &ConnectTimeouts) -> Acceptance {
    let stream = match timeout(timeouts.connect, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Acceptance::Refusing,
        Ok(Err(_)) | Err(_) => return Acceptance::Unknown,
    };
    match timeout(CLOSE_TIME, stream.peek(&mut [0])).await {
        Ok(Ok(0) | Err(_)) => Acceptance::Refusing,
        Ok(Ok(_)) | Err(_) => Acceptance::Accepting,
    }
}
