from __future__ import annotations

from hoisthook.identity import NodeId
from hoisthook.membership.suspicion import REPORT_LIFE_SECONDS
from hoisthook.membership.suspicion import TELLINGS
from hoisthook.membership.suspicion import ReachabilityReport
from hoisthook.membership.suspicion import ReachabilityReports
from hoisthook.membership.suspicion import SuspicionTable

A, B, GONE = NodeId("a"), NodeId("b"), NodeId("gone")
FRESH = [ReachabilityReport(GONE, reached=False, age=0.0)]
REACHED = [ReachabilityReport(GONE, reached=True, age=0.0)]


def test_two_nodes_that_cannot_reach_a_third_make_it_suspected() -> None:
    table = SuspicionTable()
    table.report(A, FRESH, 1.0)
    table.report(A, FRESH, 1.5)
    assert table.since(0) == ([], [])
    table.report(B, FRESH, 2.0)
    assert table.since(0) == ([GONE], [])


def test_findings_far_apart_do_not_add_up() -> None:
    table = SuspicionTable()
    table.report(A, FRESH, 1.0)
    table.report(B, FRESH, 1.1 + REPORT_LIFE_SECONDS)
    assert table.since(0) == ([], [])


def test_one_node_that_reaches_it_clears_it_and_who_knew_hears_so_once() -> None:
    table = SuspicionTable()
    table.report(A, FRESH, 1.0)
    table.report(B, FRESH, 1.0)
    known = table.revision
    table.report(B, REACHED, 3.0)
    assert table.since(known) == ([], [GONE])
    assert table.since(table.revision) == ([], [])
    # One finding of before does not make it suspected again.
    table.report(A, FRESH, 3.1)
    assert table.since(known) == ([], [GONE])


def test_finding_is_told_a_few_times_with_its_age_and_a_later_one_replaces_it() -> None:
    findings = ReachabilityReports()
    findings.note(GONE, 10.0, reached=False)
    told = [findings.tell(10.0 + second) for second in range(TELLINGS)]
    assert told == [
        [ReachabilityReport(GONE, reached=False, age=float(second))] for second in range(TELLINGS)
    ]
    assert findings.tell(14.0) == []
    assert findings.current(14.0) == [ReachabilityReport(GONE, reached=False, age=4.0)]
    findings.note(GONE, 15.0, reached=True)
    assert findings.tell(15.0) == REACHED
    assert findings.current(15.0 + REPORT_LIFE_SECONDS) == []


def test_finding_from_before_a_node_was_reached_does_not_count() -> None:
    """Also where it was not suspected yet, so that clearing it was no news."""
    table = SuspicionTable()
    table.report(A, REACHED, 2.0)
    table.report(A, [ReachabilityReport(GONE, reached=False, age=1.0)], 2.5)
    table.report(B, [ReachabilityReport(GONE, reached=False, age=1.0)], 2.5)
    assert table.since(0) == ([], [])
    table.report(A, [ReachabilityReport(GONE, reached=False, age=0.1)], 2.5)
    table.report(B, [ReachabilityReport(GONE, reached=False, age=0.1)], 2.5)
    assert table.since(0) == ([GONE], [])
