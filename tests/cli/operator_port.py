"""A small operator port that answers with what a test sets."""

from __future__ import annotations

import contextlib
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


@contextlib.contextmanager
def operator_port(answers):
    """Serve ``answers``: a value or a function of the target, by method and path.

    Yields the address and the list of requests seen.
    """
    seen = []

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self):
            seen.append(f"{self.command} {self.path}")
            key = f"{self.command} {self.path.partition('?')[0]}"
            value = answers.get(key)
            value = value(self.path) if callable(value) else value
            body = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.send_response(404 if value is None else 200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_GET = do_POST = answer

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}", seen
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
