"""A stand-in for an endpoint that runs beside an agent (PROTOCOL.md, Flows and
Endpoints). All endpoints of a deployment share one process."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from wire import ACK, BOUNCED, FIN, RST, SYN, Packet, add, call, decode, difference
from wire import encode_response, read_message
from dataclasses import replace

FIRST_RETRANSMISSION_S = 0.2
LONGEST_RETRANSMISSION_S = 1.6
RETRANSMISSIONS = 8
_next_boot = 0


@dataclass
class Flow:
    key: tuple
    consumer_seq: int
    seq: int
    next_expected: int = 0
    opened_at: float = None
    unacknowledged: bytes = b""
    sent: int = 0
    closed: bool = False
    last_packet_at: float = 0.0
    answers: dict = field(default_factory=dict)


class Endpoint(asyncio.DatagramProtocol):
    """One endpoint address. start() and crash() begin and end a boot."""

    def __init__(self, deployment, index, service, zone, addresses):
        self.deployment = deployment
        self.record = deployment.record
        self.name = f"endpoint-{index}"
        self.service = service
        self.zone = zone
        self.addresses = addresses
        self.alive = False
        self.boot = None
        self.flows = {}
        # Flow keys with the times at which packets of flows arrived.
        self.arrivals = []
        self.drain_acknowledged_at = None
        self.taken = []
        self._tasks = set()

    async def start(self, identity=None, born_offset_ms=0, cold_s=0.0):
        global _next_boot
        _next_boot += 1
        loop = asyncio.get_running_loop()
        self.boot = _next_boot
        self.identity = identity or f"i-{self.boot:06x}{random.randrange(1 << 16):04x}"
        self.born = int(time.time() * 1000) + born_offset_ms
        self.sequence = 0
        self.draining = False
        self.drain_acknowledged_at = None
        self.started_at = loop.time()
        self.cold_until = loop.time() + cold_s
        self.flows = {}
        self.taken = []
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.addresses.app
        )
        self.health = await asyncio.start_server(self._serve_health, *self.addresses.app)
        self.alive = True
        self.record.write(self.name, f"boot {self.boot} of {self.service} starts, born {self.born}")
        self._spawn(self._beat())

    def crash(self, reason="crashes"):
        self.alive = False
        self.record.write(self.name, f"boot {self.boot} {reason}")
        for task in list(self._tasks):
            task.cancel()
        self.transport.close()
        self.health.close()

    async def drain(self):
        self.draining = True
        self.record.write(self.name, "reports draining")
        await self.report()

    def heartbeat(self):
        self.sequence += 1
        remaining = max(0.0, self.cold_until - asyncio.get_running_loop().time())
        return {
            "service": self.service,
            "address": "%s:%d" % self.addresses.app,
            "zone": self.zone,
            "version": "v1",
            "concurrency": 4,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": int(remaining * 1000),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def report(self):
        draining = self.draining
        status = await call(
            self.addresses.control,
            "POST",
            f"/-/instances/{self.identity}/heartbeat",
            self.heartbeat(),
            local=(self.addresses.app[0], 0),
        )
        acknowledged = status is not None and 200 <= status < 300
        if draining and acknowledged and self.drain_acknowledged_at is None:
            self.drain_acknowledged_at = asyncio.get_running_loop().time()
            self.record.write(self.name, "the report draining is acknowledged")
        return acknowledged

    async def _beat(self):
        interval = self.deployment.heartbeat_interval_s
        while True:
            await self.report()
            await asyncio.sleep(interval * random.uniform(0.95, 1.05))

    async def _serve_health(self, reader, writer):
        try:
            await read_message(reader)
            writer.write(encode_response(200 if not self.draining else 503))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def datagram_received(self, raw, address):
        if not self.alive:
            return
        packet = decode(raw)
        if packet is None or not packet.is_genuine or (packet.has(SYN) and packet.has(ACK)):
            self.deployment.violation("UNASKED", f"{self.name} got a packet that nobody sent so")
            return
        now = asyncio.get_running_loop().time()
        key = (packet.src, packet.dst)
        self.arrivals.append((now, key))
        if packet.is_syn:
            self._on_syn(key, packet, now)
            return
        flow = self.flows.get(key)
        if flow is None:
            self._bounce(packet)
            return
        if flow.opened_at is None:
            if difference(packet.ack, add(flow.seq, 1)) != 0:
                self._bounce(packet)
                return
            flow.opened_at = now
            self.deployment.on_open(self, flow)
        flow.last_packet_at = now
        self._on_flow_packet(flow, packet)

    def _on_syn(self, key, packet, now):
        flow = self.flows.get(key)
        if flow is None or flow.consumer_seq != packet.seq:
            flow = Flow(key, packet.seq, random.randrange(1 << 32))
            flow.next_expected = add(packet.seq, 1)
            flow.sent = add(flow.seq, 1)
            flow.last_packet_at = now
            self.flows[key] = flow
            self.taken.append((now, key))
            self._spawn(self._answer_syn(flow))
        else:
            self._send_syn_ack(flow)

    def _send_syn_ack(self, flow):
        answer = Packet(flow.key[1], flow.key[0], flow.seq, add(flow.consumer_seq, 1), SYN | ACK)
        self._send(answer)

    async def _answer_syn(self, flow):
        """Sends the SYN+ACK until the consumer's next packet arrives, as every
        packet without an acknowledgement."""
        wait = FIRST_RETRANSMISSION_S
        for _ in range(1 + RETRANSMISSIONS):
            self._send_syn_ack(flow)
            await asyncio.sleep(wait)
            wait = min(2 * wait, LONGEST_RETRANSMISSION_S)
            if flow.opened_at is not None or self.flows.get(flow.key) is not flow:
                return
        del self.flows[flow.key]

    def _on_flow_packet(self, flow, packet):
        if packet.has(RST):
            self._close(flow)
            del self.flows[flow.key]
            return
        if flow.unacknowledged and difference(packet.ack, flow.sent) >= 0:
            flow.unacknowledged = b""
        if packet.data and flow.closed:
            self._send(Packet(flow.key[1], flow.key[0], flow.sent, 0, RST))
            return
        if packet.data:
            if packet.seq == flow.next_expected:
                flow.next_expected = add(packet.seq, len(packet.data))
                self._spawn(self._run(flow, packet.data))
            self._acknowledge(flow)
        if packet.has(FIN):
            flow.next_expected = add(flow.next_expected, 1)
            self._send(Packet(flow.key[1], flow.key[0], flow.sent, flow.next_expected, FIN | ACK))
            self._close(flow)

    def _close(self, flow):
        if not flow.closed:
            flow.closed = True
            self.deployment.on_close(self, flow)

    def _acknowledge(self, flow):
        self._send(Packet(flow.key[1], flow.key[0], flow.sent, flow.next_expected, ACK))

    async def _run(self, flow, data):
        request = data.decode("latin-1").split("Request-Id: ")[1].split("\r\n")[0]
        self.deployment.on_run(self, request)
        await asyncio.sleep(self.deployment.work_s * random.uniform(0.5, 1.5))
        body = f"{request} done by boot {self.boot}"
        answer = (
            f"HTTP/1.1 200 OK\r\nServer-Signature: {self.boot}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
        packet = Packet(flow.key[1], flow.key[0], flow.sent, flow.next_expected, ACK, answer)
        flow.sent = add(flow.sent, len(answer))
        flow.unacknowledged = answer
        wait = FIRST_RETRANSMISSION_S
        for _ in range(1 + RETRANSMISSIONS):
            self._send(packet)
            await asyncio.sleep(wait)
            wait = min(2 * wait, LONGEST_RETRANSMISSION_S)
            if not flow.unacknowledged or flow.closed:
                break
        else:
            self._close(flow)
            self.flows.pop(flow.key, None)
            return
        if self.draining and not flow.closed:
            self._send(
                Packet(flow.key[1], flow.key[0], flow.sent, flow.next_expected, FIN | ACK)
            )
            self._close(flow)

    def _bounce(self, packet):
        returned = replace(packet, flags=packet.flags | BOUNCED, pad=0)
        self.transport.sendto(returned.encode(), self.addresses.outbound)

    def _send(self, packet):
        if not self.alive:
            return
        flow = self.flows.get((packet.dst, packet.src))
        if flow:
            flow.last_packet_at = asyncio.get_running_loop().time()
        self.transport.sendto(packet.signed().encode(), self.addresses.outbound)
