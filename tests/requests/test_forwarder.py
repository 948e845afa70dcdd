from __future__ import annotations

import hashlib

import anyio
import attrs
import pytest
from conftest import BOOKING, LOOKUP, Bench, RecordedCaller

from gentianfold.errors import RunState
from gentianfold.model import Upstream
from gentianfold.requests.forwarder import ForwarderOptions
from gentianfold.requests.proxy_request import BrokenAnswerError
from gentianfold.standins.upstream import UpstreamStandin
from gentianfold.standins.upstream_behaviour import UpstreamBehaviour

pytestmark = pytest.mark.anyio

LENGTH = (b"content-length", b"5")
CHUNKED = (b"transfer-encoding", b"chunked")


def standins(**fault):
    return (
        UpstreamStandin("u1", UpstreamBehaviour(**fault)),
        UpstreamStandin("u2", UpstreamBehaviour()),
    )


async def closed_port() -> int:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return port


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
async def test_answer_belongs_to_request(method, chunked):
    async with UpstreamStandin(behaviour=UpstreamBehaviour(chunked=chunked)) as server:
        bench = Bench(server.upstream)
        caller = RecordedCaller([b"gl", b"ove"] if method == "POST" else [])
        framing = (LENGTH,) if method == "POST" else ()
        result = await bench.run(caller, method=method, headers=framing)
        assert (result.status, caller.status, caller.ended) == (200, 200, True)
        if method == "HEAD":
            assert caller.body == b""
            return
        assert caller.answer["request_id"] == "r1"
        assert caller.answer["target"] == "/gloves?q=1"
        body = b"glove" if method == "POST" else b""
        assert caller.answer["body_sha256"] == hashlib.sha256(body).hexdigest()
        seen = dict(server.record.headers_seen[0])
        assert b"authorization" not in seen
        assert 0 < int(seen[b"x-deadline-ms"]) <= 5000


SAFE = ["shed", "draining"]
UNSAFE = ["truncate", "reset", "close_on_request", "overlong", "stray_answer"]


@pytest.mark.parametrize("fault", SAFE + UNSAFE)
@pytest.mark.parametrize("route", [LOOKUP, BOOKING], ids=["look-up", "book"])
async def test_faulty_upstream_is_retried_only_if_safe(route, fault):
    first, second = standins(**{fault: True})
    async with first, second:
        bench = Bench(first.upstream, second.upstream)
        caller = RecordedCaller()
        result = await bench.run(caller, route=route)
        runs = first.record.runs["r1"] + second.record.runs["r1"]
        if route.idempotent or fault in SAFE:
            assert result.failure is None
            assert caller.answer["upstream"] == "u2"
        else:
            assert runs <= 1 and second.record.requests_count == 0
            assert caller.status is None
            assert result.failure.code.run_state is not RunState.NOT_RUN
        assert bench.placer.in_flight == 0
        assert bench.connections.open_count("u1") <= 1


async def test_refused_connection_is_retried_and_said_to_be_not_run():
    dead = Upstream("dead", "s", "127.0.0.1", await closed_port(), "z")
    async with UpstreamStandin("u2") as server:
        bench = Bench(dead, server.upstream)
        caller = RecordedCaller()
        assert (await bench.run(caller, route=BOOKING)).attempts == 2
        assert caller.answer["upstream"] == "u2"
        alone = await Bench(dead).run(RecordedCaller(), route=BOOKING)
        assert alone.failure.code.run_state is RunState.NOT_RUN
        assert bench.placer.outcomes == [("dead", "connect-failed"), ("u2", "ok")]


async def test_not_run_is_never_claimed_after_an_attempt_that_may_have_run():
    first, _ = standins(close_on_request=True)
    dead = Upstream("dead", "s", "127.0.0.1", await closed_port(), "z")
    async with first:
        result = await Bench(first.upstream, dead).run(RecordedCaller())
    assert result.attempts == 2
    assert result.failure.code.run_state is RunState.UNKNOWN


@pytest.mark.parametrize("fault", ["hang", "silent"])
async def test_late_answer_times_out_as_unknown_and_connection_is_closed(fault):
    first, second = standins(**{fault: True})
    async with first, second:
        bench = Bench(first.upstream, second.upstream)
        result = await bench.run(RecordedCaller(), route=BOOKING, timeout_s=0.1)
        assert result.failure.code.run_state is RunState.UNKNOWN
        assert bench.connections.open_count("u1") == 0
        caller = RecordedCaller()
        await bench.run(caller, timeout_s=0.5, request_id="r2")
        assert caller.answer["upstream"] == "u2"
        timeouts = [("u1", "timeout"), ("u1", "timeout"), ("u2", "ok")]
        assert bench.placer.outcomes == timeouts


async def test_hangup_cancels_upstream_and_frees_its_slot():
    server = UpstreamStandin(behaviour=UpstreamBehaviour(hang=True, slots=1))
    async with server:
        bench = Bench(server.upstream)
        caller = RecordedCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.run, caller, BOOKING)
            while not server.record.runs:
                await anyio.sleep(0.001)
            caller.hangup.set()
        while not server.record.cancelled_count:
            await anyio.sleep(0.001)
        assert bench.placer.outcomes == [("upstream-1", "cancelled")]
        server.behaviour.hang = False
        caller = RecordedCaller()
        await bench.run(caller, request_id="r2")
        assert caller.answer["request_id"] == "r2"


@pytest.mark.parametrize("chunked", [False, True])
async def test_large_answer_streams_whole_or_breaks_visibly(chunked):
    behaviour = UpstreamBehaviour(answer_bytes=300_000, chunked=chunked)
    async with (
        UpstreamStandin("u1", behaviour) as server,
        UpstreamStandin("u2") as other,
    ):
        bench = Bench(server.upstream, other.upstream)
        caller = RecordedCaller()
        result = await bench.run(caller)
        assert caller.ended and len(caller.body) == 300_000 and result.answer is None
        behaviour.truncate = True
        caller = RecordedCaller()
        with pytest.raises(BrokenAnswerError):
            await bench.run(caller, request_id="r2")
        assert caller.status == 200 and not caller.ended
        assert bench.placer.outcomes == [("u1", "ok"), ("u1", "broken")]


@pytest.mark.parametrize("framing", [(b"content-length", b"200000"), CHUNKED])
async def test_large_body_streams_and_is_not_replayed(framing):
    parts = [b"x" * 50_000] * 4
    first, second = standins()
    async with first, second:
        bench = Bench(first.upstream, second.upstream)
        caller = RecordedCaller(list(parts))
        await bench.run(caller, method="POST", headers=(framing,))
        digest = hashlib.sha256(b"".join(parts)).hexdigest()
        assert caller.answer["body_sha256"] == digest
        first.behaviour.close_on_request = True
        result = await bench.run(
            RecordedCaller(list(parts)), method="POST", headers=(framing,)
        )
        assert result.failure.code.run_state is RunState.UNKNOWN
        assert second.record.requests_count == 0


@pytest.mark.parametrize("framing", [(b"content-length", b"2000000"), CHUNKED])
async def test_too_large_body_is_refused_before_it_is_sent(framing):
    route = attrs.evolve(LOOKUP, body_limit_bytes=1000)
    async with UpstreamStandin() as server:
        caller = RecordedCaller([b"x" * 1001])
        result = await Bench(server.upstream).run(caller, route, headers=(framing,))
        assert result.failure.code.status == 413
        assert server.record.requests_count == 0


async def test_answers_never_cross_under_faults():
    server = UpstreamStandin(behaviour=UpstreamBehaviour(latency_s=0.002, slots=50))
    async with server:
        bench = Bench(server.upstream, options=ForwarderOptions(retry_ratio=1.0))
        route = attrs.evolve(LOOKUP, retries=0)

        async def ask(number: int) -> None:
            caller = RecordedCaller()
            timeout_s = 0.001 if number % 5 == 0 else 5.0
            request_id = f"r{number}"
            result = await bench.run(caller, route, "GET", request_id, timeout_s)
            if result.failure is None:
                assert caller.answer["request_id"] == request_id

        for fault in ("latency_s", "stray_answer", "close_idle", "overlong", "reset"):
            setattr(server.behaviour, fault, True if fault != "latency_s" else 0.002)
            for start in range(0, 60, 20):
                async with anyio.create_task_group() as tasks:
                    for number in range(start, start + 20):
                        tasks.start_soon(ask, number)
            if fault != "latency_s":
                setattr(server.behaviour, fault, False)
        assert bench.placer.in_flight == 0


async def test_retries_stay_within_budget():
    first, second = standins(error_ratio=1.0)
    async with first, second:
        bench = Bench(first.upstream, second.upstream)
        for number in range(100):
            await bench.run(RecordedCaller(), request_id=f"r{number}")
        assert first.record.requests_count == 100
        assert second.record.requests_count <= 3 + 100 * 0.1


async def test_error_answer_is_passed_on_when_no_retry_is_left():
    async with UpstreamStandin(behaviour=UpstreamBehaviour(error_ratio=1.0)) as server:
        caller = RecordedCaller()
        result = await Bench(server.upstream).run(caller)
        assert (result.failure, caller.status) == (None, 500)
