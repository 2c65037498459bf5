"""Log of decisions and events as JSON lines, based on logbook."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING
from typing import TextIO

import logbook
import msgspec

if TYPE_CHECKING:
    from hoisthook.node.call import Call
    from hoisthook.node.dispatcher import Dispatched
    from hoisthook.result_code import ResultCode

FLUSH_BYTES = 64 * 1024


class JsonLinesHandler(logbook.Handler):
    """Collects records as JSON lines and writes them in few system calls.

    Parameters
    ----------
    stream : TextIO
        Written to by `flush`, and whenever more than `FLUSH_BYTES` are buffered.
    node : str
        Id of the node; part of each line.
    """

    def __init__(self, stream: TextIO, node: str) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self._stream = stream
        self._node = node
        self._encoder = msgspec.json.Encoder()
        self._buffer = bytearray()

    def emit(self, record: logbook.LogRecord) -> None:
        """Add one line."""
        line = {"time": time.time(), "node": self._node, "event": record.msg}
        line.update(record.kwargs["fields"] if record.kwargs else {})
        self._buffer += self._encoder.encode(line)
        self._buffer += b"\n"
        if len(self._buffer) > FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines."""
        if not self._buffer:
            return
        data = self._buffer.decode()
        self._buffer.clear()
        try:
            self._stream.write(data)
            self._stream.flush()
        except (BrokenPipeError, BlockingIOError):
            return


class JsonDecisionLog:
    """A `DecisionLog` based on logbook.

    Parameters
    ----------
    handler : JsonLinesHandler
        Receives the records.
    decisions : bool
        Whether decisions are logged; events always are.
    """

    def __init__(self, handler: JsonLinesHandler, *, decisions: bool) -> None:
        self._logger = logbook.Logger("hoisthook")
        self._logger.handlers.append(handler)
        self._handler = handler
        self._decisions = decisions

    def routed(self, call: Call, done: Dispatched, code: ResultCode, cost: float) -> None:
        """Log the outcome of a call."""
        if not self._decisions:
            return
        fields = {
            "request": call.request_id,
            "service": call.spec.name,
            "caller": call.caller,
            "placed_at": done.node,
            "reason": done.reason,
            "attempts": done.attempts,
            "code": code.number,
            "cost_us": int(cost * 1e6),
        }
        self._logger.info("routed", fields=fields)

    def refused(self, call: Call, backend_server: str, code: ResultCode) -> None:
        """Log that the local backend server did not admit a call."""
        if not self._decisions:
            return
        fields = {
            "request": call.request_id,
            "service": call.spec.name,
            "caller": call.caller,
            "backend_server": backend_server,
            "code": code.number,
            "reason": code.name,
        }
        self._logger.info("refused", fields=fields)

    def event(self, name: str, **fields: object) -> None:
        """Log any other event and flush immediately."""
        self._logger.info(name, fields=fields)
        self._handler.flush()

    def flush(self) -> None:
        """Write the buffered lines."""
        self._handler.flush()


def stderr_log(node: str, *, decisions: bool) -> JsonDecisionLog:
    """Return a log that writes to standard error."""
    return JsonDecisionLog(JsonLinesHandler(sys.stderr, node), decisions=decisions)
