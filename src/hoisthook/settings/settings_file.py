"""Reads and checks a settings file."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

import msgspec

from hoisthook.exceptions import SettingsError
from hoisthook.identity import is_name
from hoisthook.identity import parse_address
from hoisthook.result_code import ResultCode
from hoisthook.settings.node_settings import NodeSettings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

MAX_DRAIN_SECONDS = 3600.0


def load_settings(path: Path) -> NodeSettings:
    """Return the checked settings.

    Raises
    ------
    SettingsError
        With one line that names the file, the key and the rule.
    """
    try:
        text = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    try:
        return check_settings(parse_settings(text))
    except SettingsError as error:
        raise SettingsError(error.code, f"{path}: {error.detail}") from error


def parse_settings(text: str) -> NodeSettings:
    """Return the settings in ``text``, their types checked.

    Raises
    ------
    SettingsError
        If the text is not TOML or does not fit the model.
    """
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise SettingsError(ResultCode.SETTINGS_SYNTAX, _one_line(error)) from error
    try:
        return msgspec.convert(table, NodeSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(ResultCode.SETTINGS_INVALID, _one_line(error)) from error


def check_settings(settings: NodeSettings) -> NodeSettings:
    """Return the settings if every value keeps its rule.

    Raises
    ------
    SettingsError
        For the first that does not.
    """
    for problem in _problems(settings):
        raise SettingsError(ResultCode.SETTINGS_VALUE, problem)
    return settings


def _problems(settings: NodeSettings) -> Iterator[str]:
    for key, name in _names(settings):
        if not is_name(name):
            yield f"{key}: {name!r} is not 1 to 63 of a-z 0-9 -"
    for key, address in _addresses(settings):
        try:
            parse_address(address)
        except ValueError as error:
            yield f"{key}: {error}"
    yield from _number_problems(settings)


def _names(settings: NodeSettings) -> Iterator[tuple[str, str]]:
    yield "node.id", settings.node.id
    yield "node.data_centre", settings.node.data_centre


def _addresses(settings: NodeSettings) -> Iterator[tuple[str, str]]:
    yield "listen.callers", settings.listen.callers
    yield "listen.peers", settings.listen.peers
    yield "listen.announcements", settings.listen.announcements
    yield "listen.operators", settings.listen.operators
    yield "log.address", settings.log.address
    for number, seed in enumerate(settings.peers.seeds):
        yield f"peers.seeds[{number}]", seed
    if settings.metrics.statsd:
        yield "metrics.statsd", settings.metrics.statsd


def _number_problems(settings: NodeSettings) -> Iterator[str]:
    if not settings.log.retention_seconds >= 1.0:
        yield "log.retention_seconds: less than 1"
    if not 1 <= settings.log.readers_per_data_centre <= 100:
        yield "log.readers_per_data_centre: not within 1 to 100"
    if not 0.05 <= settings.peers.interval_seconds <= 5.0:
        yield "peers.interval_seconds: not within 0.05 to 5"
    if not 0.1 <= settings.metrics.interval_seconds <= 300.0:
        yield "metrics.interval_seconds: not within 0.1 to 300"
    if not 0.0 <= settings.shutdown.drain_seconds <= MAX_DRAIN_SECONDS:
        yield f"shutdown.drain_seconds: not within 0 to {MAX_DRAIN_SECONDS:.0f}"


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
