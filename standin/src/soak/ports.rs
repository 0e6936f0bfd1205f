//! Reserves the ports of a run, which concurrent runs must not share.

use std::net::{Ipv4Addr, TcpListener};

use eyre::{Result, bail};

/// First port of the first block.
const FIRST_PORT: u16 = 21_000;
/// Number of ports in a block.
const BLOCK_PORTS: u16 = 20;
/// Number of blocks. They end below the ports that the kernel gives to clients.
const BLOCKS: u16 = 400;
/// Address of the listeners that mark blocks as taken. No node has it.
const MARKER_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 76, 1);

/// A block of ports that no other run gets while this value lives.
pub struct Ports {
    /// The first port of the block.
    pub first: u16,
    _marker: TcpListener,
}

impl Ports {
    /// Reserves a free block.
    ///
    /// # Errors
    /// Fails if all blocks are taken.
    pub fn reserve() -> Result<Self> {
        // Runs that start at the same time begin their search at different blocks.
        let start = u16::try_from(std::process::id() % u32::from(BLOCKS))?;
        for at in 0..BLOCKS {
            let first = FIRST_PORT + (start + at) % BLOCKS * BLOCK_PORTS;
            if let Ok(marker) = TcpListener::bind((MARKER_IP, first)) {
                return Ok(Self {
                    first,
                    _marker: marker,
                });
            }
        }
        bail!("all {BLOCKS} blocks of ports are taken by other runs; wait until one has ended")
    }
}
