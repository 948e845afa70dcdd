"""A transport that records what is written and whether it was closed."""

from __future__ import annotations

import asyncio


class FakeTransport(asyncio.Transport):
    """Transport without a socket."""

    def __init__(self):
        super().__init__()
        self.written = []
        self.is_aborted = False
        self.is_paused = False

    def write(self, data):
        self.written.append(data)

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True

    def close(self):
        self.is_aborted = True

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False
