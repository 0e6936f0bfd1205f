//! The listening sockets of a node.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use eyre::{Result, WrapErr as _};

use crate::site::Site;

/// All listening sockets, bound before the node's addresses are announced.
pub struct Sockets {
    pub callers: TcpListener,
    pub readiness: TcpListener,
    pub directory: TcpListener,
    pub link: TcpListener,
    pub control: UdpSocket,
    pub pool: UdpSocket,
    pub broker: UdpSocket,
}

impl Sockets {
    pub fn bind(site: &Site) -> Result<Self> {
        let listen = &site.listen;
        Ok(Self {
            callers: tcp(listen.callers, "callers")?,
            readiness: tcp(listen.readiness, "readiness checks")?,
            directory: tcp(listen.directory, "the directory")?,
            link: tcp(listen.link, "links")?,
            control: udp(listen.control, "control")?,
            pool: udp(listen.pool, "admission")?,
            broker: udp(listen.broker, "answers about admission")?,
        })
    }
}

fn tcp(address: SocketAddr, what: &str) -> Result<TcpListener> {
    crate::http::listen(address)
        .wrap_err_with(|| format!("can't listen on {address} for {what}; is the port taken?"))
}

fn udp(address: SocketAddr, what: &str) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address)
        .wrap_err_with(|| format!("can't listen on {address} for {what}; is the port taken?"))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
