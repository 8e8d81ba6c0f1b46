"""Runs a small deployment on loopback: the project's own programs as processes,
and stand-ins for the store, the endpoints, the routers and the consumers."""

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import namedtuple
from pathlib import Path

from consumer import Consumer, Router
from corrib_wicker import IDLE_TIMEOUT_S
from endpoint import Endpoint
from links import Links
from store import Store

ROOT = Path(__file__).resolve().parents[1]
# The figures of the site file that claim.txt names.
FLOW_MS = 2_000
FLOW_MAX_S = 60
STABLE_WINDOW_S = 4
DRAIN_S = 3
EVACUATION_MS = 5_000
RESTART_DELAY_S = 0.5
READY_LIMIT_S = 20
# The daemon's default, which the deploy template leaves as it is.
METRICS_PORT = 9464
ADDRESS_CHOICES = 50

Addresses = namedtuple(
    "Addresses", "ip packets ready control outbound app internal_port", defaults=[None, None, None]
)


class CannotRun(Exception):
    """The case can't run on this machine."""


class Record:
    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, who, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {who:<12} {text}\n")
        self._file.flush()


def render(template, fields):
    """Fills in a settings template (DEPLOY.md, Settings of a process)."""

    def value(name, scope):
        if name == ".":
            return scope["."]
        found = {**fields, **scope}
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            elif isinstance(found, dict):
                found = found.get(part)
            else:
                return None
        return found

    def text(found):
        if found is None:
            return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    def section(match):
        found = value(match[1], {})
        if not found:
            return ""
        entries = found if isinstance(found, list) else [found]
        return "".join(re.sub(r"{{\.}}", text(entry), match[2]) for entry in entries)

    template = re.sub(r"{{#([\w.]+)}}\n?(.*?){{/\1}}\n?", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)}}", lambda match: text(value(match[1], {})), template)


class Node:
    """A machine with a process of the system."""

    def __init__(self, deployment, role, name, zone, addresses, service=None):
        self.deployment = deployment
        self.role = role
        self.name = name
        self.zone = zone
        self.addresses = addresses
        self.service = service
        self.process = None
        # The address that other nodes use, when the links have a bandwidth.
        self.advertised_ip = None

    def write_settings(self):
        settings = self.deployment.folder / f"{self.name}.conf"
        at = "{0[0]}:{0[1]}".format
        a = self.addresses
        bind = {"datagram_addr": at(a.packets), "ready": at(a.ready), "control": at(a.control)}
        if a.outbound:
            bind["outbound"] = at(a.outbound)
        fields = {
            "node_id": self.name,
            "zone": self.zone,
            "bind": bind,
            "app": at(a.app) if a.app else None,
            "service": self.service,
            "seeds": [
                f"{entry.advertised_ip or entry.addresses.ip}:{a.control[1]}"
                for entry in self.deployment.entries[:3]
            ],
            "internal_ports": [a.internal_port, a.internal_port + 15],
            "platform": {"address": at(self.deployment.store_address)},
            "bounds": {"evacuation_ms": EVACUATION_MS},
        }
        text = render(self.deployment.templates[self.role], fields)
        if self.advertised_ip:
            text += f"advertise = {self.advertised_ip}:{a.packets[1]}\n"
        settings.write_text(text)
        return settings

    def start(self):
        command = [
            str(self.write_settings()) if word.startswith("/etc/") else word
            for word in self.deployment.commands[self.role]
        ]
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={"PATH": os.environ["PATH"]},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.deployment.record.write(self.name, "starts")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.deployment.record.write(self.name, "is killed")

    async def terminate(self):
        """Planned stop: SIGTERM, and SIGKILL after grace_s."""
        self.deployment.record.write(self.name, "gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        limit = loop.time() + self.deployment.grace_s
        while self.process.poll() is None and loop.time() < limit:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.deployment.record.write(self.name, "has ended")

    async def restart(self):
        """Stops the process as planned work does and starts it again."""
        await self.terminate()
        await asyncio.sleep(RESTART_DELAY_S)
        self.start()


class Deployment:
    """entries: the zone of each frontend machine; endpoints: the service and the
    zone of each endpoint, which runs beside an agent; link_mbps: the bandwidth of
    transfers between nodes, unlimited when it is None."""

    heartbeat_interval_s = 1.2
    grace_s = 6.0
    work_s = 0.025

    def __init__(self, folder, entries, endpoints, link_mbps=None):
        self.case_folder = Path(folder)
        self.record = Record(self.case_folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.violations = []
        self.resets = []
        self.misdelivered = []
        self.sent_requests = set()
        self.runs = {}
        self._tasks = set()
        self._open_flows = {}
        self._read_deploy_file()
        self._choose_addresses(entries, endpoints)
        self.links = Links([*self.entries, *self.agents], link_mbps) if link_mbps else None
        for index, node in enumerate(self.links.nodes if self.links else []):
            net = node.addresses.ip.split(".")[1]
            node.advertised_ip = f"127.{net}.5.{index + 1}"

    def _read_deploy_file(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        self.templates = {
            name: (ROOT / role["template"]).read_text() for name, role in roles.items()
        }
        program = ROOT / self.commands["entry"][0]
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program.relative_to(ROOT)} is missing: run the deploy build")

    def _choose_addresses(self, entries, endpoints):
        for _ in range(ADDRESS_CHOICES):
            net = random.randrange(20, 250)
            base = random.randrange(20_000, 30_000)
            self._place(entries, endpoints, net, base)
            if self._addresses_are_free():
                return
        raise CannotRun("no free loopback addresses were found")

    def _place(self, entries, endpoints, net, base):
        """Gives every machine an address in 127.net.0.0/16. All machines use the
        same ports."""
        packets, ready, control, outbound, app, store, internal = range(base, base + 7)

        def machine(group, index, side):
            ip = f"127.{net}.{group}.{index + 1}"
            extra = {"outbound": (ip, outbound), "app": (ip, app)} if side else {}
            return Addresses(
                ip, (ip, packets), (ip, ready), (ip, control), internal_port=internal, **extra
            )

        self.store_address = (f"127.{net}.4.1", store)
        self.store = Store(self.record)
        self.entries = [
            Node(self, "entry", f"entry-{index + 1}", zone, machine(1, index, False))
            for index, zone in enumerate(entries)
        ]
        self.agents, self.endpoints = [], []
        for index, (service, zone) in enumerate(endpoints):
            addresses = machine(2, index, True)
            name = f"agent-{index + 1}"
            self.agents.append(Node(self, "agent", name, zone, addresses, service))
            self.endpoints.append(Endpoint(self, index + 1, service, zone, addresses))
        self.router = Router(self)
        zones = sorted(set(entries) | {zone for _, zone in endpoints})
        self.consumers = {
            zone: Consumer(self, zone, (f"127.{net}.3.{index + 1}", packets))
            for index, zone in enumerate(zones)
        }

    def _addresses_are_free(self):
        streams, datagrams = [self.store_address], [c.address for c in self.consumers.values()]
        for node in (*self.entries, *self.agents):
            a = node.addresses
            internal = (a.ip, a.internal_port)
            streams += [a.ready, a.control, internal, (a.ip, METRICS_PORT)]
            datagrams += [a.packets, internal]
            if a.app:
                streams.append(a.app)
                datagrams += [a.app, a.outbound]
        probes = [(socket.SOCK_STREAM, at) for at in streams]
        probes += [(socket.SOCK_DGRAM, at) for at in datagrams]
        for kind, address in probes:
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind(address)
                except OSError:
                    return False
        return True

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, manifest):
        """Starts everything and waits until all entry instances are in rotation
        and every endpoint is known."""
        await self.store.start(self.store_address)
        await self.store.put("config", "main", manifest)
        for consumer in self.consumers.values():
            await consumer.start()
        if self.links:
            await self.links.start()
        for node in (*self.entries, *self.agents):
            node.start()
        await asyncio.gather(*(endpoint.start() for endpoint in self.endpoints))
        self.router.start()
        loop = asyncio.get_running_loop()
        limit = loop.time() + READY_LIMIT_S
        while not self._ready():
            for node in (*self.entries, *self.agents):
                if node.process.poll() is not None:
                    raise CannotRun(f"{node.name} ended at its start")
            if loop.time() > limit:
                raise CannotRun("the deployment doesn't become ready")
            await asyncio.sleep(0.1)
        # After their records were created, agents accept flows a moment later.
        await asyncio.sleep(3.0)

    def _ready(self):
        rotation = all(map(self.router.in_rotation, self.entries))
        return rotation and len(self.store.names("backends")) == len(self.endpoints)

    def close(self):
        for task in list(self._tasks):
            task.cancel()
        for endpoint in self.endpoints:
            if endpoint.alive:
                endpoint.crash("ends with the test")
        for node in (*self.entries, *self.agents):
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self.store.close()
        if self.links:
            self.links.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder)

    # What consumers and endpoints see.

    def on_open(self, endpoint, flow):
        self._open_flows.setdefault(flow.key, []).append((endpoint, flow))
        where = "%s:%d" % flow.key[0]
        self.record.write(endpoint.name, f"flow {where} opens at boot {endpoint.boot}")

    def on_close(self, endpoint, flow):
        self._open_flows[flow.key].remove((endpoint, flow))

    def on_run(self, endpoint, request):
        self.record.write(endpoint.name, f"runs request {request}")
        if request not in self.sent_requests:
            self.violation("UNASKED", f"{endpoint.name} runs {request}, which nobody sent")
        self.runs[request] = self.runs.get(request, 0) + 1
        if self.runs[request] > 1:
            self.violation("run twice", f"request {request} runs again at {endpoint.name}")

    def owner(self, key):
        """The endpoint at which the flow is open, and its flow; None without."""
        for endpoint, flow in self._open_flows.get(key, []):
            if endpoint.alive and endpoint.flows.get(key) is flow:
                return endpoint, flow
        return None

    def on_system_reset(self, flow):
        """FLOW (a): the system resets a flow that is open at a live endpoint."""
        owner = self.owner(flow.key)
        now = asyncio.get_running_loop().time()
        if owner is None:
            return
        endpoint, held = owner
        age = now - held.opened_at
        undisturbed = now - endpoint.started_at
        pause = flow.longest_pause
        facts = (
            f"{flow.name} is reset by the system; it is open at {endpoint.name} "
            f"(boot {endpoint.boot}, up for {undisturbed:.1f} s), {age:.1f} s old, "
            f"longest pause {pause:.1f} s"
        )
        if age > FLOW_MAX_S or pause > self.idle_timeout_s or undisturbed < STABLE_WINDOW_S:
            self.record.write("check", "not counted: " + facts)
            return
        self.resets.append(facts)
        self.violation("FLOW", facts)

    def check_deliveries(self, since=0.0):
        """FLOW (b): for FLOW_MS three or more of a flow's packets reach other
        endpoints and none its own. Judges what arrives from since on. Copies of
        one packet at several endpoints don't count: the packets have to reach
        the same other endpoint."""
        for key, owners in list(self._open_flows.items()):
            for endpoint, flow in owners:
                if endpoint.alive and endpoint.flows.get(key) is flow:
                    self._check_delivery(endpoint, flow, since)

    def _check_delivery(self, owner, flow, since):
        begin = max(since, flow.opened_at)
        end = min(asyncio.get_running_loop().time(), flow.opened_at + FLOW_MAX_S)
        arrivals = {
            endpoint: [
                at for at, key in endpoint.arrivals if key == flow.key and begin <= at <= end
            ]
            for endpoint in self.endpoints
        }
        own = arrivals.pop(owner)
        for endpoint, times in arrivals.items():
            for first in times:
                last = first + FLOW_MS / 1000
                wrong = [at for at in times if first <= at <= last]
                if last <= end and len(wrong) >= 3 and not any(first <= at <= last for at in own):
                    self.violation(
                        "FLOW",
                        f"the flow {flow.key[0][0]}:{flow.key[0][1]} is open at {owner.name}; from "
                        f"{first - flow.opened_at:.2f} s after its start, {len(wrong)} of its "
                        f"packets reach {endpoint.name} and none {owner.name} in {FLOW_MS} ms",
                    )
                    return

    def violation(self, rule, text):
        self.violations.append((rule, text))
        self.record.write("check", f"{rule} BROKEN: {text}")


def run_case(folder, rule, main):
    """Runs main(trouble, folder) and exits as the review asks: 1 when the rule
    was broken, 0 when it held, 2 when the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # On SIGTERM, too, the processes that were started are ended.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main(trouble, folder)

    try:
        deployment = asyncio.run(run())
    except (CannotRun, OSError, asyncio.CancelledError) as error:
        print("cannot run:", error or "it was stopped")
        sys.exit(2)
    for broken, text in deployment.violations:
        print(f"{broken}: {text}")
    others = [broken for broken, _ in deployment.violations if broken != rule]
    broken = len(deployment.violations) - len(others)
    print(f"rule {rule} broken {broken} times, other rules {len(others)} times")
    sys.exit(1 if broken else 2 if others else 0)
