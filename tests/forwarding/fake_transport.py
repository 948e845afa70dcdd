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
        self.is_stuck = False
        self.is_half_closed = False

    def write(self, data):
        self.written.append(data)

    def get_write_buffer_size(self):
        return sum(map(len, self.written)) if self.is_stuck else 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def can_write_eof(self):
        return True

    def write_eof(self):
        self.is_half_closed = True

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
