"""What ran in a backend server as it ended is held against it, unless it is run all the time."""

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


def test_all_servers_end_at_once_with_the_same_work_in_each(clock: FakeClock) -> None:
    evidence = CrashEvidence(ListLog())
    call = popular_call()
    watches = [CrashMonitor(SHOP, evidence, clock) for _ in range(SERVERS)]
    for life in range(3):
        for crash_monitor in watches:
            crash_monitor.ran_well(call)
        clock.advance(1.0)
        for number, crash_monitor in enumerate(watches):
            crash_monitor.ended(lost(call, f"i-{number}-{life}", clock))
        assert watches[0].refuse(call) is None


def test_work_that_has_run_well_in_another_incarnation_alone_is_blamed(clock: FakeClock) -> None:
    evidence = CrashEvidence(ListLog())
    call = popular_call()
    crash_monitor = CrashMonitor(SHOP, evidence, clock)
    crash_monitor.ran_well(call)
    for life in range(4):
        clock.advance(1.0)
        crash_monitor.ended(lost(call, f"i-{life}", clock))
    refused = crash_monitor.refuse(call)
    assert refused is not None
    assert refused.code is ResultCode.WORK_ENDS_SERVERS


def test_work_whose_body_is_not_here_yet_is_not_judged(clock: FakeClock) -> None:
    evidence = CrashEvidence(ListLog())
    call = popular_call()
    crash_monitor = CrashMonitor(SHOP, evidence, clock)
    for life in range(3):
        crash_monitor.ended(lost(call, f"i-{life}", clock))
    call.is_complete = False
    assert crash_monitor.refuse(call) is None
    call.is_complete = True
    assert crash_monitor.refuse(call) is not None


def test_good_run_takes_the_blame_away(clock: FakeClock) -> None:
    evidence = CrashEvidence(ListLog())
    call = popular_call()
    crash_monitor = CrashMonitor(SHOP, evidence, clock)
    for life in range(2):
        clock.advance(1.0)
        crash_monitor.ended(lost(call, f"i-{life}", clock))
    clock.advance(1.0)
    CrashMonitor(SHOP, evidence, clock).ran_well(call)
    clock.advance(1.0)
    crash_monitor.ended(lost(call, "i-2", clock))
    assert crash_monitor.refuse(call) is None
