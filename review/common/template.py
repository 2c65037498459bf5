"""Fills the settings template of the deploy file as the users' page tells it."""

from __future__ import annotations

import json
import re
from typing import Any

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def fill(template: str, fields: dict[str, Any]) -> str:
    """Return the template with its sections and placeholders filled."""

    def section(match: re.Match[str]) -> str:
        value = _find(fields, match[2])
        is_there = value is not None and value is not False
        return match[3] if is_there == (match[1] == "#") else ""

    def placeholder(match: re.Match[str]) -> str:
        value = _find(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return _VALUE.sub(placeholder, _SECTION.sub(section, template))


def _find(fields: dict[str, Any], path: str) -> Any:
    value: Any = fields
    for name in path.split("."):
        if not isinstance(value, dict) or name not in value:
            return None
        value = value[name]
    return value
