"""Events and decisions as JSON lines on standard output, bounded and never blocking."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import logbook
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines that wait for a reader of standard output beyond this are dropped and counted.
MAX_PENDING_BYTES = 256 * 1024
# Decisions are written in batches of about this size to save system calls.
BATCH_BYTES = 8 * 1024


class PipeWriter:
    """Writes to a file descriptor without ever waiting for its reader.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking here.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, line: bytes) -> None:
        """Take one line; drop it if too much is waiting."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += line
        if len(self._pending) >= BATCH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can be told: the log itself is gone.
                self.dropped += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]


class JsonLineHandler(logbook.Handler):
    """Turns records into JSON lines.

    Parameters
    ----------
    writer : PipeWriter
        Gets the lines.
    node : str
        Named in each line.
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
    """An `EventLog` on logbook with a bound on the decisions of each second.

    Parameters
    ----------
    writer : PipeWriter
        Gets the lines.
    node : str
        Named in each line.
    clock : callable
        Returns seconds on a monotonic clock.
    decisions_per_second : int
        Decisions beyond are counted, and told by an event in the next second.
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
        self._left_out = 0
        self.decisions_per_second = decisions_per_second

    def event(self, name: str, **fields: object) -> None:
        """Note something that changes what the process believes, and write it at once."""
        self._logger.info(name, fields=fields)
        self._writer.flush()

    def decision(self, name: str, **fields: object) -> None:
        """Note a decision that touches one request."""
        second = int(self._clock())
        if second != self._second:
            self._begin(second)
        if self._written >= self.decisions_per_second:
            self._left_out += 1
            return
        self._written += 1
        self._logger.info(name, fields=fields)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._writer.flush()

    def _begin(self, second: int) -> None:
        self._second = second
        self._written = 0
        if self._left_out or self._writer.dropped:
            left_out, dropped = self._left_out, self._writer.dropped
            self._left_out = 0
            self._writer.dropped = 0
            self.event("lines_left_out", over_rate=left_out, unread=dropped)
