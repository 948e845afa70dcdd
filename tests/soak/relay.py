"""Loopback TCP relay that injects delays, resets and one-way or total data loss."""

from __future__ import annotations

import asyncio


class Relay:
    """Forwards bytes between clients and a target, and injects faults.

    ``delay_s`` delays each chunk. ``drops`` contains the senders, ``caller`` or
    ``target``, whose bytes are discarded on existing and new connections.
    """

    def __init__(self, host, port):
        self.target = host, port
        self.port = 0
        self.delay_s = 0.0
        self.drops = frozenset()
        self._server = None
        # Writers of open connections; the value is false if their bytes are discarded.
        self._is_forwarding = {}
        self._tasks = set()

    async def open(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        self.reset_all()
        for task in self._tasks:
            task.cancel()

    def clear_faults(self):
        """Remove delay and drops; effects of ``blackhole_all`` persist."""
        self.delay_s, self.drops = 0.0, frozenset()

    def reset_all(self):
        """Reset all open connections."""
        for writer in list(self._is_forwarding):
            writer.transport.abort()

    def blackhole_all(self):
        """Discard all further bytes on the open connections."""
        for writer in self._is_forwarding:
            self._is_forwarding[writer] = False

    async def _accept(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        for pump in (
            self._pump("caller", reader, target_writer),
            self._pump("target", target_reader, writer),
        ):
            task = asyncio.ensure_future(pump)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, sender, reader, writer):
        self._is_forwarding[writer] = True
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._is_forwarding[writer] and sender not in self.drops:
                    writer.write(data)
            if self._is_forwarding[writer] and sender not in self.drops:
                writer.close()
        except OSError:
            writer.transport.abort()
        finally:
            self._is_forwarding.pop(writer, None)
