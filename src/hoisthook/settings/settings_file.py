"""Reads and validates a settings file."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from hoisthook.exceptions import SettingsError
from hoisthook.identity import is_name
from hoisthook.identity import parse_address
from hoisthook.result_code import ResultCode
from hoisthook.settings.mesh_settings import MeshSettings
from hoisthook.settings.node_settings import NodeSettings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path

MAX_DRAIN_SECONDS = 3600.0
MIN_MEMORY_MB = 16.0
MAX_REUSE_SECONDS = 3600.0

Settings = TypeVar("Settings")


def load_settings(path: Path) -> NodeSettings:
    """Return the validated settings of a node.

    Raises
    ------
    SettingsError
        If the file is unreadable or invalid; the one-line detail names the file, key and rule.
    """
    return _load(path, lambda text: check_settings(parse_settings(text)))


def load_mesh_settings(path: Path) -> MeshSettings:
    """Return the validated settings of a node on the platform.

    Raises
    ------
    SettingsError
        If the file is unreadable or invalid; the one-line detail names the file, key and rule.
    """
    return _load(path, lambda text: check_mesh_settings(_parse(text, MeshSettings)))


def load_model(path: Path, model: type[Settings]) -> Settings:
    """Return a TOML file converted to a model; only the types are validated.

    Raises
    ------
    SettingsError
        If the file is unreadable or invalid; the one-line detail names the file, key and rule.
    """
    return _load(path, lambda text: _parse(text, model))


def parse_settings(text: str) -> NodeSettings:
    """Return the settings in ``text``; only the types are validated.

    Raises
    ------
    SettingsError
        If the text is not valid TOML or does not match the model.
    """
    return _parse(text, NodeSettings)


def _load(path: Path, read: Callable[[str], Settings]) -> Settings:
    try:
        text = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    try:
        return read(text)
    except SettingsError as error:
        raise SettingsError(error.code, f"{path}: {error.detail}") from error


def _parse(text: str, model: type[Settings]) -> Settings:
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise SettingsError(ResultCode.SETTINGS_SYNTAX, _one_line(error)) from error
    try:
        return msgspec.convert(table, model)
    except msgspec.ValidationError as error:
        raise SettingsError(ResultCode.SETTINGS_INVALID, _one_line(error)) from error


def check_mesh_settings(settings: MeshSettings) -> MeshSettings:
    """Return the settings if every value is valid.

    Raises
    ------
    SettingsError
        For the first invalid value.
    """
    for problem in _mesh_problems(settings):
        raise SettingsError(ResultCode.SETTINGS_VALUE, problem)
    return settings


def check_settings(settings: NodeSettings) -> NodeSettings:
    """Return the settings if every value is valid.

    Raises
    ------
    SettingsError
        For the first invalid value.
    """
    for problem in _problems(settings):
        raise SettingsError(ResultCode.SETTINGS_VALUE, problem)
    return settings


def _problems(settings: NodeSettings) -> Iterator[str]:
    for key, name in _names(settings):
        if not is_name(name):
            yield f"{key}: {name!r} is not 1 to 63 characters of a-z, 0-9 and -"
    for key, address in _addresses(settings):
        yield from _address_problems(key, address)
    yield from _number_problems(settings)


def _mesh_problems(settings: MeshSettings) -> Iterator[str]:
    for key in ("id", "data_centre", "service"):
        if not getattr(settings.node, key) or " " in getattr(settings.node, key):
            yield f"node.{key}: must not be empty or contain spaces"
    listen = settings.listen
    for key, address in (
        ("listen.callers", listen.callers),
        ("listen.peers", listen.peers),
        ("listen.readiness", listen.readiness),
        ("listen.announcements", listen.announcements),
        ("listen.metrics", listen.metrics or "127.0.0.1:0"),
        ("backend_server.address", settings.backend_server.address),
        ("store.address", settings.store.address),
    ):
        yield from _address_problems(key, address)
    for key, value, low, high in (
        ("backend_server.usable_share", settings.backend_server.usable_share, 0.01, 1.0),
        (
            "backend_server.reuse_after_seconds",
            settings.backend_server.reuse_after_seconds,
            0.0,
            MAX_REUSE_SECONDS,
        ),
        ("shutdown.grace_seconds", settings.shutdown.grace_seconds, 0.0, MAX_DRAIN_SECONDS),
        ("retry.ratio", settings.retry.ratio, 0.0, 1.0),
        ("retry.window_seconds", settings.retry.window_seconds, 0.1, 600.0),
        ("retry.extra", settings.retry.extra, 0.0, 1e6),
        ("measure.per_second", settings.measure.per_second, 0.0, 1000.0),
        ("store.readers_per_data_centre", settings.store.readers_per_data_centre, 1, 1000),
        ("store.apply_seconds", settings.store.apply_seconds, 0.5, 600),
        ("node.memory_mb", settings.node.memory_mb, MIN_MEMORY_MB, 1e6),
        ("node.max_descriptors", settings.node.max_descriptors, 0, 10_000_000),
        ("node.link_mbps", settings.node.link_mbps, 0.0, 1e6),
        ("cold.rate_factor", settings.cold.rate_factor, 0.0, 1000.0),
        ("cold.extra", settings.cold.extra, 0.0, 1e6),
        ("routing.data_centre_cost", settings.routing.data_centre_cost, 0.0, 100.0),
        ("keys.revocation_seconds", settings.keys.revocation_seconds, 0.0, 600.0),
        ("teams.quota_window_seconds", settings.teams.quota_window_seconds, 0.1, 600.0),
        ("teams.quota_over_share", settings.teams.quota_over_share, 0.0, 10.0),
        ("teams.quota_extra", settings.teams.quota_extra, 0.0, 1e6),
        ("logging.lines_per_second", settings.logging.lines_per_second, 0, 1_000_000),
    ):
        if not low <= value <= high:
            yield f"{key}: must be within {low:g} to {high:g}"


def _address_problems(key: str, address: str) -> Iterator[str]:
    try:
        parse_address(address)
    except ValueError as error:
        yield f"{key}: {error}"


def _names(settings: NodeSettings) -> Iterator[tuple[str, str]]:
    yield "node.id", settings.node.id
    yield "node.data_centre", settings.node.data_centre


def _addresses(settings: NodeSettings) -> Iterator[tuple[str, str]]:
    yield "listen.callers", settings.listen.callers
    yield "listen.peers", settings.listen.peers
    yield "listen.announcements", settings.listen.announcements
    yield "listen.operators", settings.listen.operators
    yield "log.address", settings.log.address
    for index, seed in enumerate(settings.peers.seeds):
        yield f"peers.seeds[{index}]", seed
    if settings.metrics.statsd:
        yield "metrics.statsd", settings.metrics.statsd


def _number_problems(settings: NodeSettings) -> Iterator[str]:
    if not settings.log.retention_seconds >= 1.0:
        yield "log.retention_seconds: must be at least 1"
    if not 1 <= settings.log.readers_per_data_centre <= 100:
        yield "log.readers_per_data_centre: must be within 1 to 100"
    if not 0.05 <= settings.peers.interval_seconds <= 5.0:
        yield "peers.interval_seconds: must be within 0.05 to 5"
    if not 0.1 <= settings.metrics.interval_seconds <= 300.0:
        yield "metrics.interval_seconds: must be within 0.1 to 300"
    if not 0.0 <= settings.shutdown.drain_seconds <= MAX_DRAIN_SECONDS:
        yield f"shutdown.drain_seconds: must be within 0 to {MAX_DRAIN_SECONDS:.0f}"


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
