"""A loopback relay that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import asyncio


class Relay:
    """Passes bytes between its callers and a target until told otherwise.

    ``delay_s`` holds back each piece; ``drops`` names the ends whose bytes are lost,
    ``caller`` or ``target``, on old and new connections alike.
    """

    def __init__(self, host, port):
        self.target = host, port
        self.port = 0
        self.delay_s = 0.0
        self.drops = frozenset()
        self._server = None
        self._open = {}
        self._tasks = set()

    async def open(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        self.reset_all()
        for task in self._tasks:
            task.cancel()

    def heal(self):
        """Pass everything again; connections that went silent stay so."""
        self.delay_s, self.drops = 0.0, frozenset()

    def reset_all(self):
        """Reset the connections that are open."""
        for writer in list(self._open):
            writer.transport.abort()

    def silence_all(self):
        """Lose all further bytes of the connections that are open."""
        for writer in self._open:
            self._open[writer] = False

    async def _accept(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        for pump in (
            self._pump("caller", reader, to_writer),
            self._pump("target", to_reader, writer),
        ):
            task = asyncio.ensure_future(pump)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, end, reader, writer):
        self._open[writer] = True
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._open[writer] and end not in self.drops:
                    writer.write(data)
            if self._open[writer] and end not in self.drops:
                writer.close()
        except OSError:
            writer.transport.abort()
        finally:
            self._open.pop(writer, None)
