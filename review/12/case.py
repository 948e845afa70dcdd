"""A late write of the store takes back that a server drains."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_3 as harness

LOST_FOR_S = 4.5
"""Length of ``platform_lost`` (seconds)."""
LATE_S = 5.9
"""Time from the sending of the lost write until the store has done it (seconds)."""
LAST_BEAT_S = 0.05
"""Time from the sending of that write to the end of the disruption (seconds)."""
DRAINS_AFTER_S = 3.1
"""Time from the end of the disruption until the server reports draining (seconds)."""
STAYS_S = 3.6
"""Time for which the server serves after that report (seconds)."""


async def beat(store: harness.Store, server: harness.Server, period_s: float) -> None:
    """Write the entry of a server regularly."""
    while True:
        store.put(server.key, server.entry())
        await asyncio.sleep(period_s)


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
    for server in servers:
        await server.open()
    leaving = servers[0]
    beats = [
        asyncio.create_task(beat(store, server, harness.HEARTBEAT_S))
        for server in servers[1:]
    ]
    store.put(leaving.key, leaving.entry())
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
    # Beats of the server that will leave: the last one in the disruption is lost.
    began_s = time.monotonic()
    ends_s = began_s + 1.0 + LOST_FOR_S
    record.add(
        f"answers of the store are lost from here for {LOST_FOR_S} s", began_s + 1
    )
    lost_at_s = ends_s - LAST_BEAT_S
    while time.monotonic() < lost_at_s - 0.2:
        store.put(leaving.key, leaving.entry())
        next_s = lost_at_s
        while next_s - 1.4 > time.monotonic() + 0.01:
            next_s -= 1.4
        await asyncio.sleep(next_s - time.monotonic())
    entry, lost = leaving.entry(), 0
    if harness.has_trouble():
        # Sent, not answered, done later.
        lost = entry["status"]["sequence"]
        record.add(f"write of {leaving.name} sequence={lost} is lost for now")
    else:
        store.put(leaving.key, entry)
    late_s = time.monotonic() + LATE_S
    await asyncio.sleep(ends_s - time.monotonic())
    record.add("the disruption has ended")
    next_s = ends_s - LAST_BEAT_S + 1.45
    drains_s = ends_s + DRAINS_AFTER_S
    while next_s < drains_s - 0.3:
        await asyncio.sleep(next_s - time.monotonic())
        store.put(leaving.key, leaving.entry())
        next_s += 1.45
    await asyncio.sleep(drains_s - time.monotonic())
    leaving.state = "draining"
    acknowledged_s = time.monotonic()
    entry = leaving.entry()
    store.put(leaving.key, entry)
    record.add(f"{leaving.name} drains, sequence={entry['status']['sequence']}")
    # Its next two beats, and the lost write behind them.
    for _ in range(2):
        await asyncio.sleep(1.35)
        store.put(leaving.key, leaving.entry())
    if harness.has_trouble():
        entry["status"] = {"state": "ready", "sequence": lost, "warmup_left_ms": 0}
        await asyncio.sleep(max(late_s - time.monotonic(), 0))
        store.put(leaving.key, entry)
        record.add(f"the store has done the lost write, sequence={lost}")
    await asyncio.sleep(acknowledged_s + STAYS_S - time.monotonic())
    store.delete(leaving.key)
    leaving.end()
    record.add(f"{leaving.name} has left")
    await asyncio.sleep(0.5)
    stop.set()
    await load
    for task in beats:
        task.cancel()
    late = []
    for server in servers:
        for at_s, request_id, _ in server.arrivals:
            record.add(f"runs {request_id} on {server.name}", at_s)
            sent_s = record.sent_s[request_id]
            is_in_touch = sent_s > ends_s + harness.STABLE_S
            is_late = at_s > acknowledged_s + harness.DRAIN_S
            if server is leaving and is_late and is_in_touch:
                late.append(request_id)
                record.add(
                    f"BROKEN DRAIN {request_id}: {at_s - acknowledged_s:.3f} s after"
                    f" the acknowledgement that {leaving.name} drains",
                    at_s,
                )
    if deployment.has_ended() or record.served < 0.8 * len(record.sent_s):
        record.add("a VM has ended by itself, or too few requests were served")
        return harness.NOT_RUN
    return harness.BROKEN if late else harness.HELD


harness.run_case(FOLDER, 2, play)
