"""Non-blocking log output with a bounded buffer."""

from __future__ import annotations

import os
from collections import deque

import attrs

MAX_BUFFER_BYTES = 512 << 10
"""Buffer size (bytes): holds the log lines of a few seconds under load."""
ROUTINE_FRACTION = 0.5
"""Fraction of the buffer (0 to 1) open to routine lines; the rest is reserved for
failures and rejections."""


@attrs.define(eq=False, repr=False)
class LogWriter:
    """Buffers log lines for a non-blocking file descriptor.

    Lines that exceed the buffer are dropped and counted.
    """

    file_descriptor: int = 1
    """Descriptor to write to; standard output by default."""
    dropped_count: int = 0
    """Lines dropped since the last line that reported dropped lines."""
    buffered_bytes: int = 0
    """Size of the buffered lines (bytes)."""
    _lines: deque[bytes] = attrs.field(factory=deque)

    def set_nonblocking(self) -> None:
        """Set the descriptor to non-blocking mode."""
        os.set_blocking(self.file_descriptor, False)

    def write(self, text: str, is_routine: bool) -> None:
        """Buffer a line until the next flush; drop the line if the buffer is full.

        Args:
            text: The line, including the line terminator.
            is_routine: Whether the line is limited to ``ROUTINE_FRACTION`` of the
                buffer.
        """
        line = text.encode(errors="replace")
        limit = MAX_BUFFER_BYTES * (ROUTINE_FRACTION if is_routine else 1.0)
        if self.buffered_bytes + len(line) > limit:
            self.dropped_count += 1
            return
        self._lines.append(line)
        self.buffered_bytes += len(line)

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block.

        A partly written line stays in the buffer. If the reader has closed the
        descriptor, the buffer is discarded.
        """
        if self.dropped_count and self.buffered_bytes < MAX_BUFFER_BYTES // 4:
            note = f"log: {self.dropped_count} lines were left out\n".encode()
            self.dropped_count = 0
            self._lines.append(note)
            self.buffered_bytes += len(note)
        while self._lines:
            chunk = b"".join(self._lines)
            try:
                written = os.write(self.file_descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; there is no other place to report to.
                self._lines.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes = len(chunk) - written
            self._lines.clear()
            if written < len(chunk):
                self._lines.append(chunk[written:])
                return
