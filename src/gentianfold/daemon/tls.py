"""TLS contexts from the settings of a VM."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianfold.settings import CallerTls, UpstreamTls


def caller_tls(settings: CallerTls) -> ssl.SSLContext:
    """Return the context towards callers.

    Raises:
        OSError: A file can't be read, or holds no certificate or key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    context.set_alpn_protocols(["http/1.1"])
    return context


def upstream_tls(settings: UpstreamTls) -> ssl.SSLContext:
    """Return the context towards upstreams, which are verified by IP number.

    Raises:
        OSError: The file can't be read, or holds no certificate.
    """
    context = ssl.create_default_context(cafile=settings.ca_file)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    return context
