from __future__ import annotations

import random
from collections import Counter

from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.mesh.node_load import NodeLoad
from hoisthook.mesh.peer import FAILURE_DECAY_SECONDS
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.peer_choice import ChoiceSettings
from hoisthook.mesh.peer_choice import PeerChoice
from hoisthook.mesh.peer_directory import PeerDirectory
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.traffic.evacuations import Evacuations
from standin.mesh_system import ListLog

SHOP = ServiceName("shop")
NOW = 100.0


def fleet(near: int, far: int) -> PeerDirectory:
    me = Peer(NodeId("me"), "127.0.0.1:1", ServiceName("front"), DataCentre("one"))
    directory = PeerDirectory(me, ListLog())
    data_centres = ["one"] * near + ["two"] * far
    directory.merge(
        [
            Peer(
                NodeId(f"{data_centre}-{number}"),
                f"127.0.0.1:{number + 2}",
                SHOP,
                DataCentre(data_centre),
            )
            for number, data_centre in enumerate(data_centres)
        ],
        "test",
    )
    return directory


def call() -> RoutedCall:
    return RoutedCall(
        request_id=RequestId("r"),
        route=RouteName("r"),
        service=SHOP,
        caller_service=ServiceName("front"),
        method=b"GET",
        target=b"/",
        headers=[],
        body=b"",
        received=NOW,
        deadline=NOW + 2.0,
        target_latency=1.0,
        priority=1,
        repeatable=True,
        max_attempts=2,
    )


def choices_by_data_centre(directory: PeerDirectory, now: float = NOW) -> Counter[str]:
    choice = PeerChoice(directory, ChoiceSettings(0.25), Evacuations(ListLog()), random.Random(1))
    views = [choice.direct(call(), (), now) for _ in range(200)]
    return Counter(view.peer.data_centre for view in views if view is not None)


def report_failing(directory: PeerDirectory, data_centre: str, share: float) -> None:
    for view in directory.serving(SHOP):
        if view.peer.data_centre == data_centre:
            view.reported(NodeLoad(1, 0, 4, 1.0, share), NOW - 1.0)


def test_near_servers_are_preferred_if_all_known_servers_fail_alike() -> None:
    directory = fleet(near=6, far=20)
    report_failing(directory, "one", 0.4)
    assert set(choices_by_data_centre(directory)) == {"one"}


def test_server_that_fails_more_than_the_others_is_avoided() -> None:
    directory = fleet(near=3, far=3)
    report_failing(directory, "one", 0.0)
    worst = next(iter(directory.serving(SHOP)))
    worst.reported(NodeLoad(1, 0, 4, 1.0, 0.5), NOW - 1.0)
    choice = PeerChoice(directory, ChoiceSettings(0.25), Evacuations(ListLog()), random.Random(1))
    assert all(choice.direct(call(), (), NOW) is not worst for _ in range(100))


def test_old_failures_do_not_exclude_a_server() -> None:
    directory = fleet(near=2, far=6)
    near = [view for view in directory.serving(SHOP) if view.same_data_centre]
    near[0].reported(NodeLoad(1, 0, 4, 1.0, 0.0), NOW)
    near[1].reported(NodeLoad(1, 0, 4, 1.0, 0.6), NOW)
    later = NOW + 4 * FAILURE_DECAY_SECONDS
    choice = PeerChoice(directory, ChoiceSettings(0.25), Evacuations(ListLog()), random.Random(1))
    assert near[1] not in {choice.direct(call(), (), NOW) for _ in range(100)}
    assert near[1] in {choice.direct(call(), (), later) for _ in range(100)}


def test_suspected_node_is_probed_no_more_often_than_it_would_be_chosen() -> None:
    directory = fleet(near=9, far=1)
    suspect = next(iter(directory.serving(SHOP)))
    suspect.unreachable(NOW - 10.0)
    choice = PeerChoice(directory, ChoiceSettings(0.25), Evacuations(ListLog()), random.Random(1))
    probes = [choice.to_probe(call(), NOW) for _ in range(1000)]
    assert 50 < sum(probe is suspect for probe in probes) < 150
    assert all(choice.direct(call(), (), NOW) is not suspect for _ in range(100))


def test_node_without_a_backend_server_is_tried_with_growing_pauses() -> None:
    view = next(iter(fleet(near=1, far=0).serving(SHOP)))
    closed = []
    now = NOW
    for _ in range(6):
        view.backend_server_unavailable(0.3, now)
        closed.append(round(view.closed_until - now, 3))
        now = view.closed_until
    assert closed == [0.3, 0.6, 1.2, 2.4, 4.0, 4.0]
    view.served()
    view.backend_server_unavailable(0.3, now)
    assert round(view.closed_until - now, 3) == 0.3
