"""Packets of flows and small HTTP/1.1 calls, as PROTOCOL.md describes them."""

import asyncio
import hashlib
import json
import struct
from dataclasses import dataclass, replace
from ipaddress import IPv4Address

SYN, ACK, RST, FIN, BOUNCED = 64, 32, 16, 8, 1
MAX_DATA = 1200
_HEADER = struct.Struct(">IIBBIHHIIHI")
_KEY = b"known to consumers and endpoints only"
_MODULUS = 1 << 32


def difference(later, earlier):
    """Distance of two sequence numbers, from -2^31 to 2^31."""
    return (later - earlier + _MODULUS // 2) % _MODULUS - _MODULUS // 2


def add(sequence, count):
    return (sequence + count) % _MODULUS


@dataclass(frozen=True)
class Packet:
    src: tuple  # (IP address as text, port)
    dst: tuple
    seq: int = 0
    ack: int = 0
    flags: int = 0
    data: bytes = b""
    pad: int = 0
    echo: int = 0
    sum: int = 0

    def has(self, flag):
        return bool(self.flags & flag)

    @property
    def is_syn(self):
        return self.has(SYN) and not self.has(ACK)

    @property
    def is_system_reset(self):
        """True for a reset that the system sent, not the other end."""
        return self.has(RST) and self.sum == 0

    def _pack(self, flags, pad, echo, checksum):
        head = _HEADER.pack(
            self.seq,
            self.ack,
            flags,
            pad,
            echo,
            self.dst[1],
            self.src[1],
            int(IPv4Address(self.src[0])),
            int(IPv4Address(self.dst[0])),
            len(self.data),
            checksum,
        )
        return head + self.data

    def expected_sum(self):
        covered = self._pack(self.flags & ~BOUNCED, 0, 0, 0)
        digest = hashlib.blake2b(covered, digest_size=4, key=_KEY).digest()
        return int.from_bytes(digest, "big") or 1

    @property
    def is_genuine(self):
        return self.sum == self.expected_sum()

    def encode(self):
        return self._pack(self.flags, self.pad, self.echo, self.sum)

    def signed(self):
        return replace(self, sum=self.expected_sum())


def decode(raw):
    """The packet in raw; None when it is malformed."""
    if len(raw) < _HEADER.size:
        return None
    seq, ack, flags, pad, echo, dport, sport, src, dst, length, checksum = _HEADER.unpack_from(raw)
    data = raw[_HEADER.size :]
    if len(data) != length:
        return None
    return Packet(
        (str(IPv4Address(src)), sport),
        (str(IPv4Address(dst)), dport),
        seq,
        ack,
        flags,
        data,
        pad,
        echo,
        checksum,
    )


async def read_message(reader):
    """The start line and the body of an HTTP/1.1 message; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    return lines[0], await reader.readexactly(length)


def encode_response(status, body=b""):
    reasons = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}
    head = (
        f"HTTP/1.1 {status} {reasons.get(status, 'Error')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def call(address, method, path, body=None, timeout=1.0, local=None):
    """Makes one HTTP call on a connection of its own. Returns the status, None
    when there was no response in time."""
    content = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
        "Connection: close\r\n\r\n"
    )

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, local_addr=local)
        try:
            writer.write(head.encode() + content)
            start, _ = await read_message(reader)
            return int(start.split()[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
