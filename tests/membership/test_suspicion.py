from __future__ import annotations

from hoisthook.identity import NodeId
from hoisthook.membership.suspicion import REPORT_LIFE_SECONDS
from hoisthook.membership.suspicion import TELLINGS
from hoisthook.membership.suspicion import Findings
from hoisthook.membership.suspicion import SuspicionTable

A, B, GONE = NodeId("a"), NodeId("b"), NodeId("gone")


def test_two_nodes_that_cannot_reach_a_third_make_it_suspected() -> None:
    table = SuspicionTable()
    table.report(A, [GONE], [], 1.0, table.revision)
    table.report(A, [GONE], [], 1.5, table.revision)
    assert table.since(0) == ([], [])
    table.report(B, [GONE], [], 2.0, table.revision)
    assert table.since(0) == ([GONE], [])


def test_findings_far_apart_do_not_add_up() -> None:
    table = SuspicionTable()
    table.report(A, [GONE], [], 1.0, table.revision)
    table.report(B, [GONE], [], 1.1 + REPORT_LIFE_SECONDS, table.revision)
    assert table.since(0) == ([], [])


def test_one_node_that_reaches_it_clears_it_and_who_knew_hears_so_once() -> None:
    table = SuspicionTable()
    table.report(A, [GONE], [], 1.0, table.revision)
    table.report(B, [GONE], [], 1.0, table.revision)
    known = table.revision
    table.report(B, [], [GONE], 3.0, table.revision)
    assert table.since(known) == ([], [GONE])
    assert table.since(table.revision) == ([], [])
    # One finding of before does not make it suspected again.
    table.report(A, [GONE], [], 3.1, table.revision)
    assert table.since(known) == ([], [GONE])


def test_finding_is_told_a_few_times_and_a_later_one_replaces_it() -> None:
    findings = Findings()
    findings.unreachable(GONE)
    assert [findings.tell() for _ in range(TELLINGS)] == [([GONE], [])] * TELLINGS
    assert findings.tell() == ([], [])
    findings.unreachable(GONE)
    findings.reached(GONE)
    assert findings.tell() == ([], [GONE])


def test_finding_from_before_a_node_was_cleared_does_not_count() -> None:
    table = SuspicionTable()
    table.report(A, [GONE], [], 1.0, 0)
    table.report(B, [GONE], [], 1.0, 0)
    table.report(B, [], [GONE], 1.5, 0)
    cleared = table.revision
    table.report(A, [GONE], [], 1.6, 0)
    table.report(B, [GONE], [], 1.6, cleared - 1)
    assert table.since(0) == ([], [GONE])
    table.report(A, [GONE], [], 2.0, cleared)
    table.report(B, [GONE], [], 2.0, cleared)
    assert table.since(cleared) == ([GONE], [])
