"""What a node sends follows who runs at the address, for any history of servers and messages."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from hoisthook.identity import InstanceId
from hoisthook.mesh.announcement import Announcement
from hoisthook.mesh.incarnation_records import AnnouncementEffect
from tests.fakes import FakeClock
from tests.observed_backends import make_observed_backend

if TYPE_CHECKING:
    from hoisthook.mesh.observed_backend import ObservedBackend
    from hoisthook.mesh.withdrawal import Withdrawal

REUSE_AFTER = 2.0
# Announcements of the last server, and requests after each, until it must take work.
MAX_ANNOUNCEMENTS_UNTIL_USED = 2


@dataclass
class Server:
    """A server that runs or ran at the address."""

    instance: InstanceId
    is_foreign: bool
    born: int | None
    is_healthy: bool = True
    is_draining: bool = False
    is_drain_acknowledged: bool = False
    sequence: int = 0

    def next_announcement(self) -> Announcement:
        self.sequence += 1
        return Announcement(self.instance, self.sequence, self.is_draining, 4, 0.0, self.born)


@dataclass
class History:
    """An address, the servers that use it in turn, and the node beside it.

    Attributes
    ----------
    in_transit : list of (Server, Announcement)
        Announcements that have been sent and may arrive at any time.
    recorded : InstanceId or None
        Incarnation that a process of the node has identified last, as it is stored.
    """

    reuse_after: float
    has_born: bool
    clock: FakeClock = field(default_factory=FakeClock)
    servers: list[Server] = field(default_factory=list)
    running: Server | None = None
    ended_at: float = 0.0
    in_transit: list[tuple[Server, Announcement]] = field(default_factory=list)
    withdrawn: dict[InstanceId, Withdrawal] = field(default_factory=dict)
    recorded: InstanceId | None = None

    def __post_init__(self) -> None:
        self.start_node()

    def start_node(self) -> None:
        """Start a process of the node, which knows what its predecessors have stored."""
        self.observed: ObservedBackend = make_observed_backend(
            reuse_after=self.reuse_after, clock=self.clock
        )
        self.observed.on_contradicted(self.ask)
        self.observed.restore(self.withdrawn.values())
        if self.recorded is not None:
            self.observed.recorded(self.recorded)

    def start_server(self, *, is_foreign: bool) -> None:
        """Start a server; one of another service only when the platform may assign the address."""
        if self.running is not None:
            self.end_server()
        if is_foreign or (self.servers and self.servers[-1].is_foreign):
            self.clock.time = max(self.clock.time, self.ended_at + REUSE_AFTER)
        number = len(self.servers)
        born = int(self.clock.time * 1000) + number if self.has_born else None
        self.running = Server(InstanceId(f"i-{number}"), is_foreign, born)
        self.servers.append(self.running)

    def end_server(self) -> None:
        self.running = None
        self.ended_at = self.clock.now()
        self.clock.advance(0.01)

    def send(self) -> None:
        """Have the running server send an announcement, which arrives later or never."""
        if self.running is not None:
            self.in_transit.append((self.running, self.running.next_announcement()))

    def announce(self) -> None:
        """Have the running server send an announcement, which arrives at once."""
        if self.running is not None:
            self.receive(self.running, self.running.next_announcement())

    def deliver(self, index: int) -> None:
        if self.in_transit:
            self.receive(*self.in_transit.pop(index % len(self.in_transit)))

    def receive(self, sender: Server, announcement: Announcement) -> None:
        """Have the node receive an announcement, and acknowledge it as it does."""
        if sender.is_foreign:
            self.observed.announced_elsewhere(sender.instance)
            return
        effect = self.observed.announced(announcement)
        self.store()
        if announcement.draining and effect is not AnnouncementEffect.SUPERSEDED:
            sender.is_drain_acknowledged = True

    def store(self) -> None:
        self.withdrawn = {known.instance: known for known in self.observed.withdrawals}
        self.recorded = self.observed.identified_instance or self.recorded

    def drain(self) -> None:
        if self.running is not None and not self.running.is_foreign:
            self.running.is_draining = True
            self.receive(self.running, self.running.next_announcement())

    def read_health(self) -> None:
        """Have the node read the health; a server that drains fails it."""
        sent_at = self.clock.now()
        self.clock.advance(0.001)
        running = self.running
        if running is not None:
            is_healthy = running.is_healthy and not running.is_draining
            self.observed.answered_as(running.instance, sent_at, is_healthy=is_healthy)
            self.store()

    def ask(self, announced: InstanceId) -> None:
        asked_at = self.clock.now()
        if self.running is not None and self.running.is_healthy:
            self.read_health()
        self.observed.follow_unless_shown(announced, asked_at)

    def request(self) -> bool:
        """Have the node send a request if it would; return whether a server has run it."""
        expected = self.observed.instance
        if not self.observed.takes_work or expected is None or self.running is None:
            return False
        sent_at = self.clock.now()
        self.clock.advance(0.001)
        running = self.running
        self.observed.answered_as(running.instance, sent_at)
        self.store()
        if running.instance != expected:
            return False
        assert not running.is_foreign, "ran at a server of another service"
        assert not running.is_drain_acknowledged, "ran after the acknowledgement of a drain"
        return True


ACTIONS = st.one_of(
    st.tuples(st.just("start"), st.booleans()),
    st.tuples(st.just("end"), st.none()),
    st.tuples(st.just("announce"), st.none()),
    st.tuples(st.just("send"), st.none()),
    st.tuples(st.just("deliver"), st.integers(0, 5)),
    st.tuples(st.just("drain"), st.none()),
    st.tuples(st.just("health"), st.none()),
    st.tuples(st.just("mute"), st.none()),
    st.tuples(st.just("request"), st.none()),
    st.tuples(st.just("wait"), st.sampled_from([0.1, 1.0, 3.0])),
    st.tuples(st.just("restart node"), st.none()),
)


def apply(history: History, action: str, value: object) -> None:
    match action:
        case "start":
            history.start_server(is_foreign=bool(value))
        case "end" if history.running is not None:
            history.end_server()
        case "announce":
            history.announce()
        case "send":
            history.send()
        case "deliver":
            assert isinstance(value, int)
            history.deliver(value)
        case "drain":
            history.drain()
        case "health":
            history.read_health()
        case "mute" if history.running is not None:
            history.running.is_healthy = False
        case "request":
            history.request()
        case "wait":
            assert isinstance(value, float)
            history.clock.advance(value)
        case "restart node":
            history.start_node()


@pytest.mark.parametrize("reuse_after", [0.0, REUSE_AFTER])
@pytest.mark.parametrize("has_born", [False, True])
@settings(max_examples=1000, deadline=None, derandomize=True)
@given(actions=st.lists(ACTIONS, max_size=25), is_last_mute=st.booleans())
def test_requests_run_only_at_a_ready_server_of_the_service(
    reuse_after: float,
    actions: list[tuple[str, object]],
    *,
    has_born: bool,
    is_last_mute: bool,
) -> None:
    """Guards against any order of late messages, starts, ends, drains and restarts of the node."""
    history = History(reuse_after, has_born)
    history.start_server(is_foreign=False)
    history.announce()
    history.request()
    for action, value in actions:
        apply(history, action, value)
        history.request()
    # A server of the service starts, and nothing disturbs it any more.
    history.start_server(is_foreign=False)
    assert history.running is not None
    history.running.is_healthy = not is_last_mute
    for _ in range(MAX_ANNOUNCEMENTS_UNTIL_USED):
        history.clock.advance(1.5)
        history.announce()
        history.request()
    assert history.request(), "a ready server of the service is not used"
