"""Exceptions that are raised in one module and handled in another."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.result_code import ResultCode


class HoisthookError(Exception):
    """Base of all errors of the package.

    Parameters
    ----------
    code : ResultCode
        Numbered result code.
    detail : str
        Description of the failure, on one line.
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(f"{code.number} {code.name}: {detail}")
        self.code = code
        self.detail = detail


class SettingsError(HoisthookError):
    """The settings file cannot be used."""


class LogUnavailableError(HoisthookError):
    """The platform's log definitely did not accept the record, or cannot be read."""


class AppendUnknownError(HoisthookError):
    """The platform's log may or may not have accepted the record."""


class RequestError(HoisthookError):
    """The bytes of a connection are no request, or exceed a bound."""


class StoreUnavailableError(HoisthookError):
    """The platform's store did not answer, or its answer is unusable."""


class BrokenExchangeError(Exception):
    """An HTTP exchange failed before its message was complete."""


class MemoryFullError(BrokenExchangeError):
    """A request was given up before its end, as the node has no memory for it."""


class BodyTooLargeError(Exception):
    """The body of a request exceeds its limit."""


class SpoiledAnswerError(BrokenExchangeError):
    """What was received is no answer."""


class MalformedAnswerError(SpoiledAnswerError):
    """The head of an answer is not valid."""


class UnaskedUpgradeError(SpoiledAnswerError):
    """The other side switches protocols although it was not asked to."""


class AnswerTooLargeError(BrokenExchangeError):
    """An answer exceeds a bound.

    Parameters
    ----------
    what : str
        What is counted.
    bound : int
        How many are allowed.
    """

    def __init__(self, what: str, bound: int) -> None:
        super().__init__(what, bound)

    def __str__(self) -> str:
        what, bound = self.args
        return f"answer exceeds the bound of {bound} {what}"


class UnreachableError(Exception):
    """No connection could be opened, so nothing was sent."""
