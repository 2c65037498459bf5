"""Checks the documentation against the settings, result codes and links that it describes."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.console.commands.codes import table_lines
from hoisthook.result_code import ResultCode
from hoisthook.settings.mesh_settings import MeshSettings
from hoisthook.settings.node_settings import NodeSettings

DOCS = Path(__file__).parent.parent.parent / "docs"
ROW = re.compile(r"^\| `([a-z_.]+)` \|[^|]*\|[^|]*\|([^|]*)\|", re.MULTILINE)


def documented_defaults(page: str) -> dict[str, str]:
    """Return the documented default of each key."""
    return {key: default.strip().strip("`") for key, default in ROW.findall(page)}


def format_default(default: object) -> str:
    if default is msgspec.NODEFAULT:
        return "required"
    if isinstance(default, bool):
        return str(default).lower()
    if isinstance(default, float):
        return f"{default:g}"
    if default == ():
        return "[]"
    if default == "":
        return "empty"
    return str(getattr(default, "value", default))


def defaults_by_key(settings: type[msgspec.Struct]) -> dict[str, str]:
    defaults = {}
    for table in msgspec.structs.fields(settings):
        for field in msgspec.structs.fields(table.type):
            defaults[f"{table.name}.{field.name}"] = format_default(field.default)
    return defaults


def node_defaults() -> dict[str, str]:
    defaults = defaults_by_key(NodeSettings)
    for field in msgspec.structs.fields(ServiceSpec):
        defaults[field.name] = format_default(field.default)
    return defaults


def test_configuration_page_states_each_key_and_default() -> None:
    assert documented_defaults((DOCS / "CONFIGURATION.md").read_text()) == node_defaults()


def test_platform_settings_page_states_each_key_and_default() -> None:
    assert documented_defaults((DOCS / "PLATFORM_SETTINGS.md").read_text()) == defaults_by_key(
        MeshSettings
    )


def test_result_codes_page_contains_the_generated_table() -> None:
    assert "\n".join(table_lines()) in (DOCS / "RESULT_CODES.md").read_text()


def test_result_numbers_are_unique() -> None:
    assert len({code.number for code in ResultCode}) == len(ResultCode)


@pytest.mark.parametrize("page", sorted(DOCS.rglob("*.md")), ids=lambda path: path.name)
def test_links_between_pages_resolve(page: Path) -> None:
    for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
        assert (page.parent / target).exists(), target
