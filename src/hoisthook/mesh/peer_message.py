"""Messages of other nodes that may not be readable."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from hoisthook.exceptions import BrokenExchangeError
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.port.event_log import EventLog

Message = TypeVar("Message")

MAX_LOGGED_REASON = 200
BAD_REQUEST = 400


async def read_message(
    exchange: ServerExchange, decode: Callable[[bytes], Message], what: str, log: EventLog
) -> Message | None:
    """Return what another node sent; None if it cannot be read, which it is told.

    Parameters
    ----------
    exchange : ServerExchange
        Answered or dropped if the message cannot be read.
    decode : callable
        Reads it; raises `msgspec.DecodeError` if it cannot.
    what : str
        Names the message in the log line.
    log : EventLog
        Gets a line for a message that cannot be read.
    """
    try:
        return decode(await exchange.body.read_all())
    except BrokenExchangeError as error:
        log_unreadable(log, what, str(error))
        exchange.abort()
    except msgspec.DecodeError as error:
        log_unreadable(log, what, str(error))
        exchange.respond(BAD_REQUEST, [])
    return None


def log_unreadable(log: EventLog, what: str, reason: str) -> None:
    """Write a line for a message that is passed over."""
    log.event(
        "peer_message_unreadable",
        code=ResultCode.PEER_MESSAGE_UNREADABLE.number,
        message=what,
        reason=reason[:MAX_LOGGED_REASON],
    )
