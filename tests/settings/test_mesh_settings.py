from __future__ import annotations

import re
from pathlib import Path

import pytest

from hoisthook.console.application import run
from hoisthook.exceptions import SettingsError
from hoisthook.result_code import ResultCode
from hoisthook.settings.settings_file import load_mesh_settings

ROOT = Path(__file__).parent.parent.parent
TEMPLATE = ROOT / "platform" / "settings.toml.template"
VALUES = {
    "nodeName": "node-1",
    "zone": "one",
    "service": "shop",
    "bootstrap|json": "true",
    "ip": "10.0.0.1",
    "portRange.0": "7000",
    "app": "10.0.0.1:8",
    "platform.address": "10.9.0.1:9",
    "bounds.graceS": "6",
    "bounds.configApplyS": "2.5",
    "bounds.budgetRatio": "0.2",
    "bounds.budgetWindowS": "10",
    "bounds.budgetExtra": "58",
    "bounds.probesPerS": "60",
    "limits.linkMbps": "100.0",
}
COLD_VALUES = {"bounds.coldOver": "1.5", "bounds.coldSlack": "8"}
SECTION = re.compile(r"{{#([^}]+)}}\n?(.*?){{/\1}}\n?", re.DOTALL)


def render_template(extra_values: dict[str, str] | None = None) -> str:
    """Return the settings template rendered as the platform does."""
    values = {**VALUES, **(extra_values or {})}

    def value(match: re.Match[str]) -> str:
        name = match.group(1)
        return "10.0.0.1:1" if name.startswith("listen.") else values[name]

    text = SECTION.sub(lambda m: m.group(2) if m.group(1) in values else "", TEMPLATE.read_text())
    return re.sub(r"{{([^}]+)}}", value, text)


def test_rendered_template_is_valid(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(render_template())
    settings = load_mesh_settings(path)
    assert settings.node.first_start
    assert settings.retry.extra == 58
    assert run(["check", "--platform", str(path)]) == 0
    assert settings.cold.rate_factor == 0.0


def test_template_with_a_cold_limit_is_valid(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(render_template(COLD_VALUES))
    settings = load_mesh_settings(path)
    assert (settings.cold.rate_factor, settings.cold.extra) == (1.5, 8.0)


def test_template_with_the_reuse_of_addresses_is_valid(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(render_template({"bounds.reuseAfterS": "2"}))
    assert load_mesh_settings(path).backend_server.reuse_after_seconds == 2.0
    path.write_text(render_template())
    assert load_mesh_settings(path).backend_server.reuse_after_seconds == 0.0


@pytest.mark.parametrize(
    ("old", "new", "code", "expected_text"),
    [
        ('id = "node-1"', 'id = ""', ResultCode.SETTINGS_VALUE, "node.id"),
        ('id = "node-1"', "", ResultCode.SETTINGS_INVALID, "id"),
        ('service = "shop"', 'service = "a b"', ResultCode.SETTINGS_VALUE, "node.service"),
        ("10.9.0.1:9", "nowhere", ResultCode.SETTINGS_VALUE, "store.address"),
        ("ratio = 0.2", "ratio = 2.0", ResultCode.SETTINGS_VALUE, "retry.ratio"),
        ("ratio = 0.2", "ratio = 'x'", ResultCode.SETTINGS_INVALID, "retry.ratio"),
        ("[store]", "[store]\ncolour = 1", ResultCode.SETTINGS_INVALID, "colour"),
        ("[store]", "[store", ResultCode.SETTINGS_SYNTAX, "line"),
    ],
)
def test_bad_settings_name_file_key_and_rule(
    tmp_path: Path, old: str, new: str, code: ResultCode, expected_text: str
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(render_template().replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_mesh_settings(path)
    assert caught.value.code is code
    assert str(path) in caught.value.detail
    assert expected_text in caught.value.detail


def test_pinned_requirements_match_the_lock_file() -> None:
    from tool.generate_pins import PINS
    from tool.generate_pins import pins

    assert PINS.read_text() == pins()
