"""Stand-ins, clients and processes for the review cases; standard library only.

Store, servers and clients run in the process of the case. The VMs are separate
processes, started with the command and the settings template of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "gloves.example"
KEY = "2b9wu3fexd9dnn2ctnfz"
TENANT = "huka270"
DRAIN_S = 2.0
GRACE_S = 6.0
STABLE_S = 3.0
PIECE_BYTES = 16 << 10
_ports = iter(range(20_000 + os.getpid() * 97 % 9_000, 32_700))


def free_port(*hosts):
    """Return a port that is free for TCP and UDP on all hosts."""
    for port in _ports:
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return port
    raise OSError("no free port")


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        self._file = os.fdopen(os.open(Path(folder) / "record.txt", flags, 0o644), "w")
        self("start", f"trouble={int(TROUBLE)}")

    def now_s(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_s

    def __call__(self, event, text=""):
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} {event} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("cut in the head") from None
        return None
    first, *rest = data[:-4].decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in rest)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    """Return the body of a message with a length; empty without one."""
    length = int(headers.get("content-length", 0))
    try:
        return await reader.readexactly(length) if length else b""
    except asyncio.IncompleteReadError:
        raise ConnectionResetError("cut in the body") from None


def encode(first, headers, body=b""):
    """Return an encoded message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: items, pages and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.port = 0
        self.calls = 0
        self._changed = asyncio.Event()
        self._server = None

    async def open(self, host="127.0.0.1"):
        """Start to listen."""
        self.port = free_port(host)
        self._server = await asyncio.start_server(self._serve, host, self.port)

    def close(self):
        """Stop to listen."""
        self._server.close()

    def put(self, key, value):
        """Write an item; the return is the acknowledgement."""
        self.revision += 1
        made = self.items.get(key, {}).get("create_revision", self.revision)
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "rev": self.revision}
        self._add(item | {"create_revision": made, "lease": 0})

    def delete(self, key):
        """Delete an item."""
        self.revision += 1
        self._add({"key": key, "rev": self.revision, "tombstone": True})

    def _add(self, item):
        if item.get("tombstone"):
            self.items.pop(item["key"], None)
        else:
            self.items[item["key"]] = item
        self.history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                self.calls += 1
                status, body = await self._answer(head[0].split(" ")[1])
                data = json.dumps(body).encode()
                content = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} X", content, data))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {}
            return 200, item | {"store_revision": self.revision}
        if url.path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            revision = self.revision
            return 200, {"items": page, "has_more": more, "store_revision": revision}
        after = int(query["after"])
        end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                item
                for item in self.history
                if item["rev"] > after and item["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


class Server:
    """A server of a service: slots, a short queue, whole sealed answers.

    The path tells the work in milliseconds: ``/PREFIX/MS/ANYTHING``.
    """

    def __init__(self, name, service, store, record, slots=6, queue=24):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.slots, self.queue = slots, queue
        self.state = "ready"
        self.is_leaving = False
        self.sheds = lambda: False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.port = 0
        self.arrived = []  # (time, id) of each request that reached this server
        self.run = []  # (time, id) of each request at the start of its work
        self.done = set()
        self.body_bytes = {}
        self.answer = b""
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server = None
        self._beat = None
        self._writers = set()

    async def open(self, host="127.0.0.1"):
        """Start to listen and to write its entry."""
        self.port = free_port(host)
        self._host = host
        self._server = await asyncio.start_server(
            self._serve, host, self.port, limit=1 << 20
        )
        self.write_entry()
        self._beat = asyncio.create_task(self._write_entries())

    def write_entry(self):
        """Write its entry into the store."""
        self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": "a"}
        status = {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}
        entry = {"address": f"{self._host}:{self.port}", "born": self.born}
        entry |= {"info": info | {"slots": self.slots}, "status": status}
        self.store.put(f"servers/{self.name}", entry)

    async def _write_entries(self):
        while True:
            await asyncio.sleep(1.5)
            self.write_entry()

    def drain(self):
        """Report that it is about to end; it goes on to serve."""
        self.state, self.is_leaving = "draining", True
        self.write_entry()
        self.record("drain", f"server={self.name}")

    def end(self):
        """End: the entry is removed, connections end."""
        self._beat.cancel()
        if f"servers/{self.name}" in self.store.items:
            self.store.delete(f"servers/{self.name}")
        self.record("end", f"server={self.name}")
        self.close()

    def close(self):
        """Stop to listen and end all connections."""
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                first, headers, data = await self._answer(reader, *head, body)
                if self.is_leaving:
                    headers["Connection"] = "close"
                await self._send(writer, encode(first, headers, data))
                if self.is_leaving:
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _send(writer, data):
        """Send an answer; a long one in pieces, as it is produced."""
        for start in range(0, len(data), PIECE_BYTES):
            if start:
                await asyncio.sleep(0.0005)
            writer.write(data[start : start + PIECE_BYTES])
            await writer.drain()

    async def _answer(self, reader, first, headers, body):
        _, target, _ = first.split(" ")
        if target == "/health":
            status = 503 if self.is_leaving else 200
            return f"HTTP/1.1 {status} X", {"Instance-Id": self.name}, b""
        name = headers.get("attempt-id", "")
        echo = {"Attempt-Id": name}
        if headers.get("target-instance", self.name) != self.name:
            return "HTTP/1.1 421 X", echo | {"Instance-Id": self.name}, b""
        now_s = self.record.now_s()
        self.arrived.append((now_s, name))
        self.body_bytes[name] = len(body)
        if self.sheds() or (self._free.locked() and self._waiting >= self.queue):
            self.record("shed", f"id={name} server={self.name}")
            return "HTTP/1.1 503 X", echo | {"Not-Executed": "1"}, b""
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        try:
            self.run.append((self.record.now_s(), name))
            self.record("run", f"id={name} server={self.name}")
            work_s = int(target.split("/")[2]) / 1000
            gone = asyncio.create_task(self._wait_for_close(reader))
            done, _ = await asyncio.wait({gone}, timeout=work_s)
            gone.cancel()
            if done:
                self.record("dropped", f"id={name} server={self.name}")
                raise ConnectionResetError
            self.done.add(name)
            self.record("done", f"id={name} server={self.name}")
            data = self.answer or f"answer to {name}".encode()
            return "HTTP/1.1 200 OK", echo | {"Response-Seal": f"s.{name}"}, data
        finally:
            self._free.release()

    @staticmethod
    async def _wait_for_close(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)


class Vm:
    """One VM process."""

    def __init__(self, number, fleet, record):
        # Addresses of its own for each run: the port of the metrics is fixed.
        self.host = (
            f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.{number + 1}"
        )
        self.name = f"edge-a-{number}"
        self.record = record
        self.fleet = fleet
        self.process = None
        self.front = self.ready = 0
        self.inner = 0  # Its own port for datagrams if it lies behind a relay.

    async def start(self):
        """Start the program as the deploy file says, unless the case has ended."""
        if self.fleet.is_closed:
            return
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["proxy"]
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(render(ROOT / role["template"], self.fields()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GENTIANFOLD_SETTINGS"] = str(path)
        words = role["run"].split(" ")
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        log = os.open(self.fleet.folder / f"{self.name}.log", flags, 0o644)
        self.process = await asyncio.create_subprocess_exec(
            shutil.which(words[0]) or words[0],
            *words[1:],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        os.close(log)
        if self.fleet.is_closed:
            self.process.kill()
        self.record("vm", f"{self.name} started")

    def fields(self):
        """Return the fields of the platform's settings."""
        fleet = self.fleet
        return {
            "node_name": self.name,
            "ip": self.host,
            "zone": "a",
            "region": "r",
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self.ready}",
                "control": f"{self.host}:{fleet.control}",
            },
            "internal_port_range": [self.inner or fleet.inner, fleet.inner + 15],
            "seed_nodes": fleet.seeds(),
            "limits": {"cpu_share": 0.86, "link_mbps": 1000.0, "memory_mb": 300},
            "bounds": {
                "retry_budget_ratio": 0.2,
                "budget_slack": 56,
                "budget_window_s": 10,
                "quota_window_s": 5,
                "grace_s": int(GRACE_S),
            },
            "platform_settings": {"address": f"127.0.0.1:{fleet.store.port}"},
        }

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record("signal", f"{self.name} {signal.Signals(number).name}")

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        """Ask for readiness as the balancer does."""
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.host, self.ready, "GET", "/-/readiness"), 1.0
            )
        except (OSError, TimeoutError):
            return False
        return status == 200


class Fleet:
    """Store, servers and VMs of a small deployment in one zone."""

    def __init__(self, record, vms=3):
        self.record = record
        self.is_closed = False
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.servers = []
        self.vms = [Vm(number, self, record) for number in range(1, vms + 1)]
        hosts = [vm.host for vm in self.vms]
        self.control = free_port(*hosts)
        self.inner = free_port(*hosts)
        self.metrics = 9464

    def seeds(self):
        """Return the seeds of the settings."""
        return [f"{vm.host}:{self.control}" for vm in self.vms[:3]]

    async def open(self, services, routes, configuration=None):
        """Start everything and wait until all VMs are in touch.

        Args:
            services: Number of servers by service.
            routes: Routes of the configuration.
            configuration: Further fields of the configuration.
        """
        await self.store.open()
        self.put_configuration(7, services, routes, **(configuration or {}))
        for service, count in services.items():
            for number in range(count):
                await self.add_server(f"i-{service}-{number}", service)
        for vm in self.vms:
            vm.front, vm.ready = free_port(vm.host), free_port(vm.host)
        await asyncio.gather(*(vm.start() for vm in self.vms))
        end_s = time.monotonic() + 20
        while not all([await vm.is_ready() for vm in self.vms]):
            if time.monotonic() > end_s:
                raise CouldNotRun("the VMs are not ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(STABLE_S + 1)

    def put_configuration(self, version, services, routes, **fields):
        """Publish a configuration."""
        health = {"health_path": "/health", "max_connections": 330}
        health |= {"protocol": "h1", "tls": False}
        document = {
            "version": f"r{version}",
            "routes": routes,
            "services": [{"name": name} | health for name in services],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }
        self.store.put("op/config", document | fields)
        self.record("configuration", f"version={version} acknowledged")

    async def add_server(self, name, service, **options):
        """Start a server."""
        server = Server(name, service, self.store, self.record, **options)
        await server.open()
        self.servers.append(server)
        return server

    async def close(self):
        """End all processes and stand-ins."""
        self.is_closed = True
        for vm in self.vms:
            if vm.is_running:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            if vm.process is not None:
                await vm.process.wait()
        for server in self.servers:
            server.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def logs(self):
        """Return the text of the VMs' logs."""
        paths = sorted(self.folder.glob("*.log"))
        return "".join(path.read_text(errors="replace") for path in paths)


class DatagramRelay:
    """Passes on the datagrams between one VM and the others, or drops them.

    The VM uses a port of its own. The relay takes that port at the addresses of the
    others, and their port at the address of the VM, so that all see each other's
    addresses as they are.
    """

    def __init__(self, fleet, vm):
        self.is_cut = False
        self.dropped = 0
        self._fleet, self._vm = fleet, vm
        hosts = [other.host for other in fleet.vms]
        vm.inner = free_port(*hosts)
        self._sockets = []

    async def open(self):
        """Start to pass on datagrams."""
        fleet, vm = self._fleet, self._vm
        near = self._bind(vm.host, fleet.inner)
        far = {
            other.host: self._bind(other.host, vm.inner)
            for other in fleet.vms
            if other is not vm
        }
        loop = asyncio.get_running_loop()
        loop.add_reader(near, self._pass_in, near, far)
        for host, sock in far.items():
            loop.add_reader(sock, self._pass_out, sock, near, host)

    def _bind(self, host, port):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((host, port))
        self._sockets.append(sock)
        return sock

    def _pass_in(self, near, far):
        """Pass on a datagram of another VM, sent from that VM's address."""
        data, (host, _) = near.recvfrom(65536)
        if host in far:
            self._send(far[host], data, (self._vm.host, self._vm.inner))

    def _pass_out(self, sock, near, host):
        """Pass on a datagram of the VM, sent from its address."""
        data, _ = sock.recvfrom(65536)
        self._send(near, data, (host, self._fleet.inner))

    def _send(self, sock, data, address):
        if self.is_cut:
            self.dropped += 1
            return
        try:
            sock.sendto(data, address)
        except OSError:
            self.dropped += 1

    def close(self):
        """Stop to pass on datagrams."""
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


class CouldNotRun(Exception):
    """The case could not be run."""


def route(name, service, kind="idempotent", **fields):
    """Return a route of the configuration with the path prefix ``/NAME/``."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 1000,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "auth_exempt": False,
    } | fields


def request(method, target, name, deadline_ms=4000, body=b"", **headers):
    """Return an encoded request of a client."""
    fields = {"Host": HOST, "Attempt-Id": name, "Request-Deadline": deadline_ms}
    fields |= {"Authorization": f"Token {KEY}"} | headers
    if body or method != "GET":
        return encode(f"{method} {target} HTTP/1.1", fields, body)
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_response(reader):
    """Return status, headers and body; None if the connection ended before."""
    head = await read_head(reader)
    if head is None:
        return None
    body = await read_body(reader, head[1])
    return int(head[0].split(" ")[1]), head[1], body


async def call(host, port, method, target):
    """Send a request without a body on a new connection."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        line = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        writer.write(line.encode())
        response = await read_response(reader)
        if response is None:
            raise ConnectionResetError("no answer")
        return response
    finally:
        writer.close()


def render(path, fields):
    """Fill in a settings template as the platform's pages say."""
    text = Path(path).read_text()

    def find(name, scope):
        value = scope
        if name == ".":
            return scope
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def fill(match):
        name, _, form = match[1].partition("|")
        value = find(name, fields)
        return json.dumps(value) if form or not isinstance(value, str) else value

    def repeat(match):
        return ",".join(json.dumps(value) for value in find(match[1], fields))

    text = re.sub(r"\{\{#(\w+)\}\}.*?\{\{/\1\}\}", repeat, text)
    return re.sub(r"\{\{([\w.|]+)\}\}", fill, text)


def main(folder, case, limit_s=110):
    """Run a case and exit with its result.

    Args:
        folder: Folder of the case.
        case: Coroutine function that gets the record and returns whether the rule held.
        limit_s: Longest time of the case (seconds).
    """
    record = Record(folder)

    async def run():
        return await asyncio.wait_for(case(record), limit_s)

    try:
        held = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        # An error of the case must not look like a broken rule.
        record("could not run", repr(error))
        print(f"could not run: {error!r}")
        code = 2
    else:
        code = 0 if held else 1
        record("result", "held" if held else "broken")
    record.close()
    sys.exit(code)
