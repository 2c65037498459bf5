"""Exceptions that cross module borders."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.result_code import ResultCode


class HoisthookError(Exception):
    """Base of all errors of the package.

    Parameters
    ----------
    code : ResultCode
        The numbered result code.
    detail : str
        What exactly was wrong, on one line.
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(f"{code.number} {code.name}: {detail}")
        self.code = code
        self.detail = detail


class SettingsError(HoisthookError):
    """The settings file cannot be used."""


class LogUnavailableError(HoisthookError):
    """The platform's log certainly did not take the record, or cannot be read."""


class AppendUnknownError(HoisthookError):
    """The platform's log may or may not have taken the record."""


class StoreUnavailableError(HoisthookError):
    """The platform's store gave no usable answer."""


class BrokenExchangeError(Exception):
    """An HTTP exchange ended before its message was whole."""


class UnreachableError(Exception):
    """No connection could be opened, so nothing was sent."""
