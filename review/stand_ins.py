"""Stand-ins for the consumers, routers, endpoints and the store of a small
deployment of snipepost-flowd on loopback, and the processes of the deployment.

All of them follow given/kit/more/system/PROTOCOL.md. Everything runs in one
asyncio loop on the real clock; only snipepost-flowd runs as processes.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import zlib
from urllib.parse import parse_qs, unquote, urlsplit

SYN, ACK, FIN, RST, BOUNCED = 64, 32, 8, 16, 1
HEAD = struct.Struct(">IIBBIHHIIHI")
COPIES_S = (0.2, 0.6)
CONNECT_S = 1.4
FIRST_REPEAT_S, MAX_REPEAT_S, MAX_REPEATS = 0.2, 1.6, 8
RESET_WINDOW = 76800
KEY = b"review"


def now():
    return time.monotonic()


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    __slots__ = ("seq", "ack", "flags", "echo", "dport", "sport", "src", "dst", "data", "sum")

    def __init__(self, seq, ack, flags, src, sport, dst, dport, data=b""):
        self.seq, self.ack, self.flags = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, flags
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.data, self.echo, self.sum = data, 0, 0

    def checksum(self):
        fields = HEAD.pack(self.seq, self.ack, self.flags & ~BOUNCED, 0, 0, self.dport, self.sport,
                           self.src, self.dst, len(self.data), 0)
        return (zlib.crc32(KEY + fields + self.data) & 0xFFFFFFFF) or 1

    def encode(self):
        return HEAD.pack(self.seq, self.ack, self.flags, 0, self.echo, self.dport, self.sport,
                         self.src, self.dst, len(self.data), self.sum) + self.data

    def signed(self):
        self.sum = self.checksum()
        return self.encode()


def decode(data):
    if len(data) < HEAD.size:
        return None
    seq, ack, flags, _, echo, dport, sport, src, dst, size, checksum = HEAD.unpack_from(data)
    if len(data) != HEAD.size + size:
        return None
    packet = Packet(seq, ack, flags, src, sport, dst, dport, data[HEAD.size:])
    packet.echo, packet.sum = echo, checksum
    return packet


def udp_socket(ip, port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
    sock.setblocking(False)
    sock.bind((ip, port))
    return sock


def read_all(sock, handler):
    for _ in range(256):
        try:
            data, _ = sock.recvfrom(2048)
        except (BlockingIOError, ConnectionError):
            return
        handler(data)


async def read_request(reader):
    """Reads one HTTP/1.1 request: method, target, body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        size = 0
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                size = int(value)
        return method, target, await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


def response_bytes(status, body):
    text = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n").encode() + text


async def http_call(ip, port, method, target, body=None, timeout=1.0):
    """One call on a new connection: status, or None without a response in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            text = b"" if body is None else json.dumps(body).encode()
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: {ip}:{port}\r\nConnection: close\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                         .encode() + text)
            line = await reader.readline()
            return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's metadata store: objects by kind and name, with watches."""

    ANSWER_S = 0.004

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        self.connections = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while request := await read_request(reader):
                status, body = await self.answer(*request)
                writer.write(response_bytes(status, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        await asyncio.sleep(self.ANSWER_S)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path[len("/-/objects/"):].split("/")
        kind, name = path[0], unquote(path[1]) if len(path) > 1 else None
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            return 200, self.list(kind, query.get("after", ""))
        if method == "GET":
            found = self.kinds.get(kind, {}).get(name)
            return (200, found) if found else (404, {})
        value = json.loads(body) if body else {}
        if method == "POST":
            name = value["meta"]["name"]
            if found := self.kinds.get(kind, {}).get(name):
                return 409, found
            return 201, self.put(kind, name, value.get("spec"))
        found = self.kinds.get(kind, {}).get(name)
        if not found:
            return 404, {}
        expected = query.get("rev", value.get("meta", {}).get("rev"))
        if expected is not None and int(expected) != found["meta"]["rev"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        if found["spec"] == value.get("spec"):
            return 200, found
        return 200, self.put(kind, name, value.get("spec"))

    def list(self, kind, after):
        objects = self.kinds.get(kind, {})
        names = sorted(name for name in objects if name > after)[:500]
        return {"items": [objects[name] for name in names], "more": False,
                "current_rev": self.revision}

    async def watch(self, kind, since, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            events = [event for revision, of, event in self.history
                      if of == kind and revision > since]
            if events or now() >= until:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - now())
            except TimeoutError:
                pass

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        self.revision += 1
        created = objects[name]["meta"]["create_revision"] if name in objects else self.revision
        value = {"meta": {"name": name, "rev": self.revision, "create_revision": created,
                          "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        objects[name] = value
        self.note(kind, value, False)
        return value

    def remove(self, kind, name):
        value = self.kinds[kind].pop(name)
        self.revision += 1
        value = dict(value, meta=dict(value["meta"], rev=self.revision))
        self.note(kind, value, True)

    def note(self, kind, value, deleted):
        self.history.append((self.revision, kind, {"object": value, "deleted": deleted}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class EndpointFlow:
    def __init__(self, packet, iss):
        self.caller_seq, self.iss, self.open, self.answered, self.closed = packet.seq, iss, False, False, False
        self.sent_at = None
        self.repeat = None
        self.request = b""


class Endpoint:
    """An endpoint on a side machine: flows, requests, status reports."""

    QUEUE = 16

    def __init__(self, deployment, machine, service, slots, work_s):
        self.deployment, self.machine, self.service = deployment, machine, service
        self.slots, self.work_s = slots, work_s
        self.rng = random.Random(f"{deployment.seed}/{machine.ip}")
        self.taken = []      # (sent, arrived, cold, request id) of the flows that opened
        self.beats = []      # (time, cold remaining ms, status)
        self.boots = []
        self.running = False
        self.cold_until = 0.0
        self.cold_spans = []

    async def start(self, cold_s=0.0):
        self.id = f"i-{self.rng.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.flows, self.active, self.queue = {}, 0, []
        self.sock = udp_socket(self.machine.ip, APP_PORT)
        asyncio.get_running_loop().add_reader(self.sock, read_all, self.sock, self.on_datagram)
        self.server = await asyncio.start_server(self.on_health, self.machine.ip, APP_PORT)
        self.running = True
        self.boots.append((now(), self.id))
        if cold_s:
            self.turn_cold(cold_s)
        self.beat_task = asyncio.create_task(self.beat())

    def turn_cold(self, cold_s):
        """The endpoint is cold from now on; its next status report says so."""
        self.cold_until = now() + cold_s
        self.cold_spans.append((now(), self.cold_until))

    async def crash(self):
        self.running = False
        self.beat_task.cancel()
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()
        self.server.close()
        self.flows = {}

    async def on_health(self, reader, writer):
        if await read_request(reader):
            writer.write(response_bytes(200, {}))
        writer.close()

    async def beat(self):
        interval = self.deployment.heartbeat_s
        await asyncio.sleep(self.rng.uniform(0, 0.02))
        while True:
            self.sequence += 1
            remaining = max(0, int((self.cold_until - now()) * 1000))
            started = now()
            status = await http_call(
                self.machine.ip, CONTROL_PORT, "POST", f"/-/instances/{self.id}/heartbeat",
                {"service": self.service, "address": f"{self.machine.ip}:{APP_PORT}",
                 "zone": self.machine.zone, "version": "v1", "concurrency": self.slots,
                 "state": self.state, "cold_remaining_ms": remaining,
                 "sequence": self.sequence, "born": self.born})
            self.beats.append((started, remaining, status))
            await asyncio.sleep(max(0.0, started + interval * self.rng.uniform(0.97, 1.03) - now()))

    def send(self, packet):
        try:
            self.sock.sendto(packet, (self.machine.ip, OUTBOUND_PORT))
        except (OSError, ValueError):
            pass

    def reply(self, flow, packet, flags, seq, data=b""):
        answer = Packet(seq, flow.caller_seq + 1 + len(flow.request), flags, packet.dst, packet.dport,
                        packet.src, packet.sport, data)
        self.send(answer.signed())

    def on_datagram(self, data):
        packet = decode(data)
        if packet is None or packet.checksum() != packet.sum:
            self.deployment.faults.append(("UNASKED", now(), f"{self.machine.ip} got a packet that nobody wrote so"))
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.on_syn(key, flow, packet, data)
        elif flow is None or (not flow.open and packet.ack != (flow.iss + 1) & 0xFFFFFFFF):
            self.bounce(data)
        else:
            self.on_flow_packet(flow, packet)

    def bounce(self, data):
        returned = bytearray(data)
        returned[8] |= BOUNCED
        returned[9] = 0
        self.send(bytes(returned))

    def on_syn(self, key, flow, packet, data):
        if flow is None or flow.caller_seq != packet.seq:
            if len(self.flows) >= 2000 or self.active + len(self.queue) >= self.slots + self.QUEUE:
                self.bounce(data)
                return
            flow = self.flows[key] = EndpointFlow(packet, self.rng.getrandbits(32))
            flow.arrived, flow.cold = now(), now() < self.cold_until
            flow.sent_at = self.deployment.sent.get((packet.src, packet.sport, packet.ack))
            asyncio.get_running_loop().call_later(20.0, self.flows.pop, key, None)
        self.reply(flow, packet, SYN | ACK, flow.iss)

    def on_flow_packet(self, flow, packet):
        if packet.flags & RST:
            flow.closed = True
            if flow.repeat:
                flow.repeat.cancel()
            return
        if not flow.open:
            flow.open = True
            self.taken.append((flow.sent_at, flow.arrived, flow.cold, packet.src, packet.sport))
            self.deployment.opened.setdefault((packet.src, packet.sport), []).append((now(), self, self.id))
        if flow.closed:
            if packet.flags & FIN:
                self.reply(flow, packet, ACK, flow.iss + 2 + flow.size)
            return
        if packet.data and not flow.request:
            flow.request = packet.data
            self.queue.append((flow, packet))
            self.work()
        elif packet.data and flow.answered:
            self.transmit(flow, packet)
        if packet.flags & FIN:
            flow.closed = True
            if flow.repeat:
                flow.repeat.cancel()
            answer = Packet(flow.iss + 2 + getattr(flow, "size", 0), packet.seq + 1, ACK, packet.dst, packet.dport,
                            packet.src, packet.sport)
            self.send(answer.signed())

    def work(self):
        while self.queue and self.active < self.slots:
            flow, packet = self.queue.pop(0)
            self.active += 1
            self.deployment.on_run(flow.request, self)
            slow = 1.6 if now() < self.cold_until else 1.0
            duration = self.work_s * self.rng.uniform(0.5, 1.5) * slow
            asyncio.get_running_loop().call_later(duration, self.finish, flow, packet, self.id)

    def finish(self, flow, packet, boot):
        if boot != self.id or not self.running:
            return
        self.active -= 1
        if not flow.closed:
            flow.answered = True
            flow.body = b"HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n" + flow.request[:40].ljust(600, b".")
            flow.size = len(flow.body)
            self.transmit(flow, packet)
            self.repeat(flow, packet, FIRST_REPEAT_S, MAX_REPEATS)
        self.work()

    def transmit(self, flow, packet):
        self.reply(flow, packet, ACK | FIN, flow.iss + 1, flow.body)

    def repeat(self, flow, packet, after, left):
        def again():
            if not flow.closed and self.running and left > 0:
                self.transmit(flow, packet)
                self.repeat(flow, packet, min(after * 2, MAX_REPEAT_S), left - 1)
        flow.repeat = asyncio.get_running_loop().call_later(after, again)


class Attempt:
    def __init__(self, request, number):
        self.request, self.number = request, number
        self.state, self.timers = "syn", []


class Consumers:
    """The consumers of a zone: each request opens a flow of its own."""

    def __init__(self, deployment, zone, ips, route, rate, kind="safe", limit_s=2.0, retries=2):
        self.deployment, self.zone, self.route = deployment, zone, route
        self.rate, self.kind, self.limit_s, self.retries = rate, kind, limit_s, retries
        self.rng = random.Random(f"{deployment.seed}/{zone}/{route}")
        self.ips, self.port, self.attempts = ips, {}, {}
        self.results = {"ok": 0, "reset": 0, "no-answer": 0}
        self.sent_requests = 0

    async def run(self, seconds):
        end = now() + seconds
        while now() < end:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            self.sent_requests += 1
            request = {"id": f"{self.rng.getrandbits(64):016x}", "start": now()}
            self.open(request, 0)

    def open(self, request, number):
        loop = asyncio.get_running_loop()
        ip = self.rng.choice(self.ips)
        self.deployment.next_port[ip] = port = self.deployment.next_port.get(ip, 20000) + 1
        attempt = Attempt(request, number)
        attempt.src, attempt.sport = ip_number(ip), port
        attempt.seq, attempt.ack = self.rng.getrandbits(32), 0
        attempt.id = f"{request['id']}-{number}"
        attempt.began, attempt.route = now(), self.route
        self.deployment.attempts[(attempt.src, port)] = (self, attempt)
        self.deployment.owners[(attempt.src, port)] = (self, attempt)
        self.send_syn(attempt, 0)
        for copy, after in enumerate(COPIES_S, 1):
            attempt.timers.append(loop.call_later(after, self.send_syn, attempt, copy))
        attempt.timers.append(loop.call_later(CONNECT_S, self.fail, attempt, "no-answer", "syn"))
        attempt.timers.append(loop.call_later(self.limit_s, self.fail, attempt, "no-answer", None))

    def send_syn(self, attempt, copy):
        if attempt.state == "syn":
            self.deployment.sent[(attempt.src, attempt.sport, copy)] = now()
            self.send(attempt, Packet(attempt.seq, copy, SYN, attempt.src, attempt.sport, *attempt.route))

    def send(self, attempt, packet):
        self.deployment.route_packet(self.zone, packet)

    def send_request(self, attempt, after=FIRST_REPEAT_S):
        if attempt.state != "open":
            return
        data = f"GET / HTTP/1.1\r\nRequest-Id: {attempt.id}\r\n\r\n".encode()
        attempt.size = len(data)
        self.send(attempt, Packet(attempt.seq + 1, attempt.ack, ACK, attempt.src, attempt.sport, *attempt.route, data))
        attempt.timers.append(asyncio.get_running_loop().call_later(
            after, self.send_request, attempt, min(after * 2, MAX_REPEAT_S)))

    def on_packet(self, attempt, packet):
        if packet.flags & RST:
            distance = (packet.seq - attempt.ack + RESET_WINDOW) & 0xFFFFFFFF
            if attempt.state == "syn" or (attempt.state == "open" and distance <= 2 * RESET_WINDOW):
                self.deployment.on_reset(self, attempt, packet)
                self.fail(attempt, "reset", None)
            return
        if packet.checksum() != packet.sum:
            self.deployment.faults.append(("MIXED", now(), "a consumer got a packet that its sender didn't write so"))
            return
        if attempt.state == "syn" and packet.flags & SYN:
            attempt.state, attempt.ack = "open", (packet.seq + 1) & 0xFFFFFFFF
            self.send_request(attempt)
        elif packet.data and attempt.state in ("open", "done") and packet.seq == attempt.ack or (
                attempt.state == "done" and packet.data):
            if attempt.state == "open":
                self.results["ok"] += 1
                attempt.ack = (packet.seq + len(packet.data) + 1) & 0xFFFFFFFF
                self.end(attempt, "done")
            self.send(attempt, Packet(attempt.seq + 1 + attempt.size, attempt.ack, ACK | FIN,
                                      attempt.src, attempt.sport, *attempt.route))

    def fail(self, attempt, why, only):
        if attempt.state in ("done", "failed") or (only and attempt.state != only):
            return
        opened = attempt.state == "open"
        self.end(attempt, "failed")
        may_retry = self.kind == "safe" or not opened
        left = attempt.request["start"] + self.limit_s - now()
        if may_retry and attempt.number < self.retries and left > 0.1:
            self.open(attempt.request, attempt.number + 1)
        else:
            self.results[why] += 1

    def end(self, attempt, state):
        attempt.state = state
        for timer in attempt.timers:
            timer.cancel()
        asyncio.get_running_loop().call_later(
            5.0, self.deployment.attempts.pop, (attempt.src, attempt.sport), None)


PACKET_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT, INTERNAL_PORT, METRICS_PORT, STORE_PORT = [None] * 8


def choose_ports(net):
    """Takes a block of eight ports that are free on the loopback addresses."""
    global PACKET_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT, INTERNAL_PORT, METRICS_PORT, STORE_PORT
    for base in random.sample(range(21000, 30000, 10), 100):
        socks = []
        try:
            for port in range(base, base + 8):
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    socks.append(sock)
                    sock.bind((f"127.{net}.1.1", port))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        (PACKET_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT, INTERNAL_PORT, METRICS_PORT,
         STORE_PORT) = range(base, base + 8)
        return
    raise RuntimeError("no free ports")


class Machine:
    """A machine with one process of snipepost-flowd."""

    def __init__(self, deployment, role, name, ip, zone, service=None):
        self.deployment, self.role, self.name, self.ip = deployment, role, name, ip
        self.zone, self.service, self.process = zone, service, None
        self.in_rotation, self.misses = False, 0
        self.store_address = None

    def write_settings(self):
        # As deploy/node.conf renders them; the metrics port is free to choose.
        store = self.store_address or f"{self.deployment.ip(200, 1)}:{STORE_PORT}"
        lines = [f"name = {self.name}", f"failure-domain = {self.zone}", f"packets = {self.ip}:{PACKET_PORT}",
                 f"readiness = {self.ip}:{READY_PORT}", f"control = {self.ip}:{CONTROL_PORT}"]
        if self.role == "agent":
            lines += [f"outbound = {self.ip}:{OUTBOUND_PORT}", f"backend = {self.ip}:{APP_PORT}",
                      f"service = {self.service}"]
        lines += [f"seeds = {','.join(self.deployment.seeds)}", f"internal-port = {INTERNAL_PORT}",
                  f"store = {store}", f"evacuation-limit-ms = {self.deployment.evacuation_ms}",
                  f"metrics-port = {METRICS_PORT}"]
        self.settings = os.path.join(self.deployment.folder, self.name + ".conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        self.write_settings()
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [self.deployment.program, "--role", self.role, "--settings-file", self.settings],
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.deployment.root)
        log.close()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()


class Deployment:
    """Machines, stand-ins and the operator of one run."""

    heartbeat_s = 0.77
    evacuation_ms = 5000

    def __init__(self, seed):
        self.seed = seed
        self.net = random.Random(os.urandom(8)).randrange(10, 250)
        choose_ports(self.net)
        self.root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
        self.program = os.path.join(self.root, "target/bin/snipepost-flowd")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.entries, self.agents, self.endpoints, self.seeds = [], [], [], []
        self.sent, self.attempts, self.owners, self.opened, self.next_port = {}, {}, {}, {}, {}
        self.runs, self.faults, self.resets, self.events = {}, [], [], []
        self.consumer_sockets = {}
        self.config = None

    def ip(self, group, number):
        return f"127.{self.net}.{group}.{number}"

    def log(self, text):
        self.events.append((now(), text))

    def add_entry(self, zone):
        number = len(self.entries) + 1
        machine = Machine(self, "entry", f"frontend-{zone}-{number}", self.ip(1, number), zone)
        self.entries.append(machine)
        if len(self.seeds) < 3:
            self.seeds.append(f"{machine.ip}:{CONTROL_PORT}")
        return machine

    def add_endpoint(self, zone, service, slots=4, work_s=0.022):
        number = len(self.agents) + 1
        machine = Machine(self, "agent", f"side-{zone}-{number}", self.ip(2, number), zone, service)
        self.agents.append(machine)
        endpoint = Endpoint(self, machine, service, slots, work_s)
        self.endpoints.append(endpoint)
        return endpoint

    async def start(self, config):
        self.store = Store()
        await self.store.start(self.ip(200, 1), STORE_PORT)
        self.write_config(config)
        for machine in self.entries + self.agents:
            machine.start()
        for endpoint in self.endpoints:
            # Endpoints do not start, and so do not report, at the same moment.
            await asyncio.sleep(self.heartbeat_s / len(self.endpoints))
            await endpoint.start()
        self.probe_task = asyncio.create_task(self.probe())
        until = now() + 15
        while now() < until:
            if all(machine.in_rotation for machine in self.entries) and \
                    len(self.store.kinds.get("backends", {})) == len(self.agents):
                # An agent accepts flows from 1.5 s after its record was written.
                await asyncio.sleep(3.0)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the deployment did not become ready")

    def write_config(self, config):
        self.config = config
        self.store.put("config", "main", config)

    def evacuate(self, zone):
        self.store.put("evacuations", zone, {})
        self.log(f"evacuation of {zone} acknowledged")

    def take_back(self, zone):
        self.store.remove("evacuations", zone)
        self.log(f"{zone} taken back")

    async def probe(self):
        async def one(machine):
            while True:
                started = now()
                good = await http_call(machine.ip, READY_PORT, "GET", "/-/ready", timeout=0.5) == 200
                machine.misses = 0 if good else machine.misses + 1
                if good:
                    machine.in_rotation = True
                elif machine.misses >= 2:
                    machine.in_rotation = False
                await asyncio.sleep(max(0.0, started + 0.5 - now()))
        await asyncio.gather(*(one(machine) for machine in self.entries))

    def consumer_ip(self, number):
        ip = self.ip(100, number)
        if ip not in self.consumer_sockets:
            sock = udp_socket(ip, PACKET_PORT)
            self.consumer_sockets[ip] = sock
            asyncio.get_running_loop().add_reader(sock, read_all, sock, self.on_consumer_datagram)
        return ip

    def on_consumer_datagram(self, data):
        packet = decode(data)
        if packet is None:
            return
        found = self.attempts.get((packet.dst, packet.dport))
        if found:
            found[0].on_packet(found[1], packet)

    def route_packet(self, zone, packet):
        """The platform's router: a hash modulo the nodes in rotation."""
        nodes = [machine for machine in self.entries if machine.zone == zone]
        ready = [machine for machine in nodes if machine.in_rotation]
        if 2 * len(ready) >= len(nodes) and ready:
            nodes = ready
        elif not nodes:
            nodes = [machine for machine in self.entries if machine.in_rotation] or self.entries
        point = zlib.crc32(struct.pack(">IHIH", packet.src, packet.sport, packet.dst, packet.dport))
        node = nodes[point % len(nodes)]
        sock = self.consumer_sockets[ip_text(packet.src)]
        try:
            sock.sendto(packet.signed(), (node.ip, PACKET_PORT))
        except OSError:
            pass

    def on_run(self, request, endpoint):
        identity = request.split(b"Request-Id: ", 1)[1].split(b"\r", 1)[0].decode()
        self.runs.setdefault(identity, []).append((now(), endpoint.machine.name))

    def on_reset(self, consumers, attempt, packet):
        self.resets.append((now(), attempt.state, ip_text(attempt.src), attempt.sport, packet.sum))

    async def stop(self):
        self.probe_task.cancel()
        for endpoint in self.endpoints:
            if endpoint.running:
                await endpoint.crash()
        for machine in self.entries + self.agents:
            machine.kill()
        for sock in self.consumer_sockets.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        self.store.server.close()
        for writer in list(self.store.connections):
            writer.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route_spec(name, host, port, kind, service, priority=2, timeout_ms=2000, target_ms=150):
    return {"name": name, "host": host, "path_prefix": f"/{port}/", "type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": priority, "service": service, "max_attempts": 2}


def service_spec(name, cold_start_s=2.0, cold_per_s=0.0):
    return {"name": name, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": False,
            "cold_start_s": cold_start_s, "cold_per_s": cold_per_s}


def config_spec(version, routes, services, idle_timeout_ms=15000):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": idle_timeout_ms}}


def most_in_a_second(taken):
    """The most flows that were sent and arrived inside one second while the
    endpoint was cold: their number, and when that second began."""
    cold = sorted((arrived, sent) for sent, arrived, was_cold, *_ in taken if was_cold and sent is not None)
    best, at = 0, None
    for begin in sorted({sent for _, sent in cold}):
        count = sum(1 for arrived, sent in cold if sent >= begin and arrived < begin + 1.0)
        if count > best:
            best, at = count, begin
    return best, at
