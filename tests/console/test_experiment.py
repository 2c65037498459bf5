from __future__ import annotations

from pathlib import Path

import pytest

from hoisthook.console.application import run

ROOT = Path(__file__).parent.parent.parent
PATTERNS = sorted((ROOT / "benchmark" / "patterns").glob("*.toml"))


def test_table_has_one_row_per_seed(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "short.toml"
    path.write_text((ROOT / "benchmark/patterns/quiet.toml").read_text().replace("12.0", "1.0"))
    assert run(["experiment", "--seeds", "2", str(path)]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split("\t")[:2] for line in lines[1:]] == [["quiet", "1"], ["quiet", "2"]]


@pytest.mark.parametrize("path", PATTERNS, ids=lambda path: path.stem)
def test_patterns_are_valid(path: Path, tmp_path: Path) -> None:
    short = tmp_path / path.name
    short.write_text(path.read_text().replace("seconds = 12.0", "seconds = 0.1"))
    assert run(["experiment", "--seeds", "1", str(short)]) == 0


def test_requests_while_every_server_is_gone_count_as_failed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "gone.toml"
    text = (ROOT / "benchmark/patterns/quiet.toml").read_text().replace("12.0", "1.0")
    path.write_text(text + '\n[[troubles]]\nkind = "gone"\nat = 0.5\nlasts = 5.0\n')
    assert run(["experiment", "--seeds", "1", str(path)]) == 0
    header, row = (line.split("\t") for line in capsys.readouterr().out.splitlines())
    assert float(dict(zip(header, row, strict=True))["failed"]) > 0.3


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ("seconds = 12.0", "seconds = 0.0", "5004"),
        ('service = "pass"', 'service = "nowhere"', "nowhere"),
        ('calls = "check"', 'calls = "nowhere"', "nowhere"),
        ("servers = 6", "servers = 0", "at least 1"),
        ("work = 0.15", "work = 0.0", "above 0"),
        ("priority = 0", "rank = 0", "rank"),
    ],
)
def test_bad_pattern_is_a_numbered_error(
    old: str, new: str, expected_text: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text((ROOT / "benchmark/patterns/quiet.toml").read_text().replace(old, new))
    assert run(["experiment", str(path)]) == 2
    error = capsys.readouterr().err
    assert expected_text in error
    assert error.split()[0].isdigit()
