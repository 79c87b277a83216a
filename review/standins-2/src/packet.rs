//! Packets: a head of 32 bytes, big-endian, and up to 1,200 bytes of data.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const SYN: u8 = 32;
pub const ACK: u8 = 1;
pub const FIN: u8 = 64;
pub const RST: u8 = 8;
/// Set by a host in a packet that it gives back.
pub const RETURNED: u8 = 16;

const HEAD_BYTES: usize = 32;

/// A packet; `echo` and `pad` are zero unless it was read from the network.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub echo: [u8; 4],
    pub data: Vec<u8>,
    /// Whether the sum is zero, as in a reset of the system's own.
    pub is_unsummed: bool,
}

impl Packet {
    pub fn new(from: SocketAddrV4, to: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Packet {
        let (echo, data) = ([0; 4], Vec::new());
        Packet { from, to, flags, seq, ack, echo, data, is_unsummed: false }
    }

    pub fn with_data(self, data: &[u8]) -> Packet {
        Packet { data: data.to_vec(), ..self }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];
        bytes[4..6].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.from.ip().octets());
        bytes[10..14].copy_from_slice(&self.to.ip().octets());
        bytes[14..16].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[16] = self.flags;
        bytes[18..22].copy_from_slice(&self.seq.to_be_bytes());
        bytes[22..26].copy_from_slice(&self.ack.to_be_bytes());
        bytes[26..28].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[28..32].copy_from_slice(&self.echo);
        bytes.extend_from_slice(&self.data);
        let sum = sum_of(&bytes);
        bytes[..4].copy_from_slice(&sum);
        bytes
    }

    /// Decodes a packet; `None` if it isn't one or its sender didn't write it so.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let length = bytes.len().checked_sub(HEAD_BYTES)?;
        let word = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let half = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let is_unsummed = bytes[..4] == [0; 4] && bytes[16] & RST != 0;
        if usize::from(half(26)) != length || (!is_unsummed && bytes[..4] != sum_of(bytes)) {
            return None;
        }
        Some(Packet {
            from: SocketAddrV4::new(Ipv4Addr::from(word(6)), half(14)),
            to: SocketAddrV4::new(Ipv4Addr::from(word(10)), half(4)),
            flags: bytes[16],
            seq: word(18),
            ack: word(22),
            echo: word(28).to_be_bytes(),
            data: bytes[HEAD_BYTES..].to_vec(),
            is_unsummed,
        })
    }
}

/// A sum over all but `echo`, `pad` and the flag of returned packets; never zero.
fn sum_of(bytes: &[u8]) -> [u8; 4] {
    let mut sum = 0x9e37_79b9_u32;
    for (at, byte) in bytes.iter().enumerate().skip(4) {
        let byte = match at {
            16 => byte & !RETURNED,
            17 | 28..32 => continue,
            _ => *byte,
        };
        sum = (sum.rotate_left(5) ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    (sum | 1).to_be_bytes()
}
