"""A small deployment on loopback addresses: stand-ins for the store, hosts, clients and routers.

The stand-ins speak what the users' pages say. The programs under test are the project's own, started as
separate processes with the commands of the deploy file and with settings as its templates render them.
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BALANCER = os.path.join(ROOT, "target", "release", "rosemaryusher")
AGENT = os.path.join(ROOT, "target", "release", "rosemaryusher-agent")

SYN, ACK, FIN, RST, BOUNCED = 32, 1, 64, 8, 16
HEAD = struct.Struct(">IHIIHBBIIHI")  # sum dport src dst sport flags pad seq ack len echo
SUM_KEY = b"known to the two ends only"

# Figures of a small deployment, as its settings file gives them.
DRAIN_MS = 3000
CONTACT_MS = 4000
CONFIG_MS = 3000
HEARTBEAT_MS = 770
FLOW_MAX_S = 60
GRACE_S = 6
IDLE_TIMEOUT_MS = 15000
SLOTS = 4

DATAGRAM, READY, CONTROL, OUTBOUND, APP, INTERNAL, STORE, PRIVATE = range(8)


def mask(value):
    return value & 0xFFFFFFFF


class Packet:
    """One packet: the head of 32 bytes and the data."""

    __slots__ = ("src", "sport", "dst", "dport", "flags", "pad", "echo", "seq", "ack", "data", "sum")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, mask(seq), mask(ack), data
        self.pad = self.echo = 0
        self.sum = self.right_sum()

    def right_sum(self):
        flags = self.flags & ~BOUNCED
        head = HEAD.pack(0, self.dport, ip_int(self.src), ip_int(self.dst), self.sport, flags, 0,
                         self.seq, self.ack, len(self.data), 0)
        return zlib.crc32(self.data, zlib.crc32(head, zlib.crc32(SUM_KEY))) | 1

    def encode(self):
        return HEAD.pack(self.sum, self.dport, ip_int(self.src), ip_int(self.dst), self.sport,
                         self.flags, self.pad, self.seq, self.ack, len(self.data), self.echo) + self.data

    @staticmethod
    def decode(raw):
        total, dport, src, dst, sport, flags, pad, seq, ack, length, echo = HEAD.unpack(raw[:32])
        packet = Packet(ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, raw[32:32 + length])
        packet.pad, packet.echo, packet.sum = pad, echo, total
        return packet

    def is_genuine(self):
        return self.sum == self.right_sum()


def ip_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- HTTP

async def read_http(reader):
    """Reads one message: the first line, the headers, the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def http_call(address, method, path, body=None, timeout=1.0):
    """One call over a new connection; the status, or None if no answer came in time."""
    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            raw = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n"
                          f"Connection: close\r\n\r\n").encode() + raw)
            await writer.drain()
            first, _, answer = await read_http(reader)
            return int(first.split()[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, b""


# ---------------------------------------------------------------- the platform's store

class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, watches."""

    def __init__(self, world):
        self.world = world
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        # Called with the caller's machine, the method and the path before a call is served; may return
        # "busy" (503), "silent" (never answered, nothing done) or ("late", seconds): done later, unanswered.
        self.trouble = lambda machine, method, path: None

    async def start(self):
        address = self.world.address("store", STORE)
        self.server = await asyncio.start_server(self.serve, *address)

    async def serve(self, reader, writer):
        try:
            first, _, body = await read_http(reader)
            method, target, _ = first.split()
            machine = self.world.machine_of(writer.get_extra_info("peername")[0])
            trouble = self.trouble(machine, method, target)
            if trouble == "silent":
                await asyncio.sleep(30)
                return
            if isinstance(trouble, tuple):
                kind, delay = trouble
                await asyncio.sleep(delay)
                status, _ = await self.handle(method, target, body)
                self.world.record.line(f"store: {method} {target} of an earlier call is done now: {status}")
                await asyncio.sleep(30)
                return
            await asyncio.sleep(0.004)
            if trouble == "busy":
                status, answer = 503, {}
            else:
                status, answer = await self.handle(method, target, body)
            raw = json.dumps(answer).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n".encode() + raw)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        parts = path.strip("/").split("/")
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        value = json.loads(body) if body else {}
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET" and name is None:
            after = query.get("after", "")
            names = sorted(n for (k, n) in self.objects if k == kind and n > after)
            items = [self.objects[(kind, n)] for n in names[:500]]
            return 200, {"items": items, "hasMore": len(names) > 500, "currentRev": self.revision}
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "POST":
            name = value["meta"]["name"]
            found = self.objects.get((kind, name))
            return (409, found) if found else (200, self.put(kind, name, value.get("spec")))
        found = self.objects.get((kind, name))
        if not found:
            return 404, {}
        expected = value.get("meta", {}).get("revision") or query.get("revision")
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            self.note(kind, found, True)
            return 200, found
        if value.get("spec") == found["spec"]:
            return 200, found
        return 200, self.put(kind, name, value.get("spec"))

    def put(self, kind, name, spec):
        self.revision += 1
        found = self.objects.get((kind, name))
        created = found["meta"]["created"] if found else self.revision
        item = {"meta": {"name": name, "revision": self.revision, "created": created,
                         "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.note(kind, item, False)
        return item

    def note(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, kind, since, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for (rev, k, event) in self.history if k == kind and rev > since]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- a proxy that delays

class HoldingProxy:
    """A proxy before a control address that holds what a host sent until it is released.

    The bytes arrive as they were sent, also after their sender has ended.
    """

    def __init__(self, world, target):
        self.world, self.target = world, target
        self.released = asyncio.Event()
        self.arrived = []

    async def start(self):
        self.server = await asyncio.start_server(self.hold, self.target[0], 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def hold(self, reader, writer):
        try:
            first, headers, body = await read_http(reader)
            self.world.record.line(f"held up on its way: {first} {body.decode()}")
            await self.released.wait()
            method, path, _ = first.split()
            status, _ = await http_call(self.target, method, path, json.loads(body), timeout=2)
            self.arrived.append(status)
            self.world.record.line(f"arrives late and is answered {status}: {first} {body.decode()}")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- links between the daemons

class Link(asyncio.DatagramProtocol):
    """The public message address of one machine.

    Datagrams for it are passed on to its daemon, from the public address of the daemon that sent them.
    """

    def __init__(self, world, machine):
        self.world, self.machine = world, machine

    def error_received(self, exc):
        pass

    def datagram_received(self, raw, sender):
        source = self.world.machine_of(sender[0])
        if source not in self.world.links or self.world.is_cut(source, self.machine):
            return
        link = self.world.links[source]
        link.transport.sendto(raw, self.world.address(self.machine, PRIVATE))

    async def start(self):
        loop = asyncio.get_running_loop()
        address = self.world.address(self.machine, INTERNAL)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.server = await asyncio.start_server(self.pass_on, *address)

    async def pass_on(self, reader, writer):
        """Passes a connection on; sources of connections aren't told apart, so none is ever cut."""
        self.world.link_calls[self.machine] = self.world.link_calls.get(self.machine, 0) + 1
        try:
            there, back = await asyncio.open_connection(*self.world.address(self.machine, PRIVATE))
        except OSError:
            writer.transport.abort()
            return

        async def copy(source, target):
            try:
                while data := await source.read(65536):
                    target.write(data)
                    await target.drain()
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                target.close()

        await asyncio.gather(copy(reader, back), copy(there, writer))


# ---------------------------------------------------------------- hosts

class HostFlow:
    def __init__(self, packet):
        self.first = random.getrandbits(32)
        self.next = mask(self.first + 1)
        self.expected = mask(packet.seq + 1)
        self.is_open = False
        self.answer = None
        self.resends = 0
        self.fin_sent = self.fin_seen = False


class Host(asyncio.DatagramProtocol):
    """An application host: takes flows, runs requests, sends heartbeats to the agent beside it."""

    def __init__(self, world, machine, service, name):
        self.world, self.machine, self.service, self.id = world, machine, service, name
        self.seq = 0
        self.state = "ready"
        self.flows = {}
        self.ended = set()
        self.tasks = []
        self.is_up = False
        self.drain_acked = None
        self.drain_ack_gone = False
        self.work_s = 0.03
        self.heartbeat_s = HEARTBEAT_MS / 1000
        # Where its heartbeats go: the control address of its machine, or a proxy before it.
        self.control = world.address(machine, CONTROL)
        self.on_syn = lambda packet: None

    async def start(self):
        loop = asyncio.get_running_loop()
        address = self.world.address(self.machine, APP)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.server = await asyncio.start_server(self.serve_health, *address, reuse_address=True)
        self.is_up = True
        self.world.record.line(f"host {self.id} of {self.service} starts beside {self.machine}")
        self.tasks.append(asyncio.create_task(self.beat()))

    async def serve_health(self, reader, writer):
        try:
            await read_http(reader)
            status = 200 if self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def crash(self, what="crashes"):
        """Ends without a word; all flows are lost."""
        self.is_up = False
        self.world.record.line(f"host {self.id} {what} with {len(self.flows)} flows")
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.server.close()
        self.flows.clear()

    def heartbeat_body(self):
        self.seq += 1
        ip, port = self.world.address(self.machine, APP)
        return {"service": self.service, "address": f"{ip}:{port}",
                "data_centre": self.world.zones[self.machine], "version": "v1", "slots": SLOTS,
                "state": self.state, "slow_start_ms": 0, "sequence": self.seq}

    async def heartbeat(self):
        body = self.heartbeat_body()
        status, _ = await http_call(self.control, "POST", f"/backend/{self.id}/report", body)
        is_acked = status is not None and 200 <= status < 300
        if is_acked and body["state"] == "draining" and self.drain_acked is None:
            self.drain_acked = time.monotonic()
            self.world.record.line(f"host {self.id}: draining is acknowledged by {self.machine}")

    async def beat(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    async def drain(self):
        """Says that it leaves, until that is acknowledged."""
        self.state = "draining"
        while self.is_up and self.drain_acked is None:
            await self.heartbeat()
            await asyncio.sleep(0.05)

    async def leave(self):
        await http_call(self.control, "POST", f"/backend/{self.id}/leave")
        self.crash("has signed off and exits")

    def send(self, packet):
        if self.is_up:
            self.transport.sendto(packet.encode(), self.world.address(self.machine, OUTBOUND))

    def error_received(self, exc):
        pass

    def datagram_received(self, raw, _):
        if not self.is_up:
            return
        packet = Packet.decode(raw)
        if not packet.is_genuine():
            self.world.breach("UNASKED", f"host {self.id} gets a packet that its sender didn't write so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.on_syn(packet)
            if flow is None:
                flow = self.flows[key] = HostFlow(packet)
            self.reply(packet, flow, SYN | ACK, flow.first)
            return
        if flow is None:
            if key in self.ended:
                if packet.flags & FIN:
                    self.reply(packet, HostFlow(packet), ACK, packet.ack)
                return
            packet.flags |= BOUNCED
            packet.pad = 0
            self.send(packet)
            return
        if packet.flags & RST:
            self.close(key)
            return
        if not flow.is_open:
            if packet.ack != mask(flow.first + 1):
                return
            flow.is_open = True
            self.world.on_open(self, key, flow)
        if packet.data:
            if packet.seq == flow.expected:
                flow.expected = mask(packet.seq + len(packet.data))
                self.tasks.append(asyncio.create_task(self.run(packet, key, flow)))
            elif flow.answer is not None:
                self.send(flow.answer)
        elif flow.answer is not None and packet.ack == mask(flow.answer.seq + len(flow.answer.data)):
            flow.answer = None
        if packet.flags & FIN:
            flow.fin_seen = True
            self.reply(packet, flow, ACK | FIN, flow.next)
            self.close(key)

    def close(self, key):
        self.flows.pop(key, None)
        self.ended.add(key)

    def reply(self, to, flow, flags, seq, data=b""):
        packet = Packet(to.dst, to.dport, to.src, to.sport, flags, seq, flow.expected, data)
        self.send(packet)
        return packet

    async def run(self, packet, key, flow):
        request = packet.data.decode()
        self.world.on_run(self, request, key)
        await asyncio.sleep(self.work_s)
        if not self.is_up or key not in self.flows:
            return
        answer = f"200 {request} by {self.id} of {self.service}".encode()
        closes = FIN if self.state == "draining" else 0
        flow.answer = self.reply(packet, flow, ACK | closes, flow.next, answer)
        flow.next = mask(flow.next + len(answer))


# ---------------------------------------------------------------- clients and routers

class Flow:
    def __init__(self, client, port, entry):
        self.client, self.port, self.entry = client, port, entry
        self.seq = random.getrandbits(32)
        self.next = mask(self.seq + 1)
        self.expected = None
        self.is_reset = None
        self.inbox = asyncio.Queue()
        self.opened_at = None
        self.via = None
        self.requests = 0


class Client(asyncio.DatagramProtocol):
    """A client machine with one address and many flows."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine
        self.flows = {}
        self.port = 20000 + random.randrange(10000)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.ip, _ = address = self.world.address(self.machine, DATAGRAM)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def error_received(self, exc):
        pass

    def datagram_received(self, raw, _):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport)
        is_own_reset = packet.flags == RST and packet.sum == 0 and not packet.data
        if not is_own_reset and not packet.is_genuine():
            self.world.breach("MIXED", f"client {self.ip} gets a packet that its sender didn't write so")
            return
        if flow is None:
            return
        if is_own_reset:
            if flow.expected is not None:
                distance = mask(packet.seq - flow.expected + 76800)
                if distance > 2 * 76800:
                    return
            flow.is_reset = time.monotonic()
            self.world.on_reset(flow)
        flow.inbox.put_nowait(packet)

    def send(self, flow, flags, seq, ack, data=b""):
        packet = Packet(self.ip, flow.port, flow.entry[0], flow.entry[1], flags, seq, ack, data)
        via = self.world.route(self.machine, (self.ip, flow.port, *flow.entry))
        if via is None:
            return
        flow.via = via
        self.transport.sendto(packet.encode(), self.world.address(via, DATAGRAM))

    async def receive(self, flow, until):
        left = until - time.monotonic()
        if left <= 0:
            return None
        try:
            return await asyncio.wait_for(flow.inbox.get(), left)
        except asyncio.TimeoutError:
            return None

    async def open(self, entry):
        """Opens a flow; None if it never opened."""
        self.port += 1
        flow = Flow(self, self.port, entry)
        self.flows[flow.port] = flow
        start = time.monotonic()
        flow.sent_at = start
        for copies, (at, until) in enumerate([(0, 0.2), (0.2, 0.6), (0.6, 1.4)]):
            self.send(flow, SYN, flow.seq, copies)
            while True:
                packet = await self.receive(flow, start + until)
                if packet is None:
                    break
                if packet.flags & RST:
                    return None
                if packet.flags & SYN and packet.flags & ACK:
                    flow.expected = mask(packet.seq + 1)
                    flow.opened_at = time.monotonic()
                    return flow
        return None

    async def request(self, flow, name, deadline_s=1.5):
        """Sends a request on an open flow; returns the answer, "reset" or "deadline"."""
        data = name.encode()
        start, wait = time.monotonic(), 0.2
        until = start + deadline_s
        seq = flow.next
        self.world.on_sent(flow, name)
        result = "deadline"
        while result == "deadline" and time.monotonic() < until:
            self.send(flow, ACK, seq, flow.expected, data)
            again = min(time.monotonic() + wait, until)
            wait = min(wait * 2, 1.6)
            while True:
                packet = await self.receive(flow, again)
                if packet is None:
                    break
                if packet.flags & RST:
                    result = "reset"
                    break
                if packet.data and packet.seq == flow.expected:
                    flow.expected = mask(packet.seq + len(packet.data))
                    flow.next = mask(seq + len(data))
                    self.send(flow, ACK, flow.next, flow.expected)
                    result = packet.data.decode()
                    break
        self.world.on_answer(flow, name, result)
        return result

    async def end(self, flow):
        for _ in range(2):
            self.send(flow, ACK | FIN, flow.next, flow.expected)
            packet = await self.receive(flow, time.monotonic() + 0.2)
            if packet is not None and packet.flags & (FIN | RST):
                break
        self.flows.pop(flow.port, None)


# ---------------------------------------------------------------- the deployment

class World:
    """All machines of a deployment, their addresses and the processes that run on them."""

    def __init__(self, folder, edges, sides, clients, spare=(), with_links=False):
        """`edges` and `clients` map machines to zones; `sides` maps machines to (zone, service).

        The machines in `spare` are not started with the others. With links, messages between daemons pass
        through `Link`, where `is_cut` may drop them.
        """
        # A script that is told to end still ends its processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.spare, self.with_links = set(spare), with_links
        self.links, self.link_calls = {}, {}
        self.is_cut = lambda source, target: False
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.edges, self.clients_of = edges, clients
        self.services = {machine: service for machine, (_, service) in sides.items()}
        self.zones = {**edges, **{m: zone for m, (zone, _) in sides.items()}, **clients}
        self.machines = ["store", *edges, *sides, *clients]
        self.net = random.randrange(1, 250)
        self.pick_addresses()
        self.processes = {}
        self.children = []
        self.started = {}
        self.ready = {}
        self.misses = {}
        self.breaches = []
        self.runs = {}
        self.counts = {"sent": 0, "answered": 0, "reset": 0, "deadline": 0}
        self.opened = {}
        self.open_host = {}
        self.is_first_start = True
        self.tasks = []
        self.route_to = None
        self.on_breach = lambda rule, text: None

    # -- addresses

    def pick_addresses(self):
        for _ in range(200):
            self.block = random.randrange(64, 126)
            self.net = random.randrange(1, 250)
            base = random.randrange(15000, 30000)
            self.ports = [base + i for i in range(8)]
            if all(self.is_free(m, port) for m in self.machines for port in self.ports):
                return
        raise RuntimeError("no free addresses")

    def is_free(self, machine, port):
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((self.ip(machine), port))
                except OSError:
                    return False
        return True

    def ip(self, machine):
        return f"127.{self.block}.{self.net}.{10 + self.machines.index(machine)}"

    def address(self, machine, port):
        return self.ip(machine), self.ports[port]

    def text(self, machine, port):
        return "%s:%d" % self.address(machine, port)

    def machine_of(self, ip):
        return next((m for m in self.machines if self.ip(m) == ip), None)

    # -- processes

    def settings(self, machine):
        """The settings as deploy/balancer.json and deploy/agent.json render them."""
        zones = sorted(set(self.zones.values()))
        seeds = [self.text(edge, CONTROL) for edge in list(self.edges)[:3]]
        service = self.services.get(machine)
        streams = {
            "segment_address": self.text(machine, OUTBOUND if service else DATAGRAM),
            "network_address": self.text(machine, DATAGRAM),
            "ready_address": self.text(machine, READY),
            "seeds": seeds,
            "first_start": self.is_first_start,
            "report_period_ms": HEARTBEAT_MS,
            "stream_limit_s": FLOW_MAX_S,
            "grace_s": GRACE_S,
            "data_centres": {zone: "region" for zone in zones},
            "evacuations": False,
        }
        if service:
            streams["backend_address"] = self.text(machine, APP)
            streams["report_address"] = self.text(machine, CONTROL)
            streams["policy"] = {"admission": {"waiting_aim_percent": 50}}
        if self.with_links:
            streams["listen_address"] = self.text(machine, PRIVATE)
        settings = {"node": {
            "name": machine,
            "data_centre": self.zones[machine],
            "packet_address": self.text(machine, INTERNAL),
            "platform": self.text("store", STORE),
            "platform_api": "machines",
            "streams": streams,
        }}
        if service:
            settings["service"] = service
        return settings

    def launch(self, machine):
        path = os.path.join(self.folder, f"{machine}.json")
        with open(path, "w") as file:
            json.dump(self.settings(machine), file)
        command = [AGENT, "--settings", path] if machine in self.services else [BALANCER, "run", "--settings", path]
        log = open(os.path.join(self.folder, f"{machine}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["ROSEMARYUSHER_NODE_FILE"] = path
        child = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT, env=environment)
        log.close()
        self.processes[machine] = child
        self.children.append(child)
        self.started[machine] = time.monotonic()
        self.record.line(f"process on {machine} starts")

    def add(self, machine):
        """Adds a spare machine."""
        self.launch(machine)
        self.tasks.append(asyncio.create_task(self.probe(machine)))

    async def stop(self, machine):
        """SIGTERM, then SIGKILL after the grace time."""
        child = self.processes.pop(machine)
        self.record.line(f"process on {machine} gets SIGTERM")
        child.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while child.poll() is None:
            if time.monotonic() > until:
                child.kill()
                self.record.line(f"process on {machine} is killed after the grace time")
            await asyncio.sleep(0.02)
        self.record.line(f"process on {machine} has ended with {child.returncode}")

    async def restart(self, machine, pause_s=0.5):
        await self.stop(machine)
        await asyncio.sleep(pause_s)
        self.launch(machine)

    def kill(self, machine):
        child = self.processes.pop(machine)
        child.kill()
        child.wait()
        self.record.line(f"process on {machine} is killed")

    def check_processes(self):
        for machine, child in list(self.processes.items()):
            if child.poll() is not None:
                self.breach("Fault", f"process on {machine} ended by itself with {child.returncode}")
                self.launch(machine)

    async def watch_processes(self):
        while True:
            self.check_processes()
            await asyncio.sleep(0.1)

    # -- routers

    async def probe(self, edge):
        """The platform's readiness probe: two misses take a daemon out of rotation."""
        misses = 2
        while True:
            status, _ = await http_call(self.address(edge, READY), "GET", "/ready", timeout=0.4)
            misses = 0 if status == 200 else misses + 1
            self.misses[edge] = misses
            is_ready = misses < 2
            if is_ready != self.ready.get(edge, False):
                self.record.line(f"{edge} is {'in' if is_ready else 'out of'} rotation")
            self.ready[edge] = is_ready
            await asyncio.sleep(0.5)

    def route(self, client, key):
        """The daemon for a packet: a steady hash over the zone's daemons that are in rotation."""
        if self.route_to is not None:
            return self.route_to(client, key)
        zone = self.zones[client]
        near = [edge for edge, at in self.edges.items() if at == zone]
        in_rotation = [edge for edge in near if self.ready.get(edge)]
        if not in_rotation:
            in_rotation = [edge for edge in self.edges if self.ready.get(edge)] or near
        rank = lambda edge: hashlib.md5(f"{key}{edge}".encode()).digest()
        return max(in_rotation, key=rank) if in_rotation else None

    # -- observations

    def breach(self, rule, text):
        self.breaches.append((rule, text))
        self.record.line(f"BROKEN {rule}: {text}")
        self.on_breach(rule, text)

    def on_open(self, host, key, flow):
        self.open_host[key] = host
        self.record.line(f"flow {key[0]}:{key[1]} is open at host {host.id}")

    def on_run(self, host, request, key):
        self.runs.setdefault(request, []).append(host.id)
        self.record.line(f"host {host.id} runs {request}")
        if len(self.runs[request]) > 1:
            self.breach("UNASKED", f"{request} has run {len(self.runs[request])} times")

    def on_sent(self, flow, name):
        self.counts["sent"] += 1
        self.record.line(f"client sends {name} on flow {flow.client.ip}:{flow.port} through {flow.via}")

    def on_answer(self, flow, name, result):
        kind = result if result in ("reset", "deadline") else "answered"
        self.counts[kind] += 1
        self.record.line(f"client has for {name}: {result}")
        if kind == "answered" and not result.startswith(f"200 {name} "):
            self.breach("MIXED", f"{name} is answered with {result}")

    def on_reset(self, flow):
        self.record.line(f"client gets a reset of the system's own on flow {flow.client.ip}:{flow.port}")

    # -- start and end

    async def start(self, config):
        self.store = Store(self)
        await self.store.start()
        self.store.put("config", "main", config)
        if self.with_links:
            self.links = {machine: Link(self, machine) for machine in [*self.edges, *self.services]}
            for link in self.links.values():
                await link.start()
        for machine in [*self.edges, *self.services]:
            if machine not in self.spare:
                self.launch(machine)
        self.is_first_start = False
        self.tasks += [asyncio.create_task(self.probe(edge)) for edge in self.edges if edge not in self.spare]
        self.tasks.append(asyncio.create_task(self.watch_processes()))
        self.clients = {machine: Client(self, machine) for machine in self.clients_of}
        for client in self.clients.values():
            await client.start()

    async def until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while not all(self.ready.get(edge) for edge in self.edges if edge not in self.spare):
            if time.monotonic() > until:
                raise RuntimeError("the balancers did not become ready")
            await asyncio.sleep(0.05)

    def finish(self, keep_logs=False):
        for task in self.tasks:
            task.cancel()
        # Tasks that are still waiting end with the loop, and that is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for child in self.children:
            if child.poll() is None:
                child.kill()
                child.wait()
        self.record.line(f"totals: {self.counts}")
        self.record.close()
        if keep_logs or os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, idle_ms=IDLE_TIMEOUT_MS):
    """A configuration as the operator writes it; `routes` maps (ip, port) to a service."""
    return {
        "version": version,
        "routes": [{"name": f"r-{ip}-{port}", "host": ip, "pathPrefix": f"/{port}/", "type": "unsafe",
                    "timeoutMs": 1500, "targetLatencyMs": 250, "priority": 1, "service": service,
                    "maxAttempts": 2} for (ip, port), service in routes.items()],
        "services": [{"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1",
                      "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": idle_ms},
    }


async def serve_load(world, client, entry, per_s, until, tag):
    """Opens a flow for each request, at a steady rate."""
    count = 0
    tasks = []
    while time.monotonic() < until:
        count += 1
        tasks.append(asyncio.create_task(one_request(world, client, entry, f"{tag}-{count}")))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)


async def one_request(world, client, entry, name):
    flow = await client.open(entry)
    if flow is None:
        world.record.line(f"client: no flow for {name}")
        return
    result = await client.request(flow, name)
    if result not in ("reset", "deadline"):
        await client.end(flow)
