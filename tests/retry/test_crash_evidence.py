from __future__ import annotations

from itertools import permutations
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import InstanceId
from hoisthook.identity import ServiceName
from hoisthook.identity import WorkId
from hoisthook.retry.crash_evidence import CRASHES_NEEDED
from hoisthook.retry.crash_evidence import EVIDENCE_TTL_SECONDS
from hoisthook.retry.crash_evidence import MAX_WORKS
from hoisthook.retry.crash_evidence import SUCCEEDED
from hoisthook.retry.crash_evidence import CrashEvidence
from hoisthook.retry.crash_evidence import CrashReport
from hoisthook.retry.work_identity import identify
from standin.mesh_system import ListLog

if TYPE_CHECKING:
    from collections.abc import Iterable

SHOP = ServiceName("shop")
WORK = WorkId("w")
NOW = 1000.0


def report(instance: str, age: float, work: str = "w") -> CrashReport:
    return CrashReport(SHOP, WorkId(work), InstanceId(instance), age)


def new_evidence(reports: Iterable[CrashReport]) -> CrashEvidence:
    evidence = CrashEvidence(ListLog())
    for one in reports:
        evidence.merge([one], NOW)
    return evidence


def test_one_incarnation_counts_once_whichever_node_reports_it() -> None:
    evidence = new_evidence(
        [report("a", 1.0), report("a", 0.9), report("b", 0.5), report("b", 0.5)]
    )
    assert evidence.rejected_for(SHOP, WORK, NOW) == 0.0
    assert evidence.merge([report("c", 0.0)], NOW)
    assert evidence.rejected_for(SHOP, WORK, NOW) == EVIDENCE_TTL_SECONDS


def test_other_work_and_other_services_are_not_rejected() -> None:
    evidence = new_evidence([report("a", 0.0), report("b", 0.0), report("c", 0.0)])
    assert evidence.rejected_for(SHOP, WorkId("another"), NOW) == 0.0
    assert evidence.rejected_for(ServiceName("another"), WORK, NOW) == 0.0


def test_success_clears_earlier_crashes_in_any_order() -> None:
    reports = [report("a", 4.0), report("b", 3.0), report("c", 2.0), report(SUCCEEDED, 1.0)]
    for order in permutations(reports):
        evidence = new_evidence(order)
        assert evidence.rejected_for(SHOP, WORK, NOW) == 0.0
        assert evidence.reports(SHOP, NOW) == [report(SUCCEEDED, 1.0)]


def test_crashes_after_a_success_count() -> None:
    evidence = new_evidence(
        [report(SUCCEEDED, 9.0), *(report(f"i-{n}", n) for n in range(CRASHES_NEEDED))]
    )
    assert evidence.refused == 1


def test_evidence_expires() -> None:
    evidence = new_evidence([report("a", 0.0), report("b", 0.0), report("c", 0.0)])
    assert evidence.rejected_for(SHOP, WORK, NOW + EVIDENCE_TTL_SECONDS) == 0.0
    assert evidence.reports(SHOP, NOW + EVIDENCE_TTL_SECONDS) == []
    assert not evidence.merge([report("d", EVIDENCE_TTL_SECONDS)], NOW)
    assert evidence.digest(SHOP) == 0


def test_rejected_work_is_not_evicted_by_a_flood_of_other_work() -> None:
    evidence = new_evidence([report("a", 9.0), report("b", 9.0), report("c", 9.0)])
    for number in range(2 * MAX_WORKS):
        evidence.merge([report("d", 0.0, f"flood-{number}")], NOW)
    assert len(evidence) == MAX_WORKS
    assert evidence.refused == 1


REPORTS = st.lists(
    st.builds(
        report,
        st.sampled_from(["a", "b", "c", "d", SUCCEEDED]),
        st.integers(0, 9).map(float),
        st.sampled_from(["v", "w"]),
    ),
    max_size=12,
    # No two nodes report different times for the same crash.
    unique_by=lambda one: (one.work, one.instance),
)


@given(REPORTS, st.randoms(use_true_random=False))
def test_nodes_converge_whatever_the_order_of_reports(
    reports: list[CrashReport], shuffled: st.random_module
) -> None:
    other = [*reports, *reports]
    shuffled.shuffle(other)
    one, another = new_evidence(reports), new_evidence(other)
    assert one.digest(SHOP) == another.digest(SHOP)
    assert one.refused == another.refused
    # The reports of one node are then nothing new to the other.
    assert not one.merge(another.reports(SHOP, NOW), NOW)


def test_work_is_the_same_whoever_sends_it_and_differs_by_each_of_its_parts() -> None:
    host = [(b"host", b"a.example")]
    work = identify(b"POST", host, b"/x?y=1", b"body")
    assert work == identify(b"POST", [(b"x-id", b"7"), (b"host", b"A.example")], b"/x?y=1", b"body")
    others = {
        identify(b"PUT", host, b"/x?y=1", b"body"),
        identify(b"POST", [(b"host", b"b.example")], b"/x?y=1", b"body"),
        identify(b"POST", host, b"/x?y=2", b"body"),
        identify(b"POST", host, b"/x?y=1", b""),
        identify(b"POST", host, b"/x?y=1b", b"ody"),
    }
    assert len(others) == 5
    assert work not in others


def test_crash_before_the_machine_started_counts() -> None:
    just_started = 2.0
    evidence = CrashEvidence(ListLog())
    evidence.merge([report("a", 30.0), report("b", 20.0), report("c", 10.0)], just_started)
    assert evidence.rejected_for(SHOP, WORK, just_started) == EVIDENCE_TTL_SECONDS - 10.0
    evidence.merge([report(SUCCEEDED, 5.0)], just_started)
    assert evidence.refused == 0


@given(
    st.lists(st.builds(report, st.text(max_size=3), st.floats(), st.text(max_size=3)), max_size=30),
    st.floats(min_value=0.0, max_value=1e9),
)
def test_any_report_of_a_peer_is_recorded_or_ignored(
    reports: list[CrashReport], now: float
) -> None:
    evidence = CrashEvidence(ListLog())
    evidence.merge(reports, now)
    collected = evidence.all_reports(now)
    assert all(0.0 <= one.age < EVIDENCE_TTL_SECONDS for one in collected)
    assert evidence.refused <= len({one.work for one in collected})
