from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from hoisthook.admission.slot_gate import SlotGate
from hoisthook.admission.slot_gate import Ticket
from hoisthook.result_code import ResultCode

FAR = 1e9


def fill(gate: SlotGate, count: int, caller: str = "a", now: float = 0.0) -> list[Ticket]:
    tickets = [Ticket(caller, FAR) for _ in range(count)]
    for ticket in tickets:
        assert gate.admit(ticket, now, may_wait=False) is None
    return tickets


def make_gate(slots: int, queue: int = 0) -> SlotGate:
    gate = SlotGate(slots)
    gate.queue_limit = queue
    return gate


def test_refuses_when_all_slots_are_taken() -> None:
    gate = make_gate(2)
    fill(gate, 2)
    refusal = gate.admit(Ticket("a", FAR), 0.0, may_wait=False)
    assert refusal is not None
    assert refusal.code is ResultCode.SLOTS_FULL
    assert refusal.retry_after > 0


def test_waiting_request_gets_the_slot_given_back() -> None:
    gate = make_gate(1, queue=1)
    (running,) = fill(gate, 1)
    waiting = Ticket("b", FAR)
    assert gate.admit(waiting, 0.0, may_wait=True) is None
    assert waiting.waiting
    gate.release(running, 1.0)
    assert not waiting.waiting
    assert waiting.started == 1.0


def test_release_twice_gives_one_slot_back() -> None:
    gate = make_gate(1)
    (first,) = fill(gate, 1)
    gate.release(first, 1.0)
    fill(gate, 1)
    gate.release(first, 2.0)
    assert gate.running == 1


def test_expired_waiting_request_is_not_started() -> None:
    gate = make_gate(1, queue=1)
    (running,) = fill(gate, 1)
    waiting = Ticket("b", 5.0)
    gate.admit(waiting, 0.0, may_wait=True)
    gate.release(running, 6.0)
    assert waiting.started < 0
    assert gate.running == 0


def test_flooding_caller_does_not_starve_another() -> None:
    gate = make_gate(2, queue=2)
    running = fill(gate, 2, caller="flood")
    for _ in range(10):
        gate.admit(Ticket("flood", FAR), 0.0, may_wait=True)
    lone = Ticket("lone", FAR)
    assert gate.admit(lone, 0.0, may_wait=True) is None
    gate.release(running[0], 1.0)
    assert lone.started == 1.0


def test_flooding_caller_is_refused_as_over_its_share() -> None:
    gate = make_gate(2, queue=1)
    fill(gate, 1, caller="lone")
    fill(gate, 1, caller="flood")
    gate.admit(Ticket("flood", FAR), 0.0, may_wait=True)
    refusal = gate.admit(Ticket("flood", FAR), 0.0, may_wait=True)
    assert refusal is not None
    assert refusal.code is ResultCode.CALLER_OVER_SHARE


def test_stalled_backend_server_gets_only_a_probe_until_it_recovers() -> None:
    gate = make_gate(10)
    for second in range(30):
        (ticket,) = fill(gate, 1, now=second)
        gate.release(ticket, second + 0.005)
    fill(gate, 4, now=100.0)
    probe = Ticket("a", FAR)
    assert gate.admit(probe, 100.1, may_wait=True) is None
    refusal = gate.admit(Ticket("a", FAR), 100.1, may_wait=True)
    assert refusal is not None
    assert refusal.code is ResultCode.BACKEND_SERVER_EJECTED
    gate.release(probe, 100.2)
    (probe,) = fill(gate, 1, now=100.3)
    assert gate.admit(Ticket("a", FAR), 100.3, may_wait=True) is not None
    gate.release(probe, 100.305)
    fill(gate, 6, now=100.31)


def test_waiting_request_is_refused_when_the_server_stalls() -> None:
    gate = make_gate(2, queue=1)
    for second in range(30):
        (ticket,) = fill(gate, 1, now=second)
        gate.release(ticket, second + 0.005)
    fill(gate, 2, now=100.0)
    waiting = Ticket("a", FAR)
    gate.admit(waiting, 100.001, may_wait=True)
    assert gate.is_stalled(100.1)
    assert waiting.done
    assert waiting.started < 0


def test_one_long_request_is_no_stall() -> None:
    gate = make_gate(10)
    for second in range(30):
        (ticket,) = fill(gate, 1, now=second)
        gate.release(ticket, second + 0.005)
    fill(gate, 1, now=100.0)
    assert not gate.is_stalled(200.0)


class GateMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.gate = make_gate(3, queue=2)
        self.tickets: list[Ticket] = []

    @rule(caller=st.sampled_from("abc"), may_wait=st.booleans(), lifetime=st.integers(1, 5))
    def admit(self, caller: str, may_wait: bool, lifetime: int) -> None:
        ticket = Ticket(caller, self.now + lifetime)
        if self.gate.admit(ticket, self.now, may_wait=may_wait) is None:
            self.tickets.append(ticket)

    @precondition(lambda self: self.tickets)
    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        ticket = data.draw(st.sampled_from(self.tickets))
        self.gate.release(ticket, self.now)

    @rule(limit=st.integers(0, 4))
    def set_limit(self, limit: int) -> None:
        before = self.gate.running
        self.gate.set_limit(limit, self.now)
        assert self.gate.running <= max(limit, before)

    @rule(seconds=st.integers(0, 3))
    def advance(self, seconds: int) -> None:
        self.now += seconds

    @invariant()
    def never_more_than_the_slots(self) -> None:
        running = [t for t in self.tickets if t.started >= 0 and not t.done]
        assert len(running) == self.gate.running <= 4
        assert self.gate.waiting == sum(t.waiting for t in self.tickets) <= 2

    @invariant()
    def no_slot_is_idle_while_a_request_waits(self) -> None:
        assert self.gate.running >= self.gate.limit or self.gate.waiting == 0


TestGateMachine = GateMachine.TestCase
