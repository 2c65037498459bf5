from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from pathlib import Path

pytest_plugins = ["pytester"]

TESTS = """
import pytest

def test_red():
    assert False

def test_red_as_well():
    assert False

@pytest.mark.parametrize("number", [1, 2])
def test_red_by_number(number):
    assert False

def test_green():
    pass
"""
SCRIPT_ENTRY = "{} | cd review/1 && ./run.sh (no seed) | fails | issue 7\n"
ENTRY = "test_listed.py::{} | make test, no seed | fails | issue 7\n"


def run(pytester: pytest.Pytester, entries: str, *options: str) -> pytest.RunResult:
    pytester.makepyfile(test_listed=TESTS)
    path: Path = pytester.path / "KNOWN-RED.txt"
    path.write_text(entries)
    return pytester.runpytest_inprocess(
        *("-p", "tool.known_red", "--known-red", str(path)),
        *("-p", "no:xdist", "-p", "no:cacheprovider"),
        *("-o", "asyncio_default_fixture_loop_scope=function"),
        *options,
    )


def test_exactly_the_listed_tests_are_deselected(pytester: pytest.Pytester) -> None:
    """Guards against an entry that also deselects tests whose names start with its own."""
    entries = ENTRY.format("test_red") + ENTRY.format("test_red_by_number")
    run(pytester, entries).assert_outcomes(passed=1, failed=1, deselected=3)


def test_entry_is_found_in_a_run_that_a_marker_leaves_it_out_of(
    pytester: pytest.Pytester,
) -> None:
    """Guards against an error for an entry of the other part of the run."""
    result = run(pytester, ENTRY.format("test_red"), "-m", "not parametrize")
    result.assert_outcomes(passed=1, failed=1, deselected=3)


def test_nothing_is_deselected_without_entries(pytester: pytest.Pytester) -> None:
    run(pytester, "\n").assert_outcomes(passed=1, failed=4)


def test_script_of_the_review_is_accepted_and_deselects_nothing(pytester: pytest.Pytester) -> None:
    """Guards against a known failure that cannot be listed, since it is no test of the run."""
    script = pytester.mkdir("review") / "1" / "run.sh"
    script.parent.mkdir()
    script.touch()
    entries = SCRIPT_ENTRY.format("review/1/run.sh") + ENTRY.format("test_red")
    run(pytester, entries).assert_outcomes(passed=1, failed=3, deselected=1)


@pytest.mark.parametrize(
    "path", ["review/2/run.sh", "review/1/run", "run.sh", "review/1/../1/run.sh"]
)
def test_entry_that_names_no_script_of_the_review_is_an_error(
    pytester: pytest.Pytester, path: str
) -> None:
    script = pytester.mkdir("review") / "1" / "run.sh"
    script.parent.mkdir()
    for file in (script, script.with_name("run"), pytester.path / "run.sh"):
        file.touch()
    result = run(pytester, SCRIPT_ENTRY.format(path))
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    "entries",
    [ENTRY.format("test_gone"), "hunt-1 | a day | lost | issue 7\n", "test_listed.py::test_red\n"],
)
def test_entry_that_names_no_test_is_an_error(pytester: pytest.Pytester, entries: str) -> None:
    """Guards against a stale or malformed entry that is ignored, so that the run looks complete."""
    result = run(pytester, entries)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
