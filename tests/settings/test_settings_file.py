from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.exceptions import SettingsError
from hoisthook.result_code import ResultCode
from hoisthook.settings.settings_file import check_settings
from hoisthook.settings.settings_file import load_settings
from hoisthook.settings.settings_file import parse_settings

if TYPE_CHECKING:
    from pathlib import Path

VALID_SETTINGS = """
[node]
id = "n-1"
data_centre = "kaolack"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
announcements = "127.0.0.1:3"
operators = "127.0.0.1:4"
[log]
address = "127.0.0.1:5"
"""


def test_valid_settings_are_accepted() -> None:
    assert check_settings(parse_settings(VALID_SETTINGS)).node.id == "n-1"


@pytest.mark.parametrize(
    ("old", "new", "code", "expected_text"),
    [
        ('id = "n-1"', 'id = "N 1"', ResultCode.SETTINGS_VALUE, "node.id"),
        ('id = "n-1"', "", ResultCode.SETTINGS_INVALID, "id"),
        ('id = "n-1"', "id = 1", ResultCode.SETTINGS_INVALID, "node.id"),
        ('id = "n-1"', 'id = "n"\ncolour = "red"', ResultCode.SETTINGS_INVALID, "colour"),
        ("127.0.0.1:1", "127.0.0.1:99999", ResultCode.SETTINGS_VALUE, "listen.callers"),
        ("127.0.0.1:5", "nowhere", ResultCode.SETTINGS_VALUE, "log.address"),
        ("[log]", "[log]\nreaders_per_data_centre = 0", ResultCode.SETTINGS_VALUE, "log.readers"),
        ("[log]", "[peers]\nseeds = ['x']\n[log]", ResultCode.SETTINGS_VALUE, "peers.seeds[0]"),
        ("[log]", "[routing]\npolicy = 'luck'\n[log]", ResultCode.SETTINGS_INVALID, "policy"),
        ("[log]", "[log", ResultCode.SETTINGS_SYNTAX, "line"),
    ],
)
def test_bad_settings_name_file_key_and_rule(
    tmp_path: Path, old: str, new: str, code: ResultCode, expected_text: str
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(VALID_SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert caught.value.code is code
    assert str(path) in caught.value.detail
    assert expected_text in caught.value.detail
    assert "\n" not in str(caught.value)


def test_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load_settings(tmp_path / "none.toml")
    assert caught.value.code is ResultCode.SETTINGS_UNREADABLE


@given(st.text(max_size=80))
def test_any_text_is_valid_settings_or_a_numbered_error(text: str) -> None:
    for candidate in (text, VALID_SETTINGS + text):
        try:
            check_settings(parse_settings(candidate))
        except SettingsError as error:
            assert 5000 < error.code.number < 6000
