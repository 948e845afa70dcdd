"""Stand-ins and tools of the cases 11 to 15: standard library only.

The platform's store, servers and clients run in the process of a case; each VM is a
process of its own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
API_KEY = "2b9wu3fexd9dnn2ctnfz"
TENANT = "huka270"
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
STABLE_S = 3.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

Headers = dict[str, str]


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Read a start line and its headers; ``None`` at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def format_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def free_port(hosts: Iterable[str]) -> int:
    """Return a port that is free on all hosts, for TCP and UDP."""
    hosts = list(hosts)
    for _ in range(1000):
        port = random.randrange(20_000, 32_000)
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return port
    raise OSError("no free port")


# Store


class Store:
    """The platform's store: items, their history, and an outage of the reading calls."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.is_silent = False
        self.on_call: Callable[[str, bool], None] | None = None
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write an item."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        old = self.items.get(key)
        created = old["create_revision"] if old else self.revision
        item = {
            "key": key,
            "value": text,
            "rev": self.revision,
            "create_revision": created,
            "lease": 0,
        }
        self.items[key] = item
        self.history.append(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "rev": self.revision, "tombstone": True})

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                was_silent = self.is_silent
                if self.on_call is not None:
                    self.on_call(urlsplit(target).path, was_silent)
                if was_silent:
                    # A connection on which an answer is lost returns nothing further.
                    await reader.read()
                    break
                await asyncio.sleep(0.004)
                status, body = self._answer(target)
                data = json.dumps(body).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(format_answer(status, kind, data))
                await writer.drain()
        writer.close()

    def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**item, "store_revision": self.revision}
        if url.path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(
                key for key in self.items if key.startswith(prefix) and key > after
            )
            body = {
                "items": [self.items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
            return 200, body
        if url.path == "/-/kv-watch":
            after_revision = int(query["after"])
            events = [
                item
                for item in self.history
                if item["rev"] > after_revision and item["key"].startswith(prefix)
            ]
            return 200, {"events": events, "store_revision": self.revision}
        return 404, {}


# Servers


class Server:
    """A server of a service: runs requests, writes its entry, answers health checks."""

    def __init__(self, name: str, service: str, host: str, work_s: float) -> None:
        self.name, self.service, self.host, self.work_s = name, service, host, work_s
        self.slots = 6
        self.port = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.arrivals: list[tuple[float, str, str]] = []
        self.bodies: dict[str, bytes] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def key(self) -> str:
        """Key of the entry in the store."""
        return f"servers/{self.name}"

    def entry(self) -> dict[str, Any]:
        """Return the next entry of this server."""
        self.sequence += 1
        return {
            "address": f"{self.host}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "sukhbaatar",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "warmup_left_ms": 0,
            },
        }

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End as a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                writer.write(await self._answer(line, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, line: str, headers: Headers, body: bytes) -> bytes:
        method, target, _ = line.split(" ")
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return format_answer(status, {"Instance-Id": self.name}, b"")
        request_id = headers.get("attempt-id", "")
        echo = {"Attempt-Id": request_id} if request_id else {}
        if headers.get("target-instance", self.name) != self.name:
            return format_answer(421, {**echo, "Instance-Id": self.name}, b"")
        if not request_id:
            return format_answer(400, {"Not-Executed": "1"}, b"")
        if self.running >= self.slots:
            return format_answer(503, {**echo, "Not-Executed": "1"}, b"")
        self.arrivals.append((time.monotonic(), request_id, method))
        self.bodies[request_id] = body
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        seal = {**echo, "Response-Seal": f"seal-{self.name}-{request_id}"}
        if self.state != "ready":
            seal["Connection"] = "close"
        return format_answer(200, seal, f"done {request_id} {self.name}".encode())


# Settings and VMs


def _lookup(path: str, scopes: list[Any]) -> Any:
    if path == ".":
        return scopes[-1]
    names = path.split(".")
    for scope in reversed(scopes):
        value = scope
        for name in names:
            if isinstance(value, dict) and name in value:
                value = value[name]
            elif isinstance(value, list) and name.isdigit() and int(name) < len(value):
                value = value[int(name)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _fill(text: str, scopes: list[Any], is_last: bool = True) -> str:
    """Fill in a template as the deploy page tells it, as far as it is used here."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)

    def fill_section(match: re.Match[str]) -> str:
        value = _lookup(match[1], scopes)
        if not isinstance(value, list):
            return _fill(match[2], scopes) if value else ""
        return "".join(
            _fill(match[2], [*scopes, entry], number == len(value) - 1)
            for number, entry in enumerate(value)
        )

    def fill_value(match: re.Match[str]) -> str:
        if match[1] == ",":
            return "" if is_last else ","
        value = _lookup(match[1], scopes)
        if match[2]:
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        if isinstance(value, dict | bool):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = section.sub(fill_section, text)
    return re.sub(r"\{\{([\w.,]+)(\|json)?\}\}", fill_value, text)


class Deployment:
    """A small deployment: VMs on loopback addresses of their own, and one store."""

    def __init__(self, vm_count: int) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        base = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.hosts = [f"{base}.{number + 1}" for number in range(vm_count)]
        self.front = free_port(self.hosts)
        self.ready = free_port(self.hosts)
        self.control = free_port(self.hosts)
        self.fleet = free_port(self.hosts)
        self.store = Store()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.is_first_start = True

    def fields(self, host: str) -> dict[str, Any]:
        """Return the settings that the platform gives to a VM."""
        store = f"127.0.0.1:{self.store.port}"
        return {
            "node_name": f"edge-{host}",
            "role": "proxy",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": host,
            "zone": "sukhbaatar",
            "region": "ulaanbaatar",
            "zones": {"sukhbaatar": "ulaanbaatar"},
            "listen": {
                "front": f"{host}:{self.front}",
                "ready": f"{host}:{self.ready}",
                "control": f"{host}:{self.control}",
            },
            "internal_port_range": [self.fleet, self.fleet],
            "seed_nodes": [f"{seed}:{self.control}" for seed in self.hosts[:3]],
            "bootstrap": self.is_first_start,
            "limits": {
                "cpu_share": 0.86,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "bounds": {
                "stable_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 6,
                "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 56,
                "quota_window_s": 5,
                "quota_overshoot": 0.25,
                "quota_slack": 20,
            },
            "platform_settings": {"address": store, "form": "read"},
        }

    async def start_vm(self, host: str) -> None:
        """Start a VM with the command of the deploy file."""
        template = (ROOT / "deploy" / "settings.json").read_text()
        settings = self.folder / f"{host}.json"
        settings.write_text(_fill(template, [self.fields(host)]))
        log = (self.folder / f"{host}.log").open("ab")
        self.processes[host] = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "gentianfold.vm",
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.folder),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "GENTIANFOLD_SETTINGS": str(settings),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def wait_ready(self, host: str, limit_s: float = 15.0) -> bool:
        """Wait until a VM says that it is ready."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            status, _, _ = await call(host, self.ready, "GET", "/-/readiness", {}, 1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a VM that this case started."""
        process = self.processes[host]
        if process.returncode is None:
            process.send_signal(number)

    def has_ended(self) -> list[str]:
        """Return the VMs whose processes have ended."""
        return [
            host
            for host, process in self.processes.items()
            if process.returncode is not None
        ]

    async def close(self) -> None:
        """End all VMs and remove the folder; keep the logs if it is asked for."""
        for host in self.processes:
            self.signal(host, signal.SIGCONT)
            self.signal(host, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(
    service: str, kind: str = "non_idempotent", timeout_ms: int = 2000
) -> dict[str, Any]:
    """Return a configuration with one route, ``/claims/``, and one tenant."""
    return {
        "version": "r7",
        "routes": [
            {
                "name": "r-claims",
                "host": HOST,
                "path_prefix": "/claims/",
                "kind": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 1000,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                "auth_exempt": False,
            }
        ],
        "services": [
            {"name": service, "health_path": "/health", "max_connections": 330}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [API_KEY], "priority": 1}],
    }


# Clients


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: Headers,
    limit_s: float,
    body: bytes = b"",
) -> tuple[int, Headers, bytes]:
    """Send a request on a new connection; status 0 without a whole answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if body and "Transfer-Encoding" in headers:
                    body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
                elif body:
                    lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                head = await read_head(reader)
                if head is None:
                    return 0, {}, b""
                size = int(head[1].get("content-length", "0"))
                data = await reader.readexactly(size) if size else b""
                return int(head[0].split(" ")[1]), head[1], data
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""


class Record:
    """What was sent, answered and run; times count from the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self._path = folder / "record.txt"
        self._lines: list[tuple[float, str]] = []
        self.sent_s: dict[str, float] = {}
        self.served = 0

    def add(self, text: str, at_s: float | None = None) -> None:
        """Add a line."""
        at_s = time.monotonic() if at_s is None else at_s
        self._lines.append((at_s - self.started_s, text))

    def write(self) -> None:
        """Write all lines in order of their times."""
        lines = sorted(self._lines, key=lambda line: line[0])
        text = "".join(f"{at_s:9.3f} {line}\n" for at_s, line in lines)
        self._path.write_text(text)


async def send_steadily(
    deployment: Deployment,
    record: Record,
    per_s: float,
    until: asyncio.Event,
    method: str = "POST",
) -> None:
    """Send requests to the VMs in turn until an event is set; wait for their answers."""
    tasks: set[asyncio.Task[None]] = set()

    async def send(number: int) -> None:
        host = deployment.hosts[number % len(deployment.hosts)]
        request_id = f"{number:06d}{random.getrandbits(40):010x}"
        headers = {
            "Attempt-Id": request_id,
            "Request-Deadline": "5000",
            "Authorization": f"Token {API_KEY}",
        }
        body = b"x" * 1200 if method == "POST" else b""
        record.add(f"sent {request_id} to {host}")
        record.sent_s[request_id] = time.monotonic()
        status, answer, _ = await call(
            host, deployment.front, method, f"/claims/{number}", headers, 6.0, body
        )
        seal = answer.get("response-seal", "-")
        record.add(f"answered {request_id} status={status} seal={seal}")
        record.served += status == 200

    number = 0
    while not until.is_set():
        task = asyncio.create_task(send(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(1 / per_s)
    if tasks:
        await asyncio.wait(list(tasks))


def has_trouble() -> bool:
    """Tell whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path,
    vm_count: int,
    play: Callable[[Deployment, Record], Awaitable[int]],
) -> None:
    """Run a case, write its record, end all processes and exit with the result."""

    async def run() -> int:
        deployment, record = Deployment(vm_count), Record(folder)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            if task is not None:
                loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                return await play(deployment, record)
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
            record.add(f"not run: {error!r}")
            # The stand-ins are cancelled in the middle of their requests.
            loop.set_exception_handler(lambda *_: None)
            return NOT_RUN
        finally:
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, lambda: None)
            await deployment.close()
            record.write()

    sys.exit(asyncio.run(run()))
