"""Decoding of messages from other nodes, with undecodable ones logged and rejected."""

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

MAX_LOGGED_REASON_CHARACTERS = 200
BAD_REQUEST = 400


async def read_message(
    exchange: ServerExchange, decode: Callable[[bytes], Message], message_name: str, log: EventLog
) -> Message | None:
    """Return the message in a request of another node; None if it cannot be decoded.

    Parameters
    ----------
    exchange : ServerExchange
        Answered with status 400 if decoding fails, and aborted if the body does not arrive.
    decode : callable
        Decodes the body; raises `msgspec.DecodeError` if that fails.
    message_name : str
        Names the message in the log event.
    log : EventLog
        Receives an event for a message that cannot be read.
    """
    try:
        return decode(await exchange.body.read_all())
    except BrokenExchangeError as error:
        log_unreadable(log, message_name, str(error))
        exchange.abort()
    except msgspec.DecodeError as error:
        log_unreadable(log, message_name, str(error))
        exchange.respond(BAD_REQUEST, [])
    return None


def log_unreadable(log: EventLog, message_name: str, reason: str) -> None:
    """Log a message that is ignored because it cannot be decoded."""
    log.event(
        "peer_message_unreadable",
        code=ResultCode.PEER_MESSAGE_UNREADABLE.number,
        message=message_name,
        reason=reason[:MAX_LOGGED_REASON_CHARACTERS],
    )
