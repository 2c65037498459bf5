"""Log of events and decisions as JSON lines on standard output, bounded and non-blocking."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import logbook
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

# Beyond this size, lines that wait for the reader of standard output are dropped and counted.
MAX_PENDING_BYTES = 256 * 1024
# Decisions are written in batches of about this size to save system calls.
BATCH_BYTES = 8 * 1024


class PipeWriter:
    """Writes to a file descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, line: bytes) -> None:
        """Buffer one line; drop it if more than `MAX_PENDING_BYTES` would be pending."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += line
        if len(self._pending) >= BATCH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write as many pending bytes as the descriptor accepts without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The log itself is unavailable, so the error cannot be reported.
                self.dropped += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]


class JsonLineHandler(logbook.Handler):
    """Encodes log records as JSON lines.

    Parameters
    ----------
    writer : PipeWriter
        Receives the lines.
    node : str
        Id of the node; part of each line.
    """

    def __init__(self, writer: PipeWriter, node: str) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self._writer = writer
        self._node = node
        self._encoder = msgspec.json.Encoder()

    def emit(self, record: logbook.LogRecord) -> None:
        """Add one line."""
        line = {"time": round(time.time(), 4), "node": self._node, "event": record.msg}
        line.update(record.kwargs["fields"])
        self._writer.add(self._encoder.encode(line) + b"\n")


class JsonEventLog:
    """An `EventLog` based on logbook that limits the decisions logged per second.

    Parameters
    ----------
    writer : PipeWriter
        Receives the lines.
    node : str
        Id of the node; part of each line.
    clock : callable
        Returns seconds on a monotonic clock.
    decisions_per_second : int
        Decisions beyond this limit are counted; an event with their number is logged when the
        next second begins.
    """

    def __init__(
        self, writer: PipeWriter, node: str, clock: Callable[[], float], decisions_per_second: int
    ) -> None:
        self._writer = writer
        self._logger = logbook.Logger("hoisthook")
        self._logger.handlers.append(JsonLineHandler(writer, node))
        self._clock = clock
        self._second = 0
        self._written = 0
        self._over_rate = 0
        self.decisions_per_second = decisions_per_second

    def event(self, name: str, **fields: object) -> None:
        """Log a change of the state that the process observes or assumes; flush immediately."""
        self._logger.info(name, fields=fields)
        self._writer.flush()

    def decision(self, name: str, **fields: object) -> None:
        """Log a decision about a single request, unless the limit of this second is reached."""
        second = int(self._clock())
        if second != self._second:
            self._begin_second(second)
        if self._written >= self.decisions_per_second:
            self._over_rate += 1
            return
        self._written += 1
        self._logger.info(name, fields=fields)

    def flush(self) -> None:
        """Write as many pending bytes as the descriptor accepts without blocking."""
        self._writer.flush()

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._written = 0
        if self._over_rate or self._writer.dropped:
            over_rate, dropped = self._over_rate, self._writer.dropped
            self._over_rate = 0
            self._writer.dropped = 0
            self.event("lines_left_out", over_rate=over_rate, unread=dropped)
