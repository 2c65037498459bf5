"""Attribution of backend server crashes to the work that was in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.identity import InstanceId
from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.local_backend.crash_monitor import CrashMonitor
from hoisthook.local_backend.exit_detector import LostRequest
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.result_code import ResultCode
from hoisthook.retry.crash_evidence import CrashEvidence
from standin.mesh_system import ListLog

if TYPE_CHECKING:
    from tests.fakes import FakeClock

SHOP = ServiceName("shop")
SERVERS = 4


def popular_call() -> RoutedCall:
    return RoutedCall(
        request_id=RequestId("q"),
        route=RouteName("r"),
        service=SHOP,
        caller_service=SHOP,
        method=b"GET",
        target=b"/popular",
        headers=[(b"host", b"a.example")],
        body=b"",
        received=0.0,
        deadline=1.0,
        target_latency=1.0,
        priority=1,
        repeatable=True,
        max_attempts=2,
    )


def lost(call: RoutedCall, instance: str, clock: FakeClock) -> list[LostRequest]:
    return [LostRequest(call.request_id, call.work, InstanceId(instance), clock.now())]


def test_simultaneous_exits_under_frequent_work_are_not_attributed_to_it(clock: FakeClock) -> None:
    evidence = CrashEvidence(ListLog())
    call = popular_call()
    monitors = [CrashMonitor(SHOP, evidence, clock) for _ in range(SERVERS)]
    for round_number in range(3):
        for crash_monitor in monitors:
            crash_monitor.request_succeeded(call)
        clock.advance(1.0)
        for number, crash_monitor in enumerate(monitors):
            crash_monitor.ended(lost(call, f"i-{number}-{round_number}", clock))
        assert monitors[0].refuse(call) is None


def test_work_that_succeeded_only_in_an_earlier_incarnation_is_refused(clock: FakeClock) -> None:
    evidence = CrashEvidence(ListLog())
    call = popular_call()
    crash_monitor = CrashMonitor(SHOP, evidence, clock)
    crash_monitor.request_succeeded(call)
    for round_number in range(4):
        clock.advance(1.0)
        crash_monitor.ended(lost(call, f"i-{round_number}", clock))
    refused = crash_monitor.refuse(call)
    assert refused is not None
    assert refused.code is ResultCode.WORK_ENDS_SERVERS


def test_request_with_an_incomplete_body_is_not_refused(clock: FakeClock) -> None:
    evidence = CrashEvidence(ListLog())
    call = popular_call()
    crash_monitor = CrashMonitor(SHOP, evidence, clock)
    for round_number in range(3):
        crash_monitor.ended(lost(call, f"i-{round_number}", clock))
    call.is_complete = False
    assert crash_monitor.refuse(call) is None
    call.is_complete = True
    assert crash_monitor.refuse(call) is not None


def test_success_on_another_node_clears_earlier_crashes(clock: FakeClock) -> None:
    evidence = CrashEvidence(ListLog())
    call = popular_call()
    crash_monitor = CrashMonitor(SHOP, evidence, clock)
    for round_number in range(2):
        clock.advance(1.0)
        crash_monitor.ended(lost(call, f"i-{round_number}", clock))
    clock.advance(1.0)
    CrashMonitor(SHOP, evidence, clock).request_succeeded(call)
    clock.advance(1.0)
    crash_monitor.ended(lost(call, "i-2", clock))
    assert crash_monitor.refuse(call) is None
