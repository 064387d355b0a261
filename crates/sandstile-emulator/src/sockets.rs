//! Socket operations that imitate hosts and the network: listening, connection resets and unanswered connects.
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Length of the accept queue.
const BACKLOG: i32 = 1024;

pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A host returns to its address while its former connections are still in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Resets a connection (RST), as the kernel does for a dead process.
pub fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

/// Makes new connections to a listener time out: shrinks its accept queue to one entry and fills it, so that the kernel
/// drops further SYN packets.
pub fn stop_accepting(listener: &TcpListener, address: SocketAddr) -> Vec<Socket> {
    let _ = SockRef::from(listener).listen(0);
    let start_connect = || -> io::Result<Socket> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        // Established or still in progress, the connection takes a queue entry either way.
        let _ = socket.connect(&address.into());
        Ok(socket)
    };
    (0..3).filter_map(|_| start_connect().ok()).collect()
}

/// Accepts connections again, after `stop_accepting`. The caller drops the connections that filled the queue.
pub fn resume_accepting(listener: &TcpListener) {
    let _ = SockRef::from(listener).listen(BACKLOG);
}
