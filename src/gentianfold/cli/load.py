"""The command that sends an open-loop load to VMs on the loopback interface."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import anyio
import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._operator_client import parse_addresses
from gentianfold.cli._output import write_failures, write_json, write_line
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.daemon import LOAD_REFUSED
from gentianfold.errors import Failure
from gentianfold.load.plan import LoadPlan
from gentianfold.load.runner import LoadRunner


@cappa.command(name="load", help="Send an open-loop load to VMs on loopback.")
@attrs.frozen(kw_only=True)
class Load:
    """Sends requests at random times that don't wait for answers."""

    target: Annotated[
        list[str],
        cappa.Arg(
            long="--target",
            value_name="HOST:PORT",
            required=True,
            help="Caller port of a VM; repeat it for more VMs.",
        ),
    ]
    """Caller ports."""
    path: Annotated[str, cappa.Arg(long=True, help="Path of each request.")] = "/"
    """Path of each request."""
    method: Annotated[str, cappa.Arg(long=True, help="Method.")] = "GET"
    """Method of each request."""
    rate: Annotated[float, cappa.Arg(long=True, help="Mean requests a second.")] = 50.0
    """Mean arrivals each second."""
    seconds: Annotated[float, cappa.Arg(long=True, help="Length of the run.")] = 5.0
    """Length of the run."""
    header: Annotated[
        list[str],
        cappa.Arg(
            long="--header", short="-H", value_name="NAME:VALUE", help="A header."
        ),
    ] = attrs.field(factory=list)
    """Headers of each request."""
    body: Annotated[str, cappa.Arg(long=True, help="Body of each request.")] = ""
    """Body of each request."""
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the arrivals.")] = 1
    """Seed of the arrival times."""
    plot: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="Write a PNG plot.")
    ] = ""
    """Where to write a plot."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Run the load and print the result."""
        addresses = parse_addresses(self.target)
        if isinstance(addresses, tuple):
            write_failures(addresses)
            return ExitCode.USAGE
        plan = self._plan(tuple((one.host, one.port) for one in addresses))
        fault = plan.find_fault()
        if fault:
            write_failures([Failure(LOAD_REFUSED, fault)])
            return ExitCode.USAGE
        result = anyio.run(LoadRunner(plan).run, backend_options={"use_uvloop": True})
        if self.plot:
            result.plot(Path(self.plot))
        if self.as_json:
            write_json(result.as_dict())
        else:
            write_line(result.text())
        return ExitCode.OK

    def _plan(self, targets: tuple[tuple[str, int], ...]) -> LoadPlan:
        pairs = (line.partition(":") for line in self.header)
        return LoadPlan(
            targets,
            self.rate,
            self.seconds,
            self.method,
            self.path,
            tuple(
                (name.strip().lower().encode(), value.strip().encode())
                for name, _, value in pairs
            ),
            self.body.encode(),
            seed=self.seed,
        )
