"""A server whose entry was removed gets requests long after an outage of the store."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_3 as harness

SILENT_FOR_S = 4.5
"""Longest outage (seconds): it ends just after a call, up to 1.1 s before this."""
STAYS_S = 9.5
"""Time for which the server serves after the removal of its entry (seconds)."""


async def beat(store: harness.Store, server: harness.Server) -> None:
    """Write the entry of a server regularly; not while the store is down."""
    while True:
        if not store.is_silent:
            store.put(server.key, server.entry())
        await asyncio.sleep(harness.HEARTBEAT_S)


async def play(deployment: harness.Deployment, record: harness.Record) -> int:
    store = deployment.store
    await store.open("127.0.0.1")
    store.put("op/config", harness.configuration("registry"))
    servers = [
        harness.Server(f"i-{number}", "registry", "127.0.0.1", 0.1)
        for number in range(7)
    ]
    for server in servers:
        server.slots = 2
    beats = []
    for server in servers:
        await server.open()
        beats.append(asyncio.create_task(beat(store, server)))
    for host in deployment.hosts:
        await deployment.start_vm(host)
    for host in deployment.hosts:
        if not await deployment.wait_ready(host):
            record.add(f"{host} is not ready")
            return harness.NOT_RUN
    stop = asyncio.Event()
    load = asyncio.create_task(
        harness.send_steadily(deployment, record, 140, stop, "POST")
    )
    await asyncio.sleep(4.0)

    called = asyncio.Event()

    def handle_call(path: str, was_silent: bool) -> None:
        # The VM that assigns the slots reads the changes.
        if path == "/-/kv-watch":
            called.set()

    store.on_call = handle_call

    async def next_call() -> None:
        called.clear()
        await called.wait()

    # The server says nothing of its end; its entry is removed just behind a call.
    leaving = servers[0]
    await next_call()
    await asyncio.sleep(0.02)
    beats[0].cancel()
    store.delete(leaving.key)
    removed_s = time.monotonic()
    record.add(f"the entry of {leaving.name} is removed, acknowledged")
    await asyncio.sleep(0.2)
    if harness.has_trouble():
        store.is_silent = True
        began_s = time.monotonic()
        record.add("the store gives no answers from here")
        await asyncio.sleep(SILENT_FOR_S - 1.1)
        await next_call()
        await asyncio.sleep(0.02)
        store.is_silent = False
        ended_s = time.monotonic()
        record.add(f"the store answers again, after {ended_s - began_s:.2f} s")
        judged_from_s = max(removed_s + harness.DRAIN_S, ended_s + harness.STABLE_S)
    else:
        judged_from_s = removed_s + harness.DRAIN_S
    record.add(
        "from here on a request that is sent to it breaks the rule", judged_from_s
    )
    await asyncio.sleep(removed_s + STAYS_S - time.monotonic())
    leaving.end()
    record.add(f"{leaving.name} has left")
    stop.set()
    await load
    for task in beats:
        task.cancel()
    late = 0
    for server in servers:
        for at_s, request_id, _ in server.arrivals:
            record.add(f"runs {request_id} on {server.name}", at_s)
            # Taken from the client and sent on by a machine in touch.
            if server is leaving and record.sent_s[request_id] > judged_from_s:
                late += 1
                record.add(
                    f"BROKEN DRAIN {request_id}: {at_s - removed_s:.3f} s after the"
                    f" acknowledgement that {leaving.name} is gone",
                    at_s,
                )
    if deployment.has_ended() or record.served < 0.8 * len(record.sent_s):
        record.add("a VM has ended by itself, or too few requests were served")
        return harness.NOT_RUN
    return harness.BROKEN if late else harness.HELD


harness.run_case(FOLDER, 2, play)
