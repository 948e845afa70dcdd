"""The forwarder behind the server that callers meet, and TLS towards upstreams."""

from __future__ import annotations

import datetime
import ipaddress
import ssl

import anyio
import pytest
import uvicorn
from conftest import LOOKUP, Bench, RecordedCaller
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from gentianfold.requests.asgi_caller import AsgiCaller
from gentianfold.requests.connections import Connections
from gentianfold.requests.forwarder import Forwarder
from gentianfold.requests.proxy_request import BrokenAnswerError, ProxyRequest
from gentianfold.standins.upstream import UpstreamStandin
from gentianfold.standins.upstream_behaviour import UpstreamBehaviour

pytestmark = pytest.mark.anyio


def contexts(directory) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "upstream")])
    now = datetime.datetime.now(datetime.UTC)
    hosts = x509.SubjectAlternativeName(
        [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
    )
    builder = x509.CertificateBuilder(name, name, key.public_key(), 1)
    builder = builder.not_valid_before(now - datetime.timedelta(days=1))
    builder = builder.not_valid_after(now + datetime.timedelta(days=1))
    certificate = builder.add_extension(hosts, False).sign(key, hashes.SHA256())
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path = directory / "upstream.pem"
    path.write_bytes(pem + private)
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.load_cert_chain(path)
    return server, ssl.create_default_context(cadata=pem.decode())


@pytest.mark.parametrize("trusted", [True, False])
async def test_tls_towards_upstreams(tmp_path, trusted):
    server_context, client_context = contexts(tmp_path)
    if not trusted:
        client_context = ssl.create_default_context()
    server = await UpstreamStandin().start(server_context)
    try:
        bench = Bench(server.upstream)
        bench.forwarder._connections = Connections(
            bench.clock, ssl_context=client_context
        )
        caller = RecordedCaller()
        result = await bench.run(caller)
        if trusted:
            assert caller.answer["request_id"] == "r1"
        else:
            assert result.failure.code.name == "upstream-connect-failed"
            assert not server.record.runs
    finally:
        await server.stop()


@pytest.mark.parametrize("fault", ["", "truncate", "reset"])
@pytest.mark.parametrize("chunked", [False, True])
async def test_caller_of_uvicorn_sees_whole_answers_or_a_broken_connection(
    fault, chunked
):
    behaviour = UpstreamBehaviour(answer_bytes=200_000, chunked=chunked)
    if fault:
        setattr(behaviour, fault, True)
    async with UpstreamStandin(behaviour=behaviour) as upstream:
        bench = Bench(upstream.upstream)

        async def app(scope, receive, send):
            request = ProxyRequest(
                b"r1", "GET", b"/", scope["headers"], LOOKUP, bench.clock.now_s() + 5
            )
            forwarder: Forwarder = bench.forwarder
            with pytest.raises(BrokenAnswerError) if fault else anyio.CancelScope():
                await forwarder.run(request, AsgiCaller(receive, send))

        config = uvicorn.Config(
            app, "127.0.0.1", 0, ws="none", lifespan="off", log_level="critical"
        )
        server = uvicorn.Server(config)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server._serve)
            while not server.started:
                await anyio.sleep(0.005)
            port = server.servers[0].sockets[0].getsockname()[1]
            answer = b""
            with anyio.fail_after(5):
                stream = await anyio.connect_tcp("127.0.0.1", port)
                await stream.send(
                    b"GET / HTTP/1.1\r\nhost: g\r\nconnection: close\r\n\r\n"
                )
                try:
                    while True:
                        answer += await stream.receive()
                except anyio.EndOfStream:
                    pass
            server.should_exit = True
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        whole = body.endswith(b"0\r\n\r\n") if chunked else len(body) == 200_000
        assert whole is not bool(fault)
