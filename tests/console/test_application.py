from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.application import run

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def test_bad_settings_end_with_status_two_and_one_numbered_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node.toml"
    path.write_text("[node]\n")
    assert run(["run", str(path)]) == 2
    error = capsys.readouterr().err
    assert error.startswith("5003 SETTINGS_INVALID")
    assert error.count("\n") == 1


def test_schema_is_published(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["schema"]) == 0
    assert "service Operator" in capsys.readouterr().out


def test_operator_call_to_an_unreachable_node_is_a_numbered_error(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(["status", "--node", "127.0.0.1:1"]) == 2
    assert capsys.readouterr().err.startswith("5006 OPERATOR_CALL_FAILED")


def test_bad_service_file_is_a_numbered_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "service.toml"
    path.write_text('name = "svc"\ntimeout_ms = 0\n')
    assert run(["put-service", "--node", "127.0.0.1:1", str(path)]) == 2
    assert "timeout_ms" in capsys.readouterr().err
