from __future__ import annotations

from hoisthook.identity import NodeId
from hoisthook.membership.suspicion import REPORT_TTL_SECONDS
from hoisthook.membership.suspicion import SENDS_PER_REPORT
from hoisthook.membership.suspicion import ReachabilityReport
from hoisthook.membership.suspicion import ReachabilityReports
from hoisthook.membership.suspicion import SuspicionTable

A, B, UNREACHABLE = NodeId("a"), NodeId("b"), NodeId("gone")
NOT_REACHED = [ReachabilityReport(UNREACHABLE, reached=False, age=0.0)]
REACHED = [ReachabilityReport(UNREACHABLE, reached=True, age=0.0)]


def test_two_nodes_that_cannot_reach_a_third_make_it_suspected() -> None:
    table = SuspicionTable()
    table.report(A, NOT_REACHED, 1.0)
    table.report(A, NOT_REACHED, 1.5)
    assert table.since(0) == ([], [])
    table.report(B, NOT_REACHED, 2.0)
    assert table.since(0) == ([UNREACHABLE], [])


def test_reports_further_apart_than_their_ttl_do_not_add_up() -> None:
    table = SuspicionTable()
    table.report(A, NOT_REACHED, 1.0)
    table.report(B, NOT_REACHED, 1.1 + REPORT_TTL_SECONDS)
    assert table.since(0) == ([], [])


def test_one_node_that_reaches_a_suspect_clears_it_and_the_change_is_returned_once() -> None:
    table = SuspicionTable()
    table.report(A, NOT_REACHED, 1.0)
    table.report(B, NOT_REACHED, 1.0)
    known = table.revision
    table.report(B, REACHED, 3.0)
    assert table.since(known) == ([], [UNREACHABLE])
    assert table.since(table.revision) == ([], [])
    # A single report does not make it suspected again.
    table.report(A, NOT_REACHED, 3.1)
    assert table.since(known) == ([], [UNREACHABLE])


def test_report_is_sent_a_few_times_with_its_age_and_a_later_one_replaces_it() -> None:
    reports = ReachabilityReports()
    reports.note(UNREACHABLE, 10.0, reached=False)
    sent = [reports.take_due(10.0 + second) for second in range(SENDS_PER_REPORT)]
    assert sent == [
        [ReachabilityReport(UNREACHABLE, reached=False, age=float(second))]
        for second in range(SENDS_PER_REPORT)
    ]
    assert reports.take_due(14.0) == []
    assert reports.current(14.0) == [ReachabilityReport(UNREACHABLE, reached=False, age=4.0)]
    reports.note(UNREACHABLE, 15.0, reached=True)
    assert reports.take_due(15.0) == REACHED
    assert reports.current(15.0 + REPORT_TTL_SECONDS) == []


def test_report_from_before_a_node_was_reached_does_not_count() -> None:
    """Holds also where the node was not suspected yet, so that reaching it changed nothing."""
    table = SuspicionTable()
    table.report(A, REACHED, 2.0)
    table.report(A, [ReachabilityReport(UNREACHABLE, reached=False, age=1.0)], 2.5)
    table.report(B, [ReachabilityReport(UNREACHABLE, reached=False, age=1.0)], 2.5)
    assert table.since(0) == ([], [])
    table.report(A, [ReachabilityReport(UNREACHABLE, reached=False, age=0.1)], 2.5)
    table.report(B, [ReachabilityReport(UNREACHABLE, reached=False, age=0.1)], 2.5)
    assert table.since(0) == ([UNREACHABLE], [])
