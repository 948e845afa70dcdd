"""Memory and load time of one VM's tables as the published configuration grows.

Run: PYTHONPATH=src python benchmarks/target_memory.py

Each row is a process of its own, so that sizes don't mix. The last row has the
target's sizes: 43,000 customers, 1,600 routes, 260 services, 5,700 upstreams, 550 VMs.
"""

from __future__ import annotations

import gc
import hashlib
import random
import subprocess
import sys
import time
from pathlib import Path

from gentianfold.configuration.key_table import KeyRecord
from gentianfold.configuration.publication import publish_configuration
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.daemon.published_view import PublishedView
from gentianfold.limits.limiter import Limiter
from gentianfold.model import Upstream
from gentianfold.routing.router import Router
from gentianfold.rules import parse_rules

SCALES = (0.1, 0.3, 1.0)
CUSTOMERS, ROUTES, SERVICES, UPSTREAMS, VMS = 43_000, 1_600, 260, 5_700, 550


def rss_mb() -> float:
    """Return the resident memory of this process."""
    lines = Path("/proc/self/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def publish(scale: float, values: dict[str, bytes]) -> None:
    """Publish a configuration of the target's shape."""
    services = max(1, int(SERVICES * scale))
    lines = [f"service s{n} floor=50%  # bench: size" for n in range(services)]
    lines += [
        f"route r{n} GET /p{n}/** service=s{n % services} idempotent  # bench: size"
        for n in range(int(ROUTES * scale))
    ]
    lines += [
        f"customer c{n} rate=5/s burst=20  # bench: size"
        for n in range(int(CUSTOMERS * scale))
    ]
    publish_configuration(
        values.__setitem__,
        version=1,
        rules_text="\n".join(lines),
        upstreams=[
            Upstream(f"u{n}", f"s{n % services}", "127.0.0.1", 1 + n, f"z{n % 6}", 6)
            for n in range(int(UPSTREAMS * scale))
        ],
        keys=[
            KeyRecord(f"c{n}", hashlib.sha256(b"%d" % n).hexdigest())
            for n in range(int(CUSTOMERS * scale))
        ],
    )


def measure(scale: float) -> None:
    """Load one configuration into the tables of a VM and print a row."""
    values: dict[str, bytes] = {}
    publish(scale, values)
    gc.collect()
    before_mb = rss_mb()
    start_s = time.perf_counter()
    store = ConfigurationStore(parse_rules)
    store.offer_root(values["config"], 0.0)
    for reference in store.missing():
        store.offer_shard(reference.name, values[reference.name], 0.0)
    snapshot = store.snapshot
    assert snapshot is not None, store.refusal
    view = PublishedView()
    view.adopt(snapshot)
    vms = [f"vm-{n}" for n in range(int(VMS * scale))]
    router = Router(vms[0], "z0", random.Random(1))
    router.on_snapshot(
        snapshot.services.values(),
        snapshot.upstreams.values(),
        0.0,
        fleet_vms=len(vms),
    )
    limiter = Limiter(vms[0], 1, 0.0)
    limiter.on_list(1, vms, 0.0)
    load_s = time.perf_counter() - start_s
    gc.collect()
    largest = max(map(len, values.values()))
    cells = (
        len(snapshot.keys),
        len(view.rules.routes),
        len(snapshot.upstreams),
        len(vms),
        f"{rss_mb() - before_mb:.1f}",
        f"{load_s:.2f}",
        f"{largest / 1e6:.2f}",
    )
    print("| " + " | ".join(map(str, cells)) + " |", flush=True)


def main() -> None:
    """Run every size in a process of its own."""
    if len(sys.argv) > 1:
        measure(float(sys.argv[1]))
        return
    print("| customers | routes | upstreams | VMs | MB | load s | largest value MB |")
    print("|---|---|---|---|---|---|---|", flush=True)
    for scale in SCALES:
        subprocess.run([sys.executable, __file__, str(scale)], check=True)


if __name__ == "__main__":
    main()
