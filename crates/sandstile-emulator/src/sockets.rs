//! What hosts and the network do to sockets: listen, refuse, reset, and never come up.
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A host comes back at its address while its former connections still fade.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Ends a connection the way a dead process does.
pub fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

/// Has a listener's new connections never come up: its queue holds one, which is filled, and the platform then
/// drops what else knocks.
pub fn fall_silent(listener: &TcpListener, address: SocketAddr) -> Vec<Socket> {
    let _ = SockRef::from(listener).listen(0);
    let knock = || -> io::Result<Socket> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        // In progress or up at once: either way it takes a place.
        let _ = socket.connect(&address.into());
        Ok(socket)
    };
    (0..3).filter_map(|_| knock().ok()).collect()
}

/// It takes connections again; those that filled its queue are gone by then.
pub fn speak_again(listener: &TcpListener) {
    let _ = SockRef::from(listener).listen(BACKLOG);
}
