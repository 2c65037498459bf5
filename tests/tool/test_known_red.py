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
LISTED = "test_listed.py::{} | make test, no seed | fails | issue 7\n"


def run(pytester: pytest.Pytester, listed: str) -> pytest.RunResult:
    pytester.makepyfile(test_listed=TESTS)
    path: Path = pytester.path / "KNOWN-RED.txt"
    path.write_text(listed)
    return pytester.runpytest_inprocess(
        *("-p", "tool.known_red", "--known-red", str(path)),
        *("-p", "no:xdist", "-p", "no:cacheprovider"),
        *("-o", "asyncio_default_fixture_loop_scope=function"),
    )


def test_exactly_the_listed_tests_are_passed_over(pytester: pytest.Pytester) -> None:
    """Guards against an entry that passes over each test whose name begins like its own."""
    listed = LISTED.format("test_red") + LISTED.format("test_red_by_number")
    run(pytester, listed).assert_outcomes(passed=1, failed=1, deselected=3)


def test_nothing_is_passed_over_without_entries(pytester: pytest.Pytester) -> None:
    run(pytester, "\n").assert_outcomes(passed=1, failed=4)


@pytest.mark.parametrize(
    "listed",
    [LISTED.format("test_gone"), "hunt-1 | a day | lost | issue 7\n", "test_listed.py::test_red\n"],
)
def test_entry_that_names_no_test_is_an_error(pytester: pytest.Pytester, listed: str) -> None:
    """Guards against an entry that says nothing and a run that looks complete."""
    result = run(pytester, listed)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
