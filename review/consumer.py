"""Stand-ins for consumers and for the platform's routers (PROTOCOL.md, Ingress
and Flows)."""

import asyncio
import random
import zlib
from dataclasses import dataclass

from wire import ACK, FIN, RST, SYN, Packet, add, call, decode, difference

SYN_COPIES_S = (0.2, 0.4)
OPENING_LIMIT_S = 1.4
FIRST_RETRANSMISSION_S = 0.2
LONGEST_RETRANSMISSION_S = 1.6
RESET_WINDOW = 76_800
PROBE_INTERVAL_S = 0.5
PROBE_MISSES = 2


class Router:
    """Sends each packet to a node in rotation of the consumer's zone, by a hash
    of the four addresses and ports ("mod")."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {entry: PROBE_MISSES for entry in deployment.entries}

    def start(self):
        for entry in self.deployment.entries:
            self.deployment.spawn(self._probe(entry))

    async def _probe(self, entry):
        loop = asyncio.get_running_loop()
        while True:
            next_probe = loop.time() + PROBE_INTERVAL_S
            status = await call(entry.addresses.ready, "GET", "/-/ready", timeout=PROBE_INTERVAL_S)
            was_out = self.misses[entry] >= PROBE_MISSES
            self.misses[entry] = 0 if status == 200 else self.misses[entry] + 1
            if was_out != (self.misses[entry] >= PROBE_MISSES):
                state = "in" if was_out else "out of"
                self.deployment.record.write("router", f"{entry.name} is {state} rotation")
            await asyncio.sleep(next_probe - loop.time())

    def in_rotation(self, entry):
        return self.misses[entry] < PROBE_MISSES

    def entry_for(self, packet, zone):
        nodes = [entry for entry in self.deployment.entries if entry.zone == zone]
        ready = [entry for entry in nodes if self.in_rotation(entry)]
        if not ready:
            nodes = [e for e in self.deployment.entries if self.in_rotation(e)] or nodes
        elif 2 * len(ready) >= len(nodes):
            nodes = ready
        key = repr((packet.src, packet.dst)).encode()
        return nodes[zlib.crc32(key) % len(nodes)]


@dataclass
class Answer:
    """How a request ended: served, reset by the system, reset by the endpoint,
    closed, never opened, or timed out."""

    outcome: str
    body: str = ""


class Flow:
    """A consumer's flow, which stays open for several requests."""

    def __init__(self, consumer, route, port):
        self.consumer = consumer
        self.deployment = consumer.deployment
        self.route = route
        self.local = (consumer.address[0], port)
        self.key = (self.local, route)
        self.name = "%s:%d" % self.local
        self.seq = random.randrange(1 << 32)
        self.started_at = asyncio.get_running_loop().time()
        self.next_expected = None
        self.state = "new"
        self.requests = 0
        self.last_sent_at = None
        # Longest time without a packet of either end.
        self.longest_pause = 0.0
        self.last_packet_at = None
        self._acknowledged = self.seq
        self._received = b""
        self._event = asyncio.Event()

    def _touch(self):
        now = asyncio.get_running_loop().time()
        if self.last_packet_at is not None:
            self.longest_pause = max(self.longest_pause, now - self.last_packet_at)
        self.last_packet_at = now

    def _send(self, seq, ack, flags, data=b""):
        self._touch()
        packet = Packet(self.local, self.route, seq, ack, flags, data).signed()
        self.consumer.send(packet)

    async def _wait(self, seconds):
        self._event.clear()
        try:
            await asyncio.wait_for(self._event.wait(), max(0.0, seconds))
        except asyncio.TimeoutError:
            pass

    async def open(self):
        loop = asyncio.get_running_loop()
        limit = loop.time() + OPENING_LIMIT_S
        self.state = "opening"
        for copy, wait in enumerate((*SYN_COPIES_S, OPENING_LIMIT_S)):
            self._send(self.seq, copy, SYN)
            until = min(limit, loop.time() + wait)
            while self.state == "opening" and loop.time() < until:
                await self._wait(until - loop.time())
            if self.state != "opening":
                break
        if self.state == "opening":
            self.state = "not opened"
        return self.state == "open"

    async def request(self, limit_s):
        """Sends a request and waits for its answer for limit_s seconds. The
        first request opens the flow."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        self.requests += 1
        identity = f"{self.name}/{self.requests}"
        record = self.deployment.record
        record.write("consumer", f"sends request {identity}")
        if self.state == "new" and not await self.open():
            record.write("consumer", f"request {identity}: {self.state}")
            return Answer(self.state)
        if self.state != "open":
            return Answer(self.state)
        data = f"GET /work HTTP/1.1\r\nHost: desk\r\nRequest-Id: {identity}\r\n\r\n".encode()
        self.deployment.sent_requests.add(identity)
        self._received = b""
        seq = add(self.seq, 1)
        self.seq = add(self.seq, len(data))
        wait = FIRST_RETRANSMISSION_S
        resend_at = loop.time()
        answer = None
        while self.state == "open" and answer is None and loop.time() < deadline:
            delivered = difference(self._acknowledged, add(self.seq, 1)) >= 0
            if not delivered and loop.time() >= resend_at:
                self._send(seq, self.next_expected, ACK, data)
                resend_at = loop.time() + wait
                wait = min(2 * wait, LONGEST_RETRANSMISSION_S)
            until = deadline if delivered else min(deadline, resend_at)
            await self._wait(until - loop.time())
            answer = self._parse()
        outcome = "served" if answer else "timed out" if self.state == "open" else self.state
        record.write("consumer", f"request {identity}: {outcome}")
        if answer and identity not in answer:
            self.deployment.violation("MIXED", f"request {identity} got the answer {answer!r}")
        return Answer(outcome, answer or "")

    def _parse(self):
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return None
        length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        return body.decode() if len(body) >= length else None

    def give_up(self):
        """Closes the flow."""
        if self.state == "open":
            self._send(add(self.seq, 1), self.next_expected, FIN | ACK)
            self.state = "closed"

    def on_packet(self, packet):
        if packet.has(RST):
            self._on_reset(packet)
            return
        if not packet.is_genuine or packet.has(1):
            self.deployment.violation("MIXED", f"{self.name} got a packet that nobody sent so")
            return
        self._touch()
        if packet.has(SYN):
            if self.state == "opening":
                self.state = "open"
                self.next_expected = add(packet.seq, 1)
                self._event.set()
            return
        if self.state != "open":
            return
        if difference(packet.ack, self._acknowledged) > 0:
            self._acknowledged = packet.ack
        if packet.data:
            if packet.seq == self.next_expected:
                self.next_expected = add(packet.seq, len(packet.data))
                self._received += packet.data
            self._send(add(self.seq, 1), self.next_expected, ACK)
        if packet.has(FIN):
            self.state = "closed"
        self._event.set()

    def _on_reset(self, packet):
        opened = self.state == "open"
        if opened and abs(difference(packet.seq, self.next_expected)) > RESET_WINDOW:
            return
        if self.state not in ("open", "opening"):
            return
        by = "system" if packet.is_system_reset else "endpoint"
        self.deployment.record.write("consumer", f"{self.name} is reset by the {by}")
        if opened and packet.is_system_reset:
            self.deployment.on_system_reset(self)
        self.state = f"reset by the {by}"
        self._event.set()


class Consumer(asyncio.DatagramProtocol):
    """All consumers of a zone, at one address."""

    def __init__(self, deployment, zone, address):
        self.deployment = deployment
        self.zone = zone
        self.address = address
        self._flows = {}
        self._next_port = 20_000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def flow(self, route):
        self._next_port += 1
        flow = Flow(self, route, self._next_port)
        self._flows[flow.key] = flow
        return flow

    def send(self, packet):
        entry = self.deployment.router.entry_for(packet, self.zone)
        self.transport.sendto(packet.encode(), entry.addresses.packets)

    def datagram_received(self, raw, address):
        packet = decode(raw)
        flow = self._flows.get((packet.dst, packet.src)) if packet else None
        if flow is None:
            self.deployment.violation("MIXED", "a consumer got a packet of no flow of its own")
            return
        flow.on_packet(packet)
