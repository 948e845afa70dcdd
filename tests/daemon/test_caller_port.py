"""Heads that are malformed, too large or too slow end at the caller port."""

from __future__ import annotations

import datetime
import ipaddress
import ssl

import anyio
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from gentianfold.daemon.caller_protocol import head_limited_protocol
from gentianfold.daemon.http_server import HttpServer
from gentianfold.daemon.tls import caller_tls
from gentianfold.settings import CallerTls

UVLOOP = {"use_uvloop": True}
GET = b"GET / HTTP/1.1\r\nhost: x\r\n"
CASES = {
    "whole": (GET + b"\r\n", b"200"),
    "two at once": (GET + b"\r\n" + GET + b"\r\n", b"200"),
    "large header in one read": (GET + b"a: " + b"v" * 3000 + b"\r\n\r\n", b"431"),
    "large target": (b"GET /" + b"p" * 3000 + b" HTTP/1.1\r\nhost: x\r\n\r\n", b"431"),
    "endless header": (GET + b"a: " + b"v" * 200_000, b"431"),
    "never finished": (GET, b"408"),
    "both lengths": (
        (
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        ),
        b"400",
    ),
    "no HTTP": (b"\x16\x03\x01 nonsense\r\n\r\n", b"400"),
}


async def answer_ok(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"ok"})


async def exchange(data, tls=None, client_tls=None):
    """Send bytes to a caller port and return the start of the answer."""
    protocol = head_limited_protocol(2048, 0.3)
    server = HttpServer(answer_ok, "127.0.0.1", 0, protocol, tls)
    server.bind()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        with anyio.fail_after(10.0):
            await anyio.sleep(0.05)
            stream = await anyio.connect_tcp(
                "127.0.0.1",
                server.port,
                ssl_context=client_tls,
                tls=bool(client_tls),
                tls_standard_compatible=False,
            )
            async with stream:
                await stream.send(data)
                received = await stream.receive()
        server.stop()
    return received


@pytest.mark.parametrize("name", CASES)
def test_heads_are_bounded(name):
    data, status = CASES[name]
    received = anyio.run(exchange, data, backend_options=UVLOOP)
    assert received.startswith(b"HTTP/1.1 " + status), received[:80]


def test_callers_may_be_served_over_tls(tmp_path):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "vm")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName(
                [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
            ),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (tmp_path / "c.pem").write_bytes(certificate.public_bytes(pem))
    (tmp_path / "k.pem").write_bytes(
        key.private_bytes(
            pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    settings = CallerTls(
        certificate_file=str(tmp_path / "c.pem"), key_file=str(tmp_path / "k.pem")
    )
    trusting = ssl.create_default_context(cafile=str(tmp_path / "c.pem"))
    received = anyio.run(
        exchange, GET + b"\r\n", caller_tls(settings), trusting, backend_options=UVLOOP
    )
    assert received.startswith(b"HTTP/1.1 200")
