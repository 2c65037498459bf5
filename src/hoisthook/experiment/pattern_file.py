"""Reads and validates a load pattern file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.exceptions import SettingsError
from hoisthook.experiment.load_pattern import LoadPattern
from hoisthook.result_code import ResultCode
from hoisthook.settings.settings_file import load_model

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

MAX_SECONDS = 3600.0


def load_pattern(path: Path) -> LoadPattern:
    """Return the validated load pattern of a TOML file.

    Raises
    ------
    SettingsError
        If the file is unreadable or invalid; the one-line detail names the file, key and rule.
    """
    pattern = load_model(path, LoadPattern)
    for problem in _problems(pattern):
        raise SettingsError(ResultCode.SETTINGS_VALUE, f"{path}: {problem}")
    return pattern


def _problems(pattern: LoadPattern) -> Iterator[str]:
    if not 0 < pattern.seconds <= MAX_SECONDS:
        yield f"seconds: {pattern.seconds} must be above 0 and at most {MAX_SECONDS:g}"
    services = {service.name for service in pattern.services}
    routes = {route.name for route in pattern.routes}
    for service in pattern.services:
        if service.servers < 1 or service.traits.slots < 1:
            yield f"services.{service.name}: servers and slots must be at least 1"
    for route in pattern.routes:
        if route.service not in services:
            yield f"routes.{route.name}.service: there is no service {route.service}"
        if route.calls and route.calls not in routes:
            yield f"routes.{route.name}.calls: there is no route {route.calls}"
        if min(route.work, route.target, route.timeout) <= 0 or route.per_second < 0:
            yield (
                f"routes.{route.name}: work, target and timeout must be above 0, "
                "per_second at least 0"
            )
    for disruption in pattern.troubles:
        if disruption.service and disruption.service not in services:
            yield f"troubles.service: there is no service {disruption.service}"
